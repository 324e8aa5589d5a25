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

// rootRequest opens a comparison: one sum over all keys, and whether equal copies are to be confirmed.
type rootRequest struct {
	Sum          uint64
	ReplyIfEqual uint8
}

// outcomeBody tells a member whether anything newer than its copies was found; that is on its way then.
type outcomeBody struct{ Newer uint8 }

// rangesHeader says which ranges a list of keys covers.
type rangesHeader struct {
	Mask    uint64
	IsReply uint8 // shown in return: not to be returned once more
}

// copyVersion is how new one key's copy is.
type copyVersion struct{ Number, Node, Seq uint64 }

func rangeOf(key string) int { return int(units.Mix(key) % RangeCount) }

// hasCopy says whether a value was ever accepted here; a promise alone is no copy.
func hasCopy(s *register.State) bool { return s != nil && s.Accepted != (units.Epoch{}) }

func rangeSums(states map[string]*register.State) (d digests) {
	for _, key := range message.SortedKeys(states) {
		s := states[key]
		if !hasCopy(s) {
			continue
		}
		d.Sum[rangeOf(key)] += units.Mix(key, units.Hex(s.Accepted.Number), s.Accepted.Node.String(), units.Hex(s.Seq))
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

// packRanges packs how new each key of the head's ranges is.
func packRanges(h rangesHeader, states map[string]*register.State) []byte {
	var l [][]byte
	for _, key := range message.SortedKeys(states) {
		if s := states[key]; hasCopy(s) && h.Mask>>rangeOf(key)&1 == 1 {
			l = append(l, message.Pack(copyVersion{s.Accepted.Number, uint64(s.Accepted.Node), s.Seq}, []byte(key)))
		}
	}
	return message.Pack(h, message.PackList(l))
}

// unpackRanges is the inverse of list.
func unpackRanges(body []byte) (h rangesHeader, theirs map[string]copyVersion, err error) {
	var packed []byte
	if err := message.Unpack(body, &h, &packed); err != nil {
		return h, nil, err
	}
	l, err := message.UnpackList(packed)
	if err != nil {
		return h, nil, err
	}
	theirs = map[string]copyVersion{}
	for _, item := range l {
		var x copyVersion
		var key []byte
		if err := message.Unpack(item, &x, &key); err != nil {
			return h, nil, err
		}
		theirs[string(key)] = x
	}
	return h, theirs, nil
}

// compareCopies is above zero where the copy here is newer, below where the other is.
func compareCopies(s *register.State, x copyVersion) int {
	e := units.Epoch{Number: x.Number, Node: units.NodeID(x.Node)}
	switch {
	case e.Less(s.Accepted) || e == s.Accepted && s.Seq > x.Seq:
		return 1
	case s.Accepted.Less(e) || e == s.Accepted && s.Seq < x.Seq:
		return -1
	}
	return 0
}
