// Package register is the control state: each key owned by one node at a time under a rising epoch (design 2).
package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// ChosenValue is a value that a majority has accepted, to be pushed to all nodes.
type ChosenValue struct {
	Key     string
	Version units.Version
	Data    []byte
}

const resend = 300 * time.Millisecond

// idle is how long an owner goes without a round before it confirms itself. Another may have raised the epoch and
// gone; then this one acquires the key anew, which also lets repair bring all copies to one epoch (design 2).
const idle = 3 * time.Second

// Replica is the step machine of one node: acceptor, owner of keys, and forwarder of requests to other owners.
type Replica struct {
	self         units.NodeID
	run          units.NodeID // a fresh name for each start, so that no epoch is ever used twice
	quorum       QuorumSet
	states       map[string]*State
	owned        map[string]*ownership
	requests     map[uint64]*pendingRequest
	eligible     []units.NodeID // live controllers that may own keys, from membership
	leaving      []units.NodeID // those that are about to end; they own keys where nobody else can
	highestEpoch uint64
	tag          uint64
	vote         []byte
	found        *founding
	Chosen       []ChosenValue
	Results      []Result
	wanted       []units.NodeID // the members that the set is to have; none: those it has
	transfer     *transfer
	reach        reach
}

// New gives a machine for the disk self; run is a random number of this start.
func New(self, run units.NodeID) *Replica {
	return &Replica{self: self, run: run, states: map[string]*State{KeyQuorum: {}}, owned: map[string]*ownership{}, requests: map[uint64]*pendingRequest{}, reach: reach{heard: map[units.NodeID]units.Time{}}}
}

// Quorum returns the newest set of voters that this node has adopted; its version is 0 before the founding.
func (b *Replica) Quorum() QuorumSet { return b.quorum }

// SetEligible takes membership's opinion of who may own keys: the eligible nodes and, where none of those is a member, the
// leaving ones.
func (b *Replica) SetEligible(eligible []units.NodeID, leaving ...units.NodeID) {
	b.eligible, b.leaving = eligible, leaving
}

// Owner gives the node that should own a key: the same on all nodes with the same view.
func (b *Replica) Owner(key string) units.NodeID {
	if n := b.highest(key, b.eligible); n != 0 {
		return n
	}
	return b.highest(key, b.leaving) // nobody else is left to hand over to
}

// highest picks the member of the quorum set with the highest hash among the nodes given; zero if none is a member.
func (b *Replica) highest(key string, nodes []units.NodeID) units.NodeID {
	var best units.NodeID
	var top uint64
	for _, n := range nodes {
		if !b.quorum.Has(n) {
			continue
		}
		if x := units.Mix(key, n.String()); best == 0 || x > top {
			best, top = n, x
		}
	}
	return best
}

func (b *Replica) pack(h head, key string, body []byte) []byte {
	return message.Pack(h, b.quorum.Pack(), []byte(key), body)
}

// Step takes one note.
func (b *Replica) Step(now units.Time, n message.Message) (out message.Effects) {
	if n.Kind == Ping || n.Kind == Pong {
		b.reachStep(now, n, &out)
		return out
	}
	var h head
	var cfg, key, body []byte
	if err := message.Unpack(n.Body, &h, &cfg, &key, &body); err != nil {
		out.AddError(err)
		return out
	}
	v, err := UnpackQuorumSet(cfg)
	if err != nil {
		out.AddError(err)
		return out
	}
	if !b.adopt(v, &out) {
		return out
	}
	if b.quorum.Has(n.From) { // an epoch that a stranger names must not use up those of the set
		b.highestEpoch = max(b.highestEpoch, h.N, h.HN)
	}
	k := string(key)
	switch n.Kind {
	case Prepare, Accept, Confirm:
		b.voter(n, h, k, v.Version, body, &out)
	case Promise, Accepted, Confirmed, Stale:
		if o := b.owned[k]; o != nil {
			b.counted(now, o, n, h, body, &out)
		}
	case Forward:
		b.call(now, n, h, k, body, &out)
	case Reply:
		b.answered(now, h, k, v.Version, body, &out)
	case ListKeys:
		b.listKeys(n, &out)
	case KeyList:
		if b.quorum.Has(n.From) {
			b.keysListed(now, n, v.Version, body, &out)
		}
	case BootstrapVoteRequest:
		b.foundVote(n, body, &out)
	case BootstrapVote:
		b.foundCount(n, body, &out)
	}
	return out
}

// Tick acquires what this node should own, lets go of what it should not, and sends again what stays unanswered.
func (b *Replica) Tick(now units.Time) (out message.Effects) {
	if b.quorum.Version == 0 {
		b.foundTick(now, &out)
		return out
	}
	b.reachTick(now, &out)
	for key := range b.states {
		if b.owned[key] == nil && b.Owner(key) == b.self {
			b.own(key)
		}
	}
	for _, o := range b.sorted() {
		if b.Owner(o.key) != b.self {
			if o.by != nil {
				b.reply(*o.by, resultcode.CommitUnknown, 0, nil, &out)
			}
			for _, a := range o.asks {
				b.reply(a, resultcode.CommitUnknown, 0, nil, &out)
			}
			delete(b.owned, o.key)
			continue
		}
		if o.phase == holding && now.Sub(o.sent) >= idle {
			o.asks = append(o.asks, Request{From: b.self, Key: o.key}) // a read for nobody: is it still ours?
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

func (b *Replica) sorted() []*ownership {
	l := make([]*ownership, 0, len(b.owned))
	for _, o := range b.owned {
		l = append(l, o)
	}
	slices.SortFunc(l, func(x, y *ownership) int {
		if x.key < y.key {
			return -1
		}
		return 1
	})
	return l
}

func (b *Replica) own(key string) *ownership {
	o := b.owned[key]
	if o == nil {
		o = &ownership{key: key}
		b.owned[key] = o
	}
	return o
}

func (b *Replica) call(now units.Time, n message.Message, h head, key string, body []byte, out *message.Effects) {
	a := Request{Tag: h.Tag, From: n.From, Key: key, Write: h.Write != opRead, Lookup: h.Write == opLookup, ExpectedVersion: units.Version(h.Num)}
	var plan []byte
	if err := message.Unpack(body, &struct{}{}, &plan, &a.Data); err != nil {
		out.AddError(err)
		return
	}
	a.RequestID = string(plan)
	if b.Owner(key) != b.self {
		b.reply(a, resultcode.NoMajority, 0, nil, out)
		return
	}
	o := b.own(key)
	if len(o.asks) >= 256 {
		b.reply(a, resultcode.NoMajority, 0, nil, out)
		return
	}
	o.asks = append(o.asks, a)
	if o.phase == holding || o.phase == none {
		b.push(now, o, out)
	}
}

func (b *Replica) reply(a Request, c resultcode.Code, num units.Version, data []byte, out *message.Effects) {
	out.Send(a.From, Reply, b.pack(head{Tag: a.Tag, Code: uint16(c), Num: uint64(num)}, a.Key, data))
}
