package barograph

import (
	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

// KeyVoters holds the set of voters itself.
const KeyVoters = "voters"

func (b *Barograph) slot(key string) *Slot {
	s := b.slots[key]
	if s == nil {
		s = &Slot{}
		b.slots[key] = s
	}
	return s
}

// adopt takes a newer set of voters from any message and keeps it on disk.
func (b *Barograph) adopt(v Voters, out *station.Out) {
	if v.Ver <= b.cfg.Ver {
		return
	}
	b.cfg = v
	b.reach.born, b.reach.sent = 0, 0 // whether it reaches these is to be seen
	out.Writes = append(out.Writes, station.Record{Kind: RecVoters, Data: v.Pack()})
	for _, o := range b.owns {
		o.drop()
	}
}

// Learn takes the set of voters from the news, as a learner must.
func (b *Barograph) Learn(body []byte) (out station.Out) {
	v, err := UnpackVoters(body)
	out.Fail(err)
	if err == nil {
		b.adopt(v, &out)
	}
	return out
}

// barred says whether a message under an older set of voters must not be served (design 2).
func (b *Barograph) barred(key string, ver units.Num) bool {
	if ver < b.cfg.Ver {
		return true
	}
	return key != KeyVoters && ver < b.slot(KeyVoters).Num
}

// Ver numbers the newest set of voters that this node knows of.
func (b *Barograph) Ver() units.Num { return max(b.cfg.Ver, b.slot(KeyVoters).Num) }

// voter serves Prepare, Accept and Confirm; every reply goes through the disk's queue, in order.
func (b *Barograph) voter(n station.Note, h head, key string, ver units.Num, body []byte, out *station.Out) {
	r := h
	r.Ok = 0
	if b.barred(key, ver) {
		out.Later(n.From, Stale, b.pack(r, key, nil))
		return
	}
	if !b.mayVote(key, n.Kind) {
		return
	}
	s := b.slot(key)
	e := h.epoch()
	if e.Less(s.Prom) {
		r.HN, r.HBy = s.Prom.N, uint64(s.Prom.By)
		out.Later(n.From, n.Kind+1, b.pack(r, key, nil))
		return
	}
	r.Ok = 1
	switch n.Kind {
	case Prepare:
		if s.Prom != e {
			s.Prom = e
			out.Writes = append(out.Writes, b.savePromise(key, s))
		}
		r.HN, r.HBy, r.Seq, r.Num = s.Acc.N, uint64(s.Acc.By), s.Seq, uint64(s.Num)
		out.Later(n.From, Promise, b.pack(r, key, s.Body))
	case Accept:
		x := Slot{Prom: e, Acc: e, Seq: h.Seq, Num: units.Num(h.Num), Body: body}
		if x.newer(s) {
			*s = x
			out.Writes = append(out.Writes, b.saveAccept(key, s))
		} else if s.Acc != e || s.Seq != h.Seq {
			return // an older one of the same epoch, late: its write has long been answered or overtaken
		}
		out.Later(n.From, Accepted, b.pack(r, key, nil))
	case Confirm:
		if s.Prom != e {
			r.Ok = 0
		}
		out.Later(n.From, Confirmed, b.pack(r, key, nil))
	}
}

// mayVote: a member of the set votes; a learner only accepts the change of voters that takes it in.
func (b *Barograph) mayVote(key string, k station.Kind) bool {
	return b.cfg.Has(b.self) || key == KeyVoters && k == Accept
}

// stored gives this disk's accepted numbers, for a starting vane's vouching (design 4).
func (b *Barograph) Stored() map[string]units.Num {
	m := map[string]units.Num{}
	for k, s := range b.slots {
		if s.Num > 0 {
			m[k] = s.Num
		}
	}
	return m
}

// Mend sends a key's accepted value to another voter as its owner's Accept once more: a voter that has since
// promised a higher epoch refuses it, as it would a late one.
func (b *Barograph) Mend(to units.Node, key string) (out station.Out) {
	s := b.slots[key]
	if s == nil || s.Num == 0 {
		return out
	}
	h := head{N: s.Acc.N, By: uint64(s.Acc.By), Seq: s.Seq, Num: uint64(s.Num)}
	out.Later(to, Accept, b.pack(h, key, s.Body))
	return out
}

// Slots gives the voter's state for repair and status; the caller must not change it.
func (b *Barograph) Slots() map[string]*Slot { return b.slots }
