package capacity

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// RouterTracker keeps what membership says of the routers: who is live, who fell silent and since when, and
// who is known to have ended.
type RouterTracker struct {
	ExcludeSuspects bool // one that is only suspected keeps no worker: a needless change costs a few notes, a dark keeper seconds
	lost            map[units.NodeID]units.Time
	void            map[units.NodeID]units.Time
}

// NewRouterTracker gives an empty one.
func NewRouterTracker() *RouterTracker {
	return &RouterTracker{lost: map[units.NodeID]units.Time{}, void: map[units.NodeID]units.Time{}}
}

// ProcessEnded notes that a process has ended: its wires are broken, it holds nothing.
func (w *RouterTracker) ProcessEnded(now units.Time, n units.NodeID) {
	if _, ok := w.void[n]; !ok {
		delete(w.lost, n)
		w.void[n] = now
	}
}

// Update takes membership's list. Changed says whether somebody fell silent since the last look.
func (w *RouterTracker) Update(now units.Time, all []membership.Member) (peers []Peer, changed bool) {
	here := map[string]bool{}
	for _, m := range all {
		if m.Role == membership.Router && m.State <= membership.Suspect {
			here[m.Addr] = true
		}
	}
	for _, m := range all {
		if m.Role != membership.Router {
			continue
		}
		if m.State > membership.Suspect && here[m.Addr] {
			w.ProcessEnded(now, m.Node) // its machine runs another process in its place
		}
		switch {
		case m.State <= membership.Suspect:
			delete(w.lost, m.Node)
			peers = append(peers, Peer{Node: m.Node, Zone: m.Zone, Draining: m.Flags&membership.Draining != 0 || w.ExcludeSuspects && m.State == membership.Suspect})
		case m.State == membership.Left:
			delete(w.lost, m.Node)
		default:
			_, void := w.void[m.Node]
			if _, ok := w.lost[m.Node]; !ok && !void {
				w.lost[m.Node] = now
				changed = true
			}
		}
	}
	return peers, changed
}

// lostFor is how long one that fell silent is held to be at work behind a cut, when rates are shared.
const lostFor = 30 * time.Second

// RateShare is the share of a cold worker's rate that this node's side may lend: as many as it sees live of all that may be at
// work, and never under a half, since a cut has two sides (design 12).
func (w *RouterTracker) RateShare(now units.Time, live int) float64 {
	n := 0
	for _, t := range w.lost {
		if now.Sub(t) < lostFor {
			n++
		}
	}
	return max(0.5, float64(live)/float64(max(1, live+n)))
}

// RunDeadlines gives the moments until which processes that are not live may still have runs going: those that fell
// silent for the longest time left there is, those known to have ended for as long as workers take to notice.
func (w *RouterTracker) RunDeadlines(longest time.Duration) map[units.NodeID]units.Time {
	m := map[units.NodeID]units.Time{}
	for n, t := range w.lost {
		m[n] = t.Add(longest + grace)
	}
	for n, t := range w.void {
		m[n] = t.Add(burst)
	}
	return m
}
