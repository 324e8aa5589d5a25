package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Timing of the reachability check.
const (
	pingInterval        = time.Second
	reachabilityTimeout = 2500 * time.Millisecond // a voter that has not answered for this long counts as unreachable
)

// reachability tracks whether the other voters answer this one. Membership can't show it: a node that is partitioned
// from the other controllers only is still seen through third nodes, and would own keys that it can't serve
// (docs/design.md, section 2).
type reachability struct {
	trackedSince units.Time
	pingedAt     units.Time
	lastPong     map[units.NodeID]units.Time
}

// handlePing processes a Ping or a Pong between voters; neither has a body.
func (b *Replica) handlePing(now units.Time, msg message.Message, out *message.Effects) {
	if msg.Kind == Ping {
		out.Send(msg.From, Pong, nil)
		return
	}
	b.reachability.lastPong[msg.From] = now
}

func (b *Replica) tickReachability(now units.Time, out *message.Effects) {
	if !b.quorum.Has(b.self) {
		b.reachability.trackedSince = 0 // a node that becomes a voter later has received no message from any other yet
		return
	}
	if b.reachability.trackedSince == 0 {
		b.reachability.trackedSince = max(now, 1)
	}
	if now.Sub(b.reachability.pingedAt) < pingInterval {
		return
	}
	b.reachability.pingedAt = now
	for _, n := range b.quorum.All() {
		if n != b.self {
			out.Send(n, Ping, nil)
		}
	}
}

// ReachesMajority reports whether a majority of the voters, including this one, answered recently. A node that has
// just started or resumed is assumed to reach it.
func (b *Replica) ReachesMajority(now units.Time) bool {
	if !b.quorum.Has(b.self) || b.reachability.trackedSince == 0 || now.Sub(b.reachability.trackedSince) < reachabilityTimeout {
		return true
	}
	silence, known := b.TimeSinceMajorityContact(now)
	return known && silence < reachabilityTimeout
}

// LastMajorityContact returns the time at which a majority of the voters had last answered. It is unknown before a
// majority has.
func (b *Replica) LastMajorityContact(now units.Time) (contactAt units.Time, known bool) {
	silence, known := b.TimeSinceMajorityContact(now)
	return now.Add(-silence), known
}

// TimeSinceMajorityContact returns how long ago a majority of the voters, including this one, had last answered. It
// is unknown on a node that does not vote, and until a majority has answered since the start.
func (b *Replica) TimeSinceMajorityContact(now units.Time) (silence time.Duration, known bool) {
	if !b.quorum.Has(b.self) {
		return 0, false
	}
	silences := []time.Duration{0}
	for _, n := range b.quorum.Members {
		if answeredAt, ok := b.reachability.lastPong[n]; ok && n != b.self {
			silences = append(silences, now.Sub(answeredAt))
		}
	}
	majority := len(b.quorum.Members)/2 + 1
	if len(silences) < majority {
		return 0, false
	}
	slices.Sort(silences)
	return silences[majority-1], true
}

// Resume restarts the reachability check after the process was paused. Until it has run for reachabilityTimeout, the
// majority is assumed to be reachable.
func (b *Replica) Resume(now units.Time) {
	b.reachability.trackedSince, b.reachability.pingedAt = max(now, 1), 0
}
