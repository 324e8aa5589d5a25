// Package telegraph carries notes between the system's own processes over gnet (design 1, 4).
package telegraph

import (
	"encoding/binary"
	"fmt"

	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

// MaxBody bounds one note; a larger frame closes its wire.
const MaxBody = 16 << 20

const mark = 0x5353

type head struct {
	Len  uint32
	Mark uint16
	Kind uint16
	From uint64
	To   uint64
}

const headLen = 24

func frame(n station.Note) []byte {
	h := head{Len: uint32(len(n.Body)), Mark: mark, Kind: uint16(n.Kind), From: uint64(n.From), To: uint64(n.To)}
	b, _ := binary.Append(make([]byte, 0, headLen+len(n.Body)), binary.LittleEndian, h)
	return append(b, n.Body...)
}

func readHead(b []byte) (head, error) {
	var h head
	if _, err := binary.Decode(b, binary.LittleEndian, &h); err != nil {
		return h, fmt.Errorf("telegraph: %w", err)
	}
	if h.Mark != mark {
		return h, fmt.Errorf("telegraph: bad mark %#x", h.Mark)
	}
	if h.Len > MaxBody {
		return h, fmt.Errorf("telegraph: frame of %d bytes", h.Len)
	}
	return h, nil
}

func (h head) note(body []byte) station.Note {
	return station.Note{From: units.Node(h.From), To: units.Node(h.To), Kind: station.Kind(h.Kind), Body: body}
}
