package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// A warming-up worker's rate is shared with routers that may still be working behind a network partition. A process that was
// replaced by another one at its address, or that has been unreachable for long, doesn't count. The two sides of a partition
// together grant no more than the whole.
func TestRateShare(t *testing.T) {
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
	dead := router(2, "b", membership.Dead)
	if p := see(time.Second, a, dead, c); p < 0.66 || p > 0.67 {
		t.Errorf("one of three unreachable: %v", p)
	}
	if p := see(time.Second, a, dead, router(3, "c", membership.Dead)); p != 0.5 {
		t.Errorf("two of three unreachable: %v", p)
	}
	if p := see(2*time.Second, a, dead, c, router(4, "b", membership.Alive)); p != 1 {
		t.Errorf("restarted at the same address: %v", p)
	}
	if p := see(3*time.Second, a, dead, router(3, "c", membership.Dead), router(4, "b", membership.Alive)); p > 0.7 {
		t.Errorf("another unreachable: %v", p)
	}
	if p := see(time.Minute, a, dead, router(3, "c", membership.Dead), router(4, "b", membership.Alive)); p != 1 {
		t.Errorf("unreachable for long: %v", p)
	}
}

// With ExcludeSuspects, a suspected router still holds its permits but coordinates no worker.
func TestSuspectCoordinatesNothing(t *testing.T) {
	all := []membership.Member{{Node: 1, Role: membership.Router, Addr: "a"},
		{Node: 2, Role: membership.Router, Addr: "b", State: membership.Suspect}}
	for _, exclude := range []bool{false, true} {
		w := NewRouterTracker()
		w.ExcludeSuspects = exclude
		peers, _ := w.Update(0, all)
		if len(peers) != 2 || peers[1].Draining != exclude {
			t.Errorf("ExcludeSuspects %v: %+v", exclude, peers)
		}
	}
}
