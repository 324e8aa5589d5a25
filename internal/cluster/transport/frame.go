// Package transport carries messages between the system's own processes over gnet (docs/design.md, sections 1 and 4).
package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/klauspost/compress/s2"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// MaxBody is the maximum size of a message's body. A larger frame closes its connection.
const MaxBody = 16 << 20

// The marks of plain and of compressed frames. A body of minCompressSize bytes or more is compressed if that makes it
// shorter: member lists, worker lists and configurations are highly repetitive, and each is sent to every node
// (docs/design.md, sections 4 and 5).
const (
	plainMark       = 0x5353
	compressedMark  = 0x5363
	minCompressSize = 400
)

type frameHeader struct {
	Len  uint32
	Mark uint16
	Kind uint16
	From uint64
	To   uint64
}

const headerLen = 24

func encodeFrame(msg message.Message) []byte {
	h := frameHeader{Len: uint32(len(msg.Body)), Mark: plainMark, Kind: uint16(msg.Kind), From: uint64(msg.From), To: uint64(msg.To)}
	body := msg.Body
	if len(body) >= minCompressSize {
		if p := s2.Encode(nil, body); len(p) < len(body) {
			body, h.Len, h.Mark = p, uint32(len(p)), compressedMark
		}
	}
	b, _ := binary.Append(make([]byte, 0, headerLen+len(body)), binary.LittleEndian, h)
	return append(b, body...)
}

func decodeHeader(b []byte) (frameHeader, error) {
	var h frameHeader
	if _, err := binary.Decode(b, binary.LittleEndian, &h); err != nil {
		return h, fmt.Errorf("transport: %w", err)
	}
	if h.Mark != plainMark && h.Mark != compressedMark {
		return h, fmt.Errorf("transport: bad mark %#x", h.Mark)
	}
	if h.Len > MaxBody {
		return h, fmt.Errorf("transport: frame body of %d bytes is too large", h.Len)
	}
	return h, nil
}

// decodeMessage returns the message in a frame with the given body. It doesn't retain body.
func (h frameHeader) decodeMessage(body []byte) (message.Message, error) {
	msg := message.Message{From: units.NodeID(h.From), To: units.NodeID(h.To), Kind: message.Kind(h.Kind)}
	if h.Mark != compressedMark {
		msg.Body = bytes.Clone(body)
		return msg, nil
	}
	size, err := s2.DecodedLen(body)
	if err == nil && size > MaxBody {
		err = fmt.Errorf("transport: decompressed body of %d bytes is too large", size)
	}
	if err == nil {
		msg.Body, err = s2.Decode(nil, body)
	}
	return msg, err
}
