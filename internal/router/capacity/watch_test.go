package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// A cold worker's rate is shared with those that may be at work behind a cut; a process whose machine runs another in its
// place, and one that was silent for long, are none of them. Two halves of a cut lend no more than the whole.
func TestPartOfRates(t *testing.T) {
	router := func(n units.NodeID, addr string, s membership.State) membership.Member {
		return membership.Member{Node: n, Role: membership.Router, Addr: addr, State: s}
	}
	w := NewRouterTracker()
	see := func(at time.Duration, all ...membership.Member) float64 {
		peers, _ := w.Update(units.Time(at), all)
		return w.RateShare(units.Time(at), len(peers))
	}
	a, b, c := router(1, "a", membership.Alive), router(2, "b", membership.Alive), router(3, "c", membership.Alive)
	if p := see(0, a, b, c); p != 1 {
		t.Errorf("all live: %v", p)
	}
	gone := router(2, "b", membership.Dead)
	if p := see(time.Second, a, gone, c); p < 0.66 || p > 0.67 {
		t.Errorf("one of three silent: %v", p)
	}
	if p := see(time.Second, a, gone, router(3, "c", membership.Dead)); p != 0.5 {
		t.Errorf("two of three silent: %v", p)
	}
	if p := see(2*time.Second, a, gone, c, router(4, "b", membership.Alive)); p != 1 {
		t.Errorf("started again in place: %v", p)
	}
	if p := see(3*time.Second, a, gone, router(3, "c", membership.Dead), router(4, "b", membership.Alive)); p > 0.7 {
		t.Errorf("another silent: %v", p)
	}
	if p := see(time.Minute, a, gone, router(3, "c", membership.Dead), router(4, "b", membership.Alive)); p != 1 {
		t.Errorf("long silent: %v", p)
	}
}

// Where a keeper need not be strict, one that is suspected holds what it was lent, and keeps no worker meanwhile.
func TestSuspectKeepsNothing(t *testing.T) {
	all := []membership.Member{{Node: 1, Role: membership.Router, Addr: "a"}, {Node: 2, Role: membership.Router, Addr: "b", State: membership.Suspect}}
	for _, lax := range []bool{false, true} {
		w := NewRouterTracker()
		w.ExcludeSuspects = lax
		peers, _ := w.Update(0, all)
		if len(peers) != 2 || peers[1].Draining != lax {
			t.Errorf("lax %v: %+v", lax, peers)
		}
	}
}
