package capacity

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// RouterTracker follows the membership of the routers: which are live, which are unreachable and since when, and which
// processes are known to have ended.
type RouterTracker struct {
	// ExcludeSuspects treats suspected routers as draining, so that they coordinate no worker: an unnecessary change of the
	// coordinator costs a few messages, a dead coordinator costs seconds.
	ExcludeSuspects bool

	unreachableSince map[units.NodeID]units.Time
	endedAt          map[units.NodeID]units.Time
}

// NewRouterTracker returns an empty tracker.
func NewRouterTracker() *RouterTracker {
	return &RouterTracker{unreachableSince: map[units.NodeID]units.Time{}, endedAt: map[units.NodeID]units.Time{}}
}

// ProcessEnded records that a process has ended: its connections are closed and it holds no permits.
func (w *RouterTracker) ProcessEnded(now units.Time, node units.NodeID) {
	if _, ok := w.endedAt[node]; !ok {
		delete(w.unreachableSince, node)
		w.endedAt[node] = now
	}
}

// Update takes the list of members. It returns the live routers, and whether one became unreachable since the last call.
func (w *RouterTracker) Update(now units.Time, all []membership.Member) (peers []Peer, changed bool) {
	aliveAddrs := map[string]bool{}
	for _, m := range all {
		if m.Role == membership.Router && m.State <= membership.Suspect {
			aliveAddrs[m.Addr] = true
		}
	}
	for _, m := range all {
		if m.Role != membership.Router {
			continue
		}
		if m.State > membership.Suspect && aliveAddrs[m.Addr] {
			w.ProcessEnded(now, m.Node) // another process runs at its address
		}
		switch {
		case m.State <= membership.Suspect:
			delete(w.unreachableSince, m.Node)
			peers = append(peers, Peer{Node: m.Node, Zone: m.Zone,
				Draining: m.Flags&membership.Draining != 0 || w.ExcludeSuspects && m.State == membership.Suspect})
		case m.State == membership.Left:
			delete(w.unreachableSince, m.Node)
		default:
			_, ended := w.endedAt[m.Node]
			if _, ok := w.unreachableSince[m.Node]; !ok && !ended {
				w.unreachableSince[m.Node] = now
				changed = true
			}
		}
	}
	return peers, changed
}

// unreachableCountsFor is how long RateShare assumes that an unreachable router is still working behind a network partition.
const unreachableCountsFor = 30 * time.Second

// RateShare returns the share of a warming-up worker's rate that this side of a network partition may use: the share of live
// routers among all that may be working, but at least half, since a partition has two sides (docs/design.md, section 12).
func (w *RouterTracker) RateShare(now units.Time, live int) float64 {
	unreachable := 0
	for _, t := range w.unreachableSince {
		if now.Sub(t) < unreachableCountsFor {
			unreachable++
		}
	}
	return max(0.5, float64(live)/float64(max(1, live+unreachable)))
}

// RunDeadlines returns until when the runs of processes that aren't live may still be in progress: the longest possible
// deadline for unreachable ones, the time that workers need to notice for those known to have ended.
func (w *RouterTracker) RunDeadlines(longest time.Duration) map[units.NodeID]units.Time {
	deadlines := map[units.NodeID]units.Time{}
	for n, t := range w.unreachableSince {
		deadlines[n] = t.Add(longest + runGrace)
	}
	for n, t := range w.endedAt {
		deadlines[n] = t.Add(disconnectGrace)
	}
	return deadlines
}
