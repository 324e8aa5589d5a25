// Package transport carries notes between the system's own processes over gnet (design 1, 4).
package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/klauspost/compress/s2"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// MaxBody bounds one note; a larger frame closes its wire.
const MaxBody = 16 << 20

// The marks of plain frames and of packed ones. A body of packFrom bytes or more is packed where that makes it shorter:
// members, workers and configurations are mostly repetition, and each goes to every node (design 4, 5).
const (
	mark     = 0x5353
	packed   = 0x5363
	packFrom = 400
)

type head struct {
	Len  uint32
	Mark uint16
	Kind uint16
	From uint64
	To   uint64
}

const headLen = 24

func frame(n message.Message) []byte {
	h := head{Len: uint32(len(n.Body)), Mark: mark, Kind: uint16(n.Kind), From: uint64(n.From), To: uint64(n.To)}
	body := n.Body
	if len(body) >= packFrom {
		if p := s2.Encode(nil, body); len(p) < len(body) {
			body, h.Len, h.Mark = p, uint32(len(p)), packed
		}
	}
	b, _ := binary.Append(make([]byte, 0, headLen+len(body)), binary.LittleEndian, h)
	return append(b, body...)
}

func readHead(b []byte) (head, error) {
	var h head
	if _, err := binary.Decode(b, binary.LittleEndian, &h); err != nil {
		return h, fmt.Errorf("transport: %w", err)
	}
	if h.Mark != mark && h.Mark != packed {
		return h, fmt.Errorf("transport: bad mark %#x", h.Mark)
	}
	if h.Len > MaxBody {
		return h, fmt.Errorf("transport: frame of %d bytes", h.Len)
	}
	return h, nil
}

// note makes a note of a frame, whose bytes are not kept.
func (h head) note(body []byte) (message.Message, error) {
	n := message.Message{From: units.NodeID(h.From), To: units.NodeID(h.To), Kind: message.Kind(h.Kind)}
	if h.Mark != packed {
		n.Body = bytes.Clone(body)
		return n, nil
	}
	size, err := s2.DecodedLen(body)
	if err == nil && size > MaxBody {
		err = fmt.Errorf("transport: a body of %d bytes", size)
	}
	if err == nil {
		n.Body, err = s2.Decode(nil, body)
	}
	return n, err
}
