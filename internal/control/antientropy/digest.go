package antientropy

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// RangeCount is how many ranges the keys fall into, by hash.
const RangeCount = 16

// digests holds one sum over each range of keys.
type digests struct{ Sum [RangeCount]uint64 }

// rootHead opens a comparison: one sum over all keys, and whether equal copies are to be confirmed.
type rootHead struct {
	Sum    uint64
	Answer uint8
}

// verdictHead tells a member whether anything newer than its copies was found; that is on its way then.
type verdictHead struct{ Newer uint8 }

// rangeHead says which ranges a list of keys covers.
type rangeHead struct {
	Mask uint64
	Back uint8 // shown in return: not to be returned once more
}

// keyHead is how new one key's copy is.
type keyHead struct{ N, By, Seq uint64 }

func part(key string) int { return int(units.Mix(key) % RangeCount) }

// held says whether a value was ever accepted here; a promise alone is no copy.
func held(s *register.State) bool { return s != nil && s.Accepted != (units.Epoch{}) }

func sums(states map[string]*register.State) (d digests) {
	for _, key := range message.SortedKeys(states) {
		s := states[key]
		if !held(s) {
			continue
		}
		d.Sum[part(key)] += units.Mix(key, units.Hex(s.Accepted.Number), s.Accepted.Node.String(), units.Hex(s.Seq))
	}
	return d
}

// root is one sum over all ranges.
func (d digests) root() (sum uint64) {
	for _, x := range d.Sum {
		sum += x
	}
	return sum
}

// differing gives the ranges whose sums differ.
func (d digests) differing(other digests) (mask uint64) {
	for p := range RangeCount {
		if d.Sum[p] != other.Sum[p] {
			mask |= 1 << p
		}
	}
	return mask
}

// list packs how new each key of the head's ranges is.
func list(h rangeHead, states map[string]*register.State) []byte {
	var l [][]byte
	for _, key := range message.SortedKeys(states) {
		if s := states[key]; held(s) && h.Mask>>part(key)&1 == 1 {
			l = append(l, message.Pack(keyHead{s.Accepted.Number, uint64(s.Accepted.Node), s.Seq}, []byte(key)))
		}
	}
	return message.Pack(h, message.PackList(l))
}

// unpackRanges is the inverse of list.
func unpackRanges(body []byte) (h rangeHead, theirs map[string]keyHead, err error) {
	var packed []byte
	if err := message.Unpack(body, &h, &packed); err != nil {
		return h, nil, err
	}
	l, err := message.UnpackList(packed)
	if err != nil {
		return h, nil, err
	}
	theirs = map[string]keyHead{}
	for _, item := range l {
		var x keyHead
		var key []byte
		if err := message.Unpack(item, &x, &key); err != nil {
			return h, nil, err
		}
		theirs[string(key)] = x
	}
	return h, theirs, nil
}

// order is above zero where the copy here is newer, below where the other is.
func order(s *register.State, x keyHead) int {
	e := units.Epoch{Number: x.N, Node: units.NodeID(x.By)}
	switch {
	case e.Less(s.Accepted) || e == s.Accepted && s.Seq > x.Seq:
		return 1
	case s.Accepted.Less(e) || e == s.Accepted && s.Seq < x.Seq:
		return -1
	}
	return 0
}
