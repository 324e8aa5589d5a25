package screen

import (
	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

type item struct {
	Token uint64
	Age   uint32
	Burnt uint8
}

func (s *Screen) pack() []byte {
	var l [][]byte
	for _, k := range station.Keys(s.keys) {
		e := s.keys[k]
		x := item{Token: e.token}
		if e.burnt {
			x.Burnt = 1
		}
		l = append(l, station.Pack(x, []byte(k)))
	}
	return station.PackList(l)
}

// take copies a neighbour's memory; a key that is known here already keeps what it has, burnt staying burnt.
func (s *Screen) take(now units.Time, n station.Note) error {
	l, err := station.UnpackList(n.Body)
	for _, t := range l {
		var x item
		var k []byte
		if err == nil {
			err = station.Unpack(t, &x, &k)
		}
		if err != nil {
			return err
		}
		e, ok := s.keys[string(k)]
		if !ok {
			e = entry{token: x.Token, at: now}
		}
		e.burnt = e.burnt || x.Burnt == 1
		s.keys[string(k)] = e
	}
	if err == nil {
		s.copied[n.From] = true
	}
	return err
}
