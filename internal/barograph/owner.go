package barograph

import (
	"seamshunt/internal/station"
	"seamshunt/internal/synop"
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
type own struct {
	key   string
	phase phase
	epoch units.Epoch
	got   map[units.Node]bool
	best  Slot // newest accepted value found while preparing, then the value in force
	next  Slot // the value being written
	by    *Ask // the wish that next belongs to; nil for an adopted one
	asks  []Ask
	tag   uint64
	sent  units.Time
	fresh bool // has confirmed its epoch with a full acquisition
}

// drop starts the ownership over: a higher epoch or another set of voters was met.
func (o *own) drop() {
	o.phase, o.fresh = none, false
}

// push sends what the phase still lacks, or begins the next thing.
func (b *Barograph) push(now units.Time, o *own, out *station.Out) {
	o.sent = now
	switch o.phase {
	case none:
		if o.by != nil {
			// The write may or may not stand; a resend of the plan finds out.
			b.reply(*o.by, synop.Unsure, 0, nil, out)
			o.by = nil
		}
		b.high = max(b.high, b.slot(o.key).Prom.N) + 1
		o.epoch = units.Epoch{N: b.high, By: b.run}
		o.phase, o.got, o.best = preparing, map[units.Node]bool{}, Slot{}
		b.spread(o, Prepare, head{}, nil, out)
	case preparing:
		b.spread(o, Prepare, head{}, nil, out)
	case writing:
		b.spread(o, Accept, head{Seq: o.next.Seq, Num: uint64(o.next.Num)}, o.next.Body, out)
	case confirming:
		b.spread(o, Confirm, head{Tag: o.tag}, nil, out)
	case holding:
		b.serve(now, o, out)
	}
}

func (b *Barograph) spread(o *own, k station.Kind, h head, body []byte, out *station.Out) {
	h.N, h.By = o.epoch.N, uint64(o.epoch.By)
	for _, n := range b.targets(o) {
		if !o.got[n] {
			out.Send(n, k, b.pack(h, o.key, body))
		}
	}
}

// targets are the voters; while voters change, those of both sets.
func (b *Barograph) targets(o *own) []units.Node {
	l := append([]units.Node(nil), b.cfg.IDs...)
	if v, ok := b.pending(o); ok {
		for _, n := range v.IDs {
			if !b.cfg.Has(n) {
				l = append(l, n)
			}
		}
	}
	return l
}

// pending gives the next set of voters when o is writing one.
func (b *Barograph) pending(o *own) (Voters, bool) {
	if o.key != KeyVoters || o.phase != writing || o.next.Num <= b.cfg.Ver {
		return Voters{}, false
	}
	v, err := UnpackVoters(Data(o.next.Body))
	v.Ver = o.next.Num
	return v, err == nil
}

func (b *Barograph) enough(o *own) bool {
	if !b.cfg.Most(o.got) {
		return false
	}
	v, ok := b.pending(o)
	return !ok || v.Most(o.got)
}

// counted takes a voter's reply.
func (b *Barograph) counted(now units.Time, o *own, n station.Note, h head, body []byte, out *station.Out) {
	if h.epoch() != o.epoch || o.phase == none || o.phase == holding {
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
		x := Slot{Acc: h.higher(), Seq: h.Seq, Num: units.Num(h.Num), Body: body}
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
func (b *Barograph) reached(now units.Time, o *own, out *station.Out) {
	switch o.phase {
	case preparing:
		// Whatever was found is written again under the new epoch before anything is answered.
		s := Slot{Seq: 1, Num: o.best.Num, Body: o.best.Body}
		if o.key == KeyVoters && s.Num < b.cfg.Ver {
			s.Num, s.Body = b.cfg.Ver, packBody(nil, b.cfg.Pack()) // the founders' set, or one learned since
		}
		b.write(now, o, s, nil, out)
	case writing:
		b.chosen(now, o, out)
	case confirming:
		o.phase = holding
		if a := o.asks[0]; !a.Write {
			o.asks = o.asks[1:]
			b.reply(a, synop.OK, o.best.Num, Data(o.best.Body), out)
		} // a write that only asked whether the key is still ours goes on
		b.push(now, o, out)
	}
}

func (b *Barograph) write(now units.Time, o *own, s Slot, by *Ask, out *station.Out) {
	o.phase, o.next, o.by, o.got = writing, s, by, map[units.Node]bool{}
	b.push(now, o, out)
}

func (b *Barograph) chosen(now units.Time, o *own, out *station.Out) {
	v, joint := b.pending(o)
	o.best, o.phase, o.fresh = o.next, holding, true
	a := o.by
	o.by = nil
	if joint {
		b.adopt(v, out) // drops every ownership, this one too: all begin again under the new set
		for _, n := range b.fit {
			out.Send(n, Done, b.pack(head{}, "", nil)) // carries the new set
		}
	}
	if o.best.Num > 0 {
		b.Fresh = append(b.Fresh, News{Key: o.key, Num: o.best.Num, Data: Data(o.best.Body)})
	}
	if a != nil {
		b.reply(*a, synop.OK, o.best.Num, nil, out)
	}
	if o.phase == holding {
		b.serve(now, o, out)
	}
}

// doubtful says whether a write builds on a number that this owner has not seen: another may have written it, under an
// epoch that this one has not met yet. It is refused only once a majority has confirmed the epoch (design 2).
func (b *Barograph) doubtful(o *own, a Ask, plans [][]byte) bool {
	if a.sure || a.Expect == Any || a.Expect <= o.best.Num {
		return false
	}
	_, known := planOf(plans, a.Plan)
	return a.Plan == "" || !known
}

// serve begins the next wish; one at a time for each key.
func (b *Barograph) serve(now units.Time, o *own, out *station.Out) {
	for len(o.asks) > 0 {
		a := o.asks[0]
		plans, _ := unpackBody(o.best.Body)
		if !a.Write || b.doubtful(o, a, plans) {
			o.asks[0].sure = true
			b.tag++
			o.phase, o.tag, o.got, o.sent = confirming, b.tag, map[units.Node]bool{}, now
			b.spread(o, Confirm, head{Tag: o.tag}, nil, out)
			return
		}
		o.asks = o.asks[1:]
		if num, ok := planOf(plans, a.Plan); ok && a.Plan != "" {
			b.reply(a, synop.OK, num, nil, out)
			continue
		}
		if a.Expect != Any && a.Expect != o.best.Num {
			b.reply(a, synop.Conflict, o.best.Num, nil, out)
			continue
		}
		num := o.best.Num + 1
		if a.Plan != "" {
			plans = append(plans, station.Pack(planHead{uint64(num)}, []byte(a.Plan)))
			plans = plans[max(0, len(plans)-16):]
		}
		b.write(now, o, Slot{Seq: o.best.Seq + 1, Num: num, Body: packBody(plans, a.Data)}, &a, out)
		return
	}
}
