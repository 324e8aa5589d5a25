package register

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// seatView shows controllers 1 to n, each with a disk that counts.
func seatView(n int) ControllerView {
	var all []membership.Member
	for id := 1; id <= n; id++ {
		all = append(all, membership.Member{Node: units.NodeID(id), Incarnation: 1, Role: membership.Controller, Addr: units.NodeID(id).String(), Flags: membership.MayVote})
	}
	return NewControllerView(all)
}

// A member may count on its seat without end only while nobody could take it, and not longer than the others wait before
// they give it away otherwise.
func TestSeatUntil(t *testing.T) {
	now := units.Time(time.Minute)
	three := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}
	five := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3, 4, 5}}
	joint := QuorumSet{Version: 2, Members: three.Members, Incoming: []units.NodeID{1, 2, 4}}
	for _, c := range []struct {
		name  string
		set   QuorumSet
		disks int
		known bool
		want  units.Time
	}{
		{"all disks are members of the smallest set", three, 3, true, 0},
		{"another disk stands by", three, 4, true, now.Add(reachFor)},
		{"the set may get smaller", five, 5, true, now.Add(reachFor)},
		{"a change is under way", joint, 3, true, now.Add(reachFor)},
		{"no majority since the start", three, 3, false, seatUnknown},
	} {
		p := Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
		p.NextMembers(now, c.set, seatView(c.disks))
		if got := p.SeatValidUntil(now, c.known); got != c.want {
			t.Errorf("%s: the seat stands until %v, want %v", c.name, got, c.want)
		}
	}
}

// What a member could see before it was cut off decides for as long as the cut lasts, though it sees nobody any more.
func TestSeatOfOneThatIsCutOff(t *testing.T) {
	set := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}
	p := Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
	cut := units.Time(time.Minute)
	p.NextMembers(cut, set, seatView(4))
	for now := cut; now < cut.Add(time.Minute); now = now.Add(50 * time.Millisecond) {
		p.NextMembers(now, set, seatView(1))
		if got := p.SeatValidUntil(cut, true); got != cut.Add(reachFor) {
			t.Fatalf("%v behind the cut the seat stands until %v", now.Sub(cut), got)
		}
	}
}
