package register

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

type phase uint8

const (
	none phase = iota
	preparing
	writing // an adopted value again, or the next one
	confirming
	holding
)

// own is this node's ownership of one key.
type ownership struct {
	key   string
	phase phase
	epoch units.Epoch
	got   map[units.NodeID]bool
	best  State    // newest accepted value found while preparing, then the value in force
	next  State    // the value being written
	by    *Request // the wish that next belongs to; nil for an adopted one
	asks  []Request
	tag   uint64
	sent  units.Time
	fresh bool // has confirmed its epoch with a full acquisition
}

// drop starts the ownership over: a higher epoch or another set of voters was met.
func (o *ownership) drop() {
	o.phase, o.fresh = none, false
}

// push sends what the phase still lacks, or begins the next thing.
func (b *Replica) push(now units.Time, o *ownership, out *message.Effects) {
	o.sent = now
	switch o.phase {
	case none:
		if o.by != nil {
			// The write may or may not stand; a resend of the plan finds out.
			b.reply(*o.by, resultcode.CommitUnknown, 0, nil, out)
			o.by = nil
		}
		b.highestEpoch = max(b.highestEpoch, b.state(o.key).Promised.Number) + 1
		o.epoch = units.Epoch{Number: b.highestEpoch, Node: b.run}
		o.phase, o.got, o.best = preparing, map[units.NodeID]bool{}, State{}
		b.spread(o, Prepare, head{}, nil, out)
	case preparing:
		b.spread(o, Prepare, head{}, nil, out)
	case writing:
		b.spread(o, Accept, head{Seq: o.next.Seq, Num: uint64(o.next.Version)}, o.next.Body, out)
	case confirming:
		b.spread(o, Confirm, head{Tag: o.tag}, nil, out)
	case holding:
		b.serve(now, o, out)
	}
}

func (b *Replica) spread(o *ownership, k message.Kind, h head, body []byte, out *message.Effects) {
	h.N, h.By = o.epoch.Number, uint64(o.epoch.Node)
	for _, n := range b.targets(o) {
		if !o.got[n] {
			out.Send(n, k, b.pack(h, o.key, body))
		}
	}
}

// targets are the replicas of the set; while another is being written, those of both.
func (b *Replica) targets(o *ownership) []units.NodeID {
	l := b.quorum.All()
	if next, ok := b.pendingQuorum(o); ok {
		for _, n := range next.All() {
			if !slices.Contains(l, n) {
				l = append(l, n)
			}
		}
	}
	return l
}

// pending gives the next set of voters when o is writing one.
func (b *Replica) pendingQuorum(o *ownership) (QuorumSet, bool) {
	if o.key != KeyQuorum || o.phase != writing || o.next.Version <= b.quorum.Version {
		return QuorumSet{}, false
	}
	v, err := UnpackQuorumSet(Data(o.next.Body))
	v.Version = o.next.Version
	return v, err == nil
}

func (b *Replica) enough(o *ownership) bool {
	if !b.quorum.HasMajority(o.got) {
		return false
	}
	v, ok := b.pendingQuorum(o)
	return !ok || v.HasMajority(o.got)
}

// counted takes a voter's reply.
func (b *Replica) counted(now units.Time, o *ownership, n message.Message, h head, body []byte, out *message.Effects) {
	if o.phase == holding {
		if h.Ok == 0 && o.epoch.Less(h.higher()) && n.Kind != Stale {
			o.drop() // one member promised more: it takes no copy of this epoch, and could never be mended
		}
		return
	}
	if h.epoch() != o.epoch || o.phase == none {
		return
	}
	if !slices.Contains(b.targets(o), n.From) {
		out.AddError(errNotMember)
		return
	}
	if n.Kind == Stale {
		return // the newer set came with it; a pending one is waited for
	}
	if h.Ok == 0 {
		o.drop() // fenced by a higher epoch; the next tick begins again if the key is still ours
		return
	}
	switch n.Kind {
	case Promise:
		if o.phase != preparing {
			return
		}
		if err := checkBody(o.key, units.Version(h.Num), body); err != nil {
			out.AddError(err) // not a promise that can be counted: what it bears would be lost
			return
		}
		x := State{Accepted: h.higher(), Seq: h.Seq, Version: units.Version(h.Num), Body: body}
		if x.newer(&o.best) {
			o.best = x
		}
	case Accepted:
		if o.phase != writing || h.Seq != o.next.Seq {
			return
		}
	case Confirmed:
		if o.phase != confirming || h.Tag != o.tag {
			return
		}
	}
	o.got[n.From] = true
	if b.enough(o) {
		b.reached(now, o, out)
	}
}

// reached moves on after a majority.
func (b *Replica) reached(now units.Time, o *ownership, out *message.Effects) {
	switch o.phase {
	case preparing:
		// Whatever was found is written again under the new epoch before anything is answered.
		s := State{Seq: 1, Version: o.best.Version, Body: o.best.Body}
		if o.key == KeyQuorum && s.Version < b.quorum.Version {
			s.Version, s.Body = b.quorum.Version, packBody(nil, b.quorum.Pack()) // the founders' set, or one learned since
		}
		b.write(now, o, s, nil, out)
	case writing:
		b.chosen(now, o, out)
	case confirming:
		o.phase = holding
		if a := o.asks[0]; !a.Write {
			o.asks = o.asks[1:]
			b.reply(a, resultcode.OK, o.best.Version, Data(o.best.Body), out)
		} // a write that only asked whether the key is still ours goes on
		b.push(now, o, out)
	}
}

func (b *Replica) write(now units.Time, o *ownership, s State, by *Request, out *message.Effects) {
	o.phase, o.next, o.by, o.got = writing, s, by, map[units.NodeID]bool{}
	b.push(now, o, out)
}

func (b *Replica) chosen(now units.Time, o *ownership, out *message.Effects) {
	v, changed := b.pendingQuorum(o)
	o.best, o.phase, o.fresh = o.next, holding, true
	a := o.by
	o.by = nil
	if changed {
		b.adopt(v, out) // drops every ownership, this one too: all begin again under the new set
		for _, n := range b.eligible {
			out.Send(n, Reply, b.pack(head{}, "", nil)) // carries the new set
		}
	}
	if o.best.Version > 0 {
		b.Chosen = append(b.Chosen, ChosenValue{Key: o.key, Version: o.best.Version, Data: Data(o.best.Body)})
	}
	if a != nil {
		b.reply(*a, resultcode.OK, o.best.Version, nil, out)
	}
	if o.phase == holding {
		b.serve(now, o, out)
	}
}
