package antientropy

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// RangeCount is the number of ranges that the keys are divided into by their hash.
const RangeCount = 16

// digests holds one checksum of each range of keys.
type digests struct{ Sum [RangeCount]uint64 }

// rootRequest opens a comparison: one checksum of all keys, and whether equal copies are to be confirmed.
type rootRequest struct {
	Sum          uint64
	ReplyIfEqual uint8
}

// outcomeBody ends a comparison. Newer is 1 if the sender has copies newer than the receiver's; they are in transit then.
type outcomeBody struct{ Newer uint8 }

// rangesHeader contains the ranges that a list of keys covers, as a bit mask.
type rangesHeader struct {
	Mask    uint64
	IsReply uint8 // sent in return for Ranges: the receiver must not send its own in reply
}

// copyVersion is the version of the copy of one key: the epoch's number and node, and the sequence number.
type copyVersion struct{ Number, Node, Seq uint64 }

// rangeOf returns the index of a key's range.
func rangeOf(key string) int { return int(units.Mix(key) % RangeCount) }

// hasCopy reports whether a value was accepted on this node; a promise alone is not a copy.
func hasCopy(s *register.State) bool { return s != nil && s.Accepted != (units.Epoch{}) }

// rangeSums returns the checksums of all ranges.
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

// root returns one checksum of all ranges.
func (d digests) root() (sum uint64) {
	for _, x := range d.Sum {
		sum += x
	}
	return sum
}

// differing returns the ranges whose checksums differ.
func (d digests) differing(other digests) (mask uint64) {
	for i := range RangeCount {
		if d.Sum[i] != other.Sum[i] {
			mask |= 1 << i
		}
	}
	return mask
}

// packRanges packs the copy versions of all keys in the header's ranges.
func packRanges(header rangesHeader, states map[string]*register.State) []byte {
	var packed [][]byte
	for _, key := range message.SortedKeys(states) {
		if s := states[key]; hasCopy(s) && header.Mask>>rangeOf(key)&1 == 1 {
			packed = append(packed, message.Pack(copyVersion{s.Accepted.Number, uint64(s.Accepted.Node), s.Seq}, []byte(key)))
		}
	}
	return message.Pack(header, message.PackList(packed))
}

// unpackRanges is the inverse of packRanges.
func unpackRanges(body []byte) (header rangesHeader, versions map[string]copyVersion, err error) {
	var packed []byte
	if err := message.Unpack(body, &header, &packed); err != nil {
		return header, nil, err
	}
	l, err := message.UnpackList(packed)
	if err != nil {
		return header, nil, err
	}
	versions = map[string]copyVersion{}
	for _, item := range l {
		var x copyVersion
		var key []byte
		if err := message.Unpack(item, &x, &key); err != nil {
			return header, nil, err
		}
		versions[string(key)] = x
	}
	return header, versions, nil
}

// compareCopies returns 1 if the copy on this node is newer than the other, -1 if it is older, and 0 if both are the same.
func compareCopies(s *register.State, remote copyVersion) int {
	epoch := units.Epoch{Number: remote.Number, Node: units.NodeID(remote.Node)}
	switch {
	case epoch.Less(s.Accepted) || epoch == s.Accepted && s.Seq > remote.Seq:
		return 1
	case s.Accepted.Less(epoch) || epoch == s.Accepted && s.Seq < remote.Seq:
		return -1
	}
	return 0
}
