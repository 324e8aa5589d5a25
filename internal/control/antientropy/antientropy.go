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
	self      units.NodeID
	nextAt    units.Time
	peerIndex int            // whom of the members to compare with next
	peers     []units.NodeID // the other members at the last tick; none while this node is no member itself
	isVoter   bool           // was in the quorum at the last tick
	healthy   bool           // could take part at the last tick
	catchUp   *catchUp
	Repaired  int // copies of others that were older than the ones here
	Ignored   int // messages of who is no member
}

// New gives one that begins after a random part of the gap, with a random member. It was just started, so it catches up
// first.
func New(self units.NodeID, now units.Time, rng *rand.Rand) *Syncer {
	s := &Syncer{self: self, nextAt: now.Add(time.Duration(rng.Int64N(int64(Interval)))), peerIndex: rng.IntN(1 << 16), healthy: true}
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
func (s *Syncer) Tick(now units.Time, voters []units.NodeID, states map[string]*register.State) (out message.Effects) {
	if !slices.Contains(voters, s.self) {
		s.isVoter, s.peers = false, nil
		return out
	}
	if !s.isVoter {
		s.isVoter = true
		s.StartCatchUp()
	}
	s.peers = slices.DeleteFunc(slices.Clone(voters), func(n units.NodeID) bool { return n == s.self })
	if len(s.peers) == 0 || !s.healthy {
		return out
	}
	if s.catchUp != nil && s.catchUp.complete(s.peers) {
		s.catchUp, s.nextAt = nil, now.Add(Interval)
	}
	if !s.isDue(now) {
		return out
	}
	request := rootRequest{Sum: rangeSums(states).root()}
	var to units.NodeID
	if s.catchUp != nil {
		var wait time.Duration
		to, wait = s.catchUp.nextPeer(s.peers, &s.peerIndex)
		s.nextAt, request.ReplyIfEqual = now.Add(wait), 1
	} else {
		to = s.peers[s.peerIndex%len(s.peers)]
		s.peerIndex++
		s.nextAt = now.Add(Interval)
	}
	out.Send(to, Root, message.Pack(request))
	return out
}

// Step takes one message; of a node that is no member, none.
func (s *Syncer) Step(m message.Message, states map[string]*register.State, repair Repair) (out message.Effects) {
	if !slices.Contains(s.peers, m.From) {
		s.Ignored++
		return out
	}
	var err error
	switch m.Kind {
	case Root:
		err = compareRoot(m, states, &out)
	case Digests:
		err = compareDigests(m, states, &out)
	case Ranges:
		err = s.compareRanges(m, states, repair, &out)
	case Outcome:
		err = s.handleOutcome(m)
	}
	out.AddError(err)
	return out
}

func compareRoot(m message.Message, states map[string]*register.State, out *message.Effects) error {
	var request rootRequest
	if err := message.Unpack(m.Body, &request); err != nil {
		return err
	}
	own := rangeSums(states)
	switch {
	case own.root() != request.Sum:
		out.Send(m.From, Digests, message.Pack(own))
	case request.ReplyIfEqual == 1:
		out.Send(m.From, Outcome, message.Pack(outcomeBody{}))
	}
	return nil
}

func compareDigests(m message.Message, states map[string]*register.State, out *message.Effects) error {
	var theirs digests
	if err := message.Unpack(m.Body, &theirs); err != nil {
		return err
	}
	// Where nothing differs any more, the list is empty and brings the verdict.
	out.Send(m.From, Ranges, packRanges(rangesHeader{Mask: rangeSums(states).differing(theirs)}, states))
	return nil
}

// compareRanges mends what is older there, and shows its own part back when something is older here.
func (s *Syncer) compareRanges(m message.Message, states map[string]*register.State, repair Repair, out *message.Effects) error {
	header, theirs, err := unpackRanges(m.Body)
	if err != nil {
		return err
	}
	ahead, behind := false, false
	for _, key := range message.SortedKeys(states) {
		if !hasCopy(states[key]) || header.Mask>>rangeOf(key)&1 == 0 {
			continue
		}
		switch c := compareCopies(states[key], theirs[key]); {
		case c > 0:
			ahead = true
			s.Repaired++
			out.Append(repair(m.From, key))
		case c < 0:
			behind = true
		}
	}
	for key := range theirs {
		behind = behind || !hasCopy(states[key])
	}
	if behind {
		s.markNewer(m.From)
	}
	if header.IsReply == 1 {
		return nil
	}
	if behind {
		out.Send(m.From, Ranges, packRanges(rangesHeader{header.Mask, 1}, states))
	}
	outcome := outcomeBody{}
	if ahead {
		outcome.Newer = 1
	}
	out.Send(m.From, Outcome, message.Pack(outcome))
	return nil
}

// handleOutcome takes what another member made of this one's copies.
func (s *Syncer) handleOutcome(m message.Message) error {
	var outcome outcomeBody
	if err := message.Unpack(m.Body, &outcome); err != nil {
		return err
	}
	if outcome.Newer == 1 {
		s.markNewer(m.From)
	} else {
		s.markNotNewer(m.From)
	}
	return nil
}
