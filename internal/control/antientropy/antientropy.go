// Package antientropy compares copies of the control state by digests over ranges, and has them mended from the newer
// (design 2). A member that may have missed writes compares with every other member in turn, at once; one that has
// nothing to catch up with compares with one other each Gap.
package antientropy

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// The messages of a comparison. Root opens it; where the sums differ, Digests answers it, and Ranges answers those. Who
// gets Ranges mends what is older there, shows its own part back if something is older here, and says in a Verdict
// whether it held anything newer. Mending itself is the owner's last Accept once more, so an acceptor's promises guard it.
const (
	Digests = message.KindAntiEntropy + iota
	Ranges
	Root
	Outcome
)

// Interval between two comparisons by one member that has nothing to catch up with (start).
const Interval = 1500 * time.Millisecond

// Repair sends a key's accepted value to another member.
type Repair func(to units.NodeID, key string) message.Effects

// Syncer is one member's state machine of the comparison. It isn't safe for concurrent use.
type Syncer struct {
	self     units.NodeID
	next     units.Time
	turn     int            // whom of the members to compare with next
	others   []units.NodeID // the other members at the last tick; none while this node is no member itself
	member   bool           // was in the quorum at the last tick
	healthy  bool           // could take part at the last tick
	catchUp  *catchUp
	Repaired int // copies of others that were older than the ones here
	Ignored  int // messages of who is no member
}

// New gives one that begins after a random part of the gap, with a random member. It was just started, so it catches up
// first.
func New(self units.NodeID, now units.Time, rng *rand.Rand) *Syncer {
	s := &Syncer{self: self, next: now.Add(time.Duration(rng.Int64N(int64(Interval)))), turn: rng.IntN(1 << 16), healthy: true}
	return s
}

// SetHealthy tells whether this node reaches a majority and its disk takes writes. One that does not can't be mended and
// asks nobody; it may miss writes meanwhile, and catches up afterwards.
func (s *Syncer) SetHealthy(ok bool) {
	if ok && !s.healthy {
		s.StartCatchUp()
	}
	s.healthy = ok
}

// Tick compares with one other member. Who is not in the quorum holds no copy: it would be told of every key again and
// again.
func (s *Syncer) Tick(now units.Time, members []units.NodeID, states map[string]*register.State) (out message.Effects) {
	if !slices.Contains(members, s.self) {
		s.member, s.others = false, nil
		return out
	}
	if !s.member {
		s.member = true
		s.StartCatchUp()
	}
	s.others = slices.DeleteFunc(slices.Clone(members), func(n units.NodeID) bool { return n == s.self })
	if len(s.others) == 0 || !s.healthy {
		return out
	}
	if s.catchUp != nil && s.catchUp.done(s.others) {
		s.catchUp, s.next = nil, now.Add(Interval)
	}
	if !s.ready(now) {
		return out
	}
	head := rootHead{Sum: sums(states).root()}
	var to units.NodeID
	if s.catchUp != nil {
		var wait time.Duration
		to, wait = s.catchUp.ask(s.others, &s.turn)
		s.next, head.Answer = now.Add(wait), 1
	} else {
		to = s.others[s.turn%len(s.others)]
		s.turn++
		s.next = now.Add(Interval)
	}
	out.Send(to, Root, message.Pack(head))
	return out
}

// Step takes one message; of a node that is no member, none.
func (s *Syncer) Step(n message.Message, states map[string]*register.State, mend Repair) (out message.Effects) {
	if !slices.Contains(s.others, n.From) {
		s.Ignored++
		return out
	}
	var err error
	switch n.Kind {
	case Root:
		err = compareRoot(n, states, &out)
	case Digests:
		err = compareDigests(n, states, &out)
	case Ranges:
		err = s.compareRanges(n, states, mend, &out)
	case Outcome:
		err = s.judged(n)
	}
	out.AddError(err)
	return out
}

func compareRoot(n message.Message, states map[string]*register.State, out *message.Effects) error {
	var h rootHead
	if err := message.Unpack(n.Body, &h); err != nil {
		return err
	}
	mine := sums(states)
	switch {
	case mine.root() != h.Sum:
		out.Send(n.From, Digests, message.Pack(mine))
	case h.Answer == 1:
		out.Send(n.From, Outcome, message.Pack(verdictHead{}))
	}
	return nil
}

func compareDigests(n message.Message, states map[string]*register.State, out *message.Effects) error {
	var theirs digests
	if err := message.Unpack(n.Body, &theirs); err != nil {
		return err
	}
	// Where nothing differs any more, the list is empty and brings the verdict.
	out.Send(n.From, Ranges, list(rangeHead{Mask: sums(states).differing(theirs)}, states))
	return nil
}

// compareRanges mends what is older there, and shows its own part back when something is older here.
func (s *Syncer) compareRanges(n message.Message, states map[string]*register.State, mend Repair, out *message.Effects) error {
	h, theirs, err := unpackRanges(n.Body)
	if err != nil {
		return err
	}
	ahead, behind := false, false
	for _, key := range message.SortedKeys(states) {
		if !held(states[key]) || h.Mask>>part(key)&1 == 0 {
			continue
		}
		switch c := order(states[key], theirs[key]); {
		case c > 0:
			ahead = true
			s.Repaired++
			out.Append(mend(n.From, key))
		case c < 0:
			behind = true
		}
	}
	for key := range theirs {
		behind = behind || !held(states[key])
	}
	if behind {
		s.behind(n.From)
	}
	if h.Back == 1 {
		return nil
	}
	if behind {
		out.Send(n.From, Ranges, list(rangeHead{h.Mask, 1}, states))
	}
	verdict := verdictHead{}
	if ahead {
		verdict.Newer = 1
	}
	out.Send(n.From, Outcome, message.Pack(verdict))
	return nil
}

// judged takes what another member made of this one's copies.
func (s *Syncer) judged(n message.Message) error {
	var v verdictHead
	if err := message.Unpack(n.Body, &v); err != nil {
		return err
	}
	if v.Newer == 1 {
		s.behind(n.From)
	} else {
		s.current(n.From)
	}
	return nil
}
