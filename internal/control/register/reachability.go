package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Spans of reaching (start values).
const (
	reachGap = time.Second
	reachFor = 2500 * time.Millisecond
)

// reach is whether this voter hears a majority of the others answer. Membership can't tell: a node that is cut off from
// the rest of the core alone is still seen by way of others, and would own keys that it can do nothing with (design 2).
type reach struct {
	born  units.Time
	sent  units.Time
	heard map[units.NodeID]units.Time
}

// reachStep takes a call or an answer between voters; they bear nothing.
func (b *Replica) reachStep(now units.Time, n message.Message, out *message.Effects) {
	if n.Kind == Ping {
		out.Send(n.From, Pong, nil)
		return
	}
	b.reach.heard[n.From] = now
}

func (b *Replica) reachTick(now units.Time, out *message.Effects) {
	if !b.quorum.Has(b.self) {
		b.reach.born = 0 // who comes to vote later has heard nobody yet
		return
	}
	if b.reach.born == 0 {
		b.reach.born = max(now, 1)
	}
	if now.Sub(b.reach.sent) < reachGap {
		return
	}
	b.reach.sent = now
	for _, n := range b.quorum.All() {
		if n != b.self {
			out.Send(n, Ping, nil)
		}
	}
}

// ReachesMajority says whether a majority of the voters, with this one, answered lately. Who has just started is believed.
func (b *Replica) ReachesMajority(now units.Time) bool {
	if !b.quorum.Has(b.self) || b.reach.born == 0 || now.Sub(b.reach.born) < reachFor {
		return true
	}
	silence, known := b.TimeSinceMajorityContact(now)
	return known && silence < reachFor
}

// LastMajorityContact gives when a majority of the voters had last answered; it is not known before one has.
func (b *Replica) LastMajorityContact(now units.Time) (heard units.Time, known bool) {
	silence, known := b.TimeSinceMajorityContact(now)
	return now.Add(-silence), known
}

// TimeSinceMajorityContact gives how long ago a majority of the voters, with this one, had last answered. It is not known on a
// node that does not vote, nor before so many have answered since its start.
func (b *Replica) TimeSinceMajorityContact(now units.Time) (silence time.Duration, known bool) {
	if !b.quorum.Has(b.self) {
		return 0, false
	}
	silences := []time.Duration{0}
	for _, n := range b.quorum.Members {
		if heard, ok := b.reach.heard[n]; ok && n != b.self {
			silences = append(silences, now.Sub(heard))
		}
	}
	majority := len(b.quorum.Members)/2 + 1
	if len(silences) < majority {
		return 0, false
	}
	slices.Sort(silences)
	return silences[majority-1], true
}

// Resume forgets who answered before a freeze, and believes again for a while.
func (b *Replica) Resume(now units.Time) { b.reach.born, b.reach.sent = max(now, 1), 0 }
