// Package antientropy compares the voters' copies of the control state by digests over ranges of keys, and repairs older copies
// from newer ones (docs/design.md, section 2). A voter that may have missed writes compares with every other voter at once, one
// after the other; a voter that has nothing to catch up with compares with one other voter every Interval.
package antientropy

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// The messages of a comparison. Root opens it; if the sums differ, the answer is Digests, and the answer to Digests is Ranges.
// The receiver of Ranges repairs the sender's older copies, sends its own Ranges back if some of its copies are older, and
// reports in an Outcome whether it had anything newer. A repair is the owner's last Accept sent again, so an acceptor checks it
// against its promises.
const (
	Digests = message.KindAntiEntropy + iota
	Ranges
	Root
	Outcome
)

// Interval is the time between two comparisons by a voter that has nothing to catch up with.
const Interval = 1500 * time.Millisecond

// Repair sends a key's accepted value to another voter.
type Repair func(to units.NodeID, key string) message.Effects

// Syncer is one node's state machine for comparisons. It isn't safe for concurrent use.
type Syncer struct {
	self      units.NodeID
	nextAt    units.Time     // when the next comparison is due
	peerIndex int            // index of the next peer to compare with
	peers     []units.NodeID // the other voters at the last tick; none while this node is no voter itself
	isVoter   bool           // was in the quorum set at the last tick
	healthy   bool           // could take part in comparisons at the last tick
	catchUp   *catchUp       // the catch-up in progress, if any
	Repaired  int            // copies of other voters that were older than this node's
	Ignored   int            // messages from nodes that aren't voters
}

// New returns a syncer that begins after a random part of the interval, with a random peer. It catches up first, since the
// process was just started.
func New(self units.NodeID, now units.Time, rng *rand.Rand) *Syncer {
	s := &Syncer{self: self, nextAt: now.Add(time.Duration(rng.Int64N(int64(Interval)))), peerIndex: rng.IntN(1 << 16),
		healthy: true}
	return s
}

// SetHealthy sets whether this node reaches a majority and its disk accepts writes. An unhealthy node can't be repaired and
// sends no requests; it may miss writes meanwhile, so it catches up when it is healthy again.
func (s *Syncer) SetHealthy(ok bool) {
	if ok && !s.healthy {
		s.StartCatchUp()
	}
	s.healthy = ok
}

// Tick starts a comparison with one other voter if it is due. A node outside the quorum set takes no part: it stores no copies,
// so every key would be sent to it again and again.
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

// Step handles one message. Messages from nodes that aren't voters are ignored.
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

// compareRoot answers with the digests if the sums over all keys differ, and with an outcome if they are equal and the sender
// requested one.
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

// compareDigests answers with the versions of the copies in all ranges that differ.
func compareDigests(m message.Message, states map[string]*register.State, out *message.Effects) error {
	var remote digests
	if err := message.Unpack(m.Body, &remote); err != nil {
		return err
	}
	// If nothing differs any more, the list is empty, and it is still sent, since its answer is the outcome.
	out.Send(m.From, Ranges, packRanges(rangesHeader{Mask: rangeSums(states).differing(remote)}, states))
	return nil
}

// compareRanges repairs the sender's older copies, and sends this node's versions back if some of its own copies are
// older.
func (s *Syncer) compareRanges(m message.Message, states map[string]*register.State, repair Repair,
	out *message.Effects) error {
	header, remote, err := unpackRanges(m.Body)
	if err != nil {
		return err
	}
	ahead, behind := false, false
	for _, key := range message.SortedKeys(states) {
		if !hasCopy(states[key]) || header.Mask>>rangeOf(key)&1 == 0 {
			continue
		}
		switch c := compareCopies(states[key], remote[key]); {
		case c > 0:
			ahead = true
			s.Repaired++
			out.Append(repair(m.From, key))
		case c < 0:
			behind = true
		}
	}
	for key := range remote {
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

// handleOutcome records whether another voter found older copies here.
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
