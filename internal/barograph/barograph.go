// Package barograph is the control state: each key owned by one node at a time under a rising epoch (design 2).
package barograph

import (
	"slices"
	"time"

	"seamshunt/internal/station"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// News is a chosen value, for the bulletin.
type News struct {
	Key  string
	Num  units.Num
	Data []byte
}

const resend = 300 * time.Millisecond

// idle is how long an owner goes without a round before it confirms itself. Another may have raised the epoch and
// gone; then this one acquires the key anew, which also lets repair bring all copies to one epoch (design 2).
const idle = 3 * time.Second

// Barograph is the step machine: voter, owner and passer-on of operators' calls.
type Barograph struct {
	self    units.Node
	run     units.Node // a fresh name for each start, so that no epoch is ever used twice
	cfg     Voters
	slots   map[string]*Slot
	owns    map[string]*own
	wishes  map[uint64]*wish
	fit     []units.Node // live barometers that may own keys, from membership
	high    uint64
	tag     uint64
	vote    []byte
	found   *founding
	Fresh   []News
	Results []Result
	change  *change
	reach   reach
}

// New gives a machine for the disk self; run is a random number of this start.
func New(self, run units.Node) *Barograph {
	return &Barograph{self: self, run: run, slots: map[string]*Slot{KeyVoters: {}}, owns: map[string]*own{}, wishes: map[uint64]*wish{}, reach: reach{heard: map[units.Node]units.Time{}}}
}

// Voters gives the set this node knows.
func (b *Barograph) Voters() Voters { return b.cfg }

// View takes membership's opinion of who may own keys.
func (b *Barograph) View(fit []units.Node) { b.fit = fit }

// Owner gives the node that should own a key: the same on all nodes with the same view.
func (b *Barograph) Owner(key string) units.Node {
	var best units.Node
	var top uint64
	for _, n := range b.fit {
		if !b.cfg.Has(n) {
			continue
		}
		if x := units.Mix(key, n.String()); best == 0 || x > top {
			best, top = n, x
		}
	}
	return best
}

func (b *Barograph) pack(h head, key string, body []byte) []byte {
	return station.Pack(h, b.cfg.Pack(), []byte(key), body)
}

// Step takes one note.
func (b *Barograph) Step(now units.Time, n station.Note) (out station.Out) {
	if n.Kind == Here || n.Kind == HereToo {
		b.reachStep(now, n, &out)
		return out
	}
	var h head
	var cfg, key, body []byte
	if err := station.Unpack(n.Body, &h, &cfg, &key, &body); err != nil {
		out.Fail(err)
		return out
	}
	v, err := UnpackVoters(cfg)
	if err != nil {
		out.Fail(err)
		return out
	}
	b.adopt(v, &out)
	b.high = max(b.high, h.N, h.HN)
	k := string(key)
	switch n.Kind {
	case Prepare, Accept, Confirm:
		b.voter(n, h, k, v.Ver, body, &out)
	case Promise, Accepted, Confirmed, Stale:
		if o := b.owns[k]; o != nil {
			b.counted(now, o, n, h, body, &out)
		}
	case Call:
		b.call(now, n, h, k, body, &out)
	case Done:
		c := synop.Code(h.Code)
		if h.Tag != 0 && (c != synop.Unsure && c != synop.NoMajority || !b.again(h.Tag)) {
			delete(b.wishes, h.Tag)
			b.result(Result{Tag: h.Tag, Code: synop.Code(h.Code), Num: units.Num(h.Num), Data: body})
		}
	case Keys:
		b.listKeys(n, &out)
	case KeysAre:
		b.keysAre(n, v.Ver, body)
	case Found:
		b.foundVote(n, body, &out)
	case Founded:
		b.foundCount(n, body, &out)
	}
	return out
}

// Tick acquires what this node should own, lets go of what it should not, and sends again what stays unanswered.
func (b *Barograph) Tick(now units.Time) (out station.Out) {
	if b.cfg.Ver == 0 {
		b.foundTick(now, &out)
		return out
	}
	b.reachTick(now, &out)
	for key := range b.slots {
		if b.owns[key] == nil && b.Owner(key) == b.self {
			b.own(key)
		}
	}
	for _, o := range b.sorted() {
		if b.Owner(o.key) != b.self {
			for _, a := range o.asks {
				b.reply(a, synop.Unsure, 0, nil, &out)
			}
			delete(b.owns, o.key)
			continue
		}
		if o.phase == holding && now.Sub(o.sent) >= idle {
			o.asks = append(o.asks, Ask{From: b.self, Key: o.key}) // a read for nobody: is it still ours?
			b.push(now, o, &out)
			continue
		}
		if o.phase != holding && now.Sub(o.sent) >= resend || o.phase == none {
			b.push(now, o, &out)
		}
	}
	b.wishTick(now, &out)
	b.changeTick(now, &out)
	return out
}

func (b *Barograph) sorted() []*own {
	l := make([]*own, 0, len(b.owns))
	for _, o := range b.owns {
		l = append(l, o)
	}
	slices.SortFunc(l, func(x, y *own) int {
		if x.key < y.key {
			return -1
		}
		return 1
	})
	return l
}

func (b *Barograph) own(key string) *own {
	o := b.owns[key]
	if o == nil {
		o = &own{key: key}
		b.owns[key] = o
	}
	return o
}

func (b *Barograph) call(now units.Time, n station.Note, h head, key string, body []byte, out *station.Out) {
	a := Ask{Tag: h.Tag, From: n.From, Key: key, Write: h.Write == 1, Expect: units.Num(h.Num)}
	var plan []byte
	if err := station.Unpack(body, &planHead{}, &plan, &a.Data); err != nil {
		out.Fail(err)
		return
	}
	a.Plan = string(plan)
	if b.Owner(key) != b.self {
		b.reply(a, synop.NoMajority, 0, nil, out)
		return
	}
	o := b.own(key)
	if len(o.asks) >= 256 {
		b.reply(a, synop.NoMajority, 0, nil, out)
		return
	}
	o.asks = append(o.asks, a)
	if o.phase == holding || o.phase == none {
		b.push(now, o, out)
	}
}

func (b *Barograph) reply(a Ask, c synop.Code, num units.Num, data []byte, out *station.Out) {
	out.Send(a.From, Done, b.pack(head{Tag: a.Tag, Code: uint16(c), Num: uint64(num)}, a.Key, data))
}
