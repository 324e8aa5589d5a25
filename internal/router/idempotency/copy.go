package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

type item struct {
	Token uint64
	Burnt uint8
}

type copyHead struct {
	Ver   uint64
	Whole uint8
}

type copied struct {
	key   string
	token uint64
	burnt bool
}

func pack(keys map[string]entry, whole bool, ver units.Version) []byte {
	var l [][]byte
	for _, k := range message.SortedKeys(keys) {
		e := keys[k]
		x := item{Token: e.token}
		if e.burnt {
			x.Burnt = 1
		}
		l = append(l, message.Pack(x, []byte(k)))
	}
	h := copyHead{Ver: uint64(ver)}
	if whole {
		h.Whole = 1
	}
	return message.Pack(h, message.PackList(l))
}

func unpackCopy(b []byte) (h copyHead, out []copied, err error) {
	var list []byte
	if err = message.Unpack(b, &h, &list); err != nil {
		return h, nil, err
	}
	l, err := message.UnpackList(list)
	for _, t := range l {
		var x item
		var k []byte
		if err == nil {
			err = message.Unpack(t, &x, &k)
		}
		out = append(out, copied{string(k), x.Token, x.Burnt == 1})
	}
	return h, out, err
}

// take copies a neighbour's memory, or a voter's; a key that is known here already keeps what it has, burnt staying
// burnt.
func (s *Claimant) take(now units.Time, n message.Message) error {
	h, l, err := unpackCopy(n.Body)
	if err != nil {
		return err
	}
	for _, x := range l {
		e, ok := s.keys[x.key]
		if !ok {
			e = entry{token: x.token, at: now}
		}
		e.burnt = e.burnt || x.burnt
		s.keys[x.key] = e
	}
	s.heard[n.From] = heard{whole: h.Whole == 1, ver: units.Version(h.Ver)}
	return nil
}

// recall brings back what others remember after a start. It is all there once every live router has given a whole
// memory; or, where some are as new as this one, once all have given what they have and so many voters theirs that
// no claim on a majority of the disks can be missing.
func (s *Claimant) recall(now units.Time, peers []units.NodeID, out *message.Effects) bool {
	allWhole, allHeard := true, true
	for _, n := range peers {
		h, ok := s.heard[n]
		allWhole, allHeard = allWhole && h.whole, allHeard && ok
	}
	whole := 0
	for _, n := range s.core.Members {
		if h := s.heard[n]; h.whole && h.ver <= s.core.Version {
			whole++
		}
	}
	kept := len(s.core.Members) > 0 && whole >= enough(s.core)
	if now.Sub(s.born) >= settle && (len(peers) > 0 && allWhole || allHeard && kept) {
		return true
	}
	if now.Sub(s.asked) >= again {
		s.asked = now
		late := now.Sub(s.askedParts) >= time.Second // who gave a part is asked for all of it more seldom: a memory may be long
		if late {
			s.askedParts = now
		}
		for _, n := range append(append([]units.NodeID(nil), peers...), s.core.All()...) {
			if h, ok := s.heard[n]; !ok || late && !h.whole {
				out.Send(n, CopyRequest, message.Pack(head{}))
			}
		}
	}
	return false
}
