package register

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// viewOfControllers returns a view of controllers 1 to n, each with a voting disk.
func viewOfControllers(n int) ControllerView {
	var all []membership.Member
	for id := 1; id <= n; id++ {
		all = append(all, membership.Member{Node: units.NodeID(id), Incarnation: 1, Role: membership.Controller, Addr: units.NodeID(id).String(), Flags: membership.MayVote})
	}
	return NewControllerView(all)
}

// A member's voting seat is valid without limit only if no other replica could take it. Otherwise it is valid for no
// longer than the others wait before they replace a member.
func TestSeatValidUntil(t *testing.T) {
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
		{"a spare disk exists", three, 4, true, now.Add(reachabilityTimeout)},
		{"the set may shrink", five, 5, true, now.Add(reachabilityTimeout)},
		{"a change is in progress", joint, 3, true, now.Add(reachabilityTimeout)},
		{"no majority since the start", three, 3, false, seatUnknown},
	} {
		p := Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
		p.NextMembers(now, c.set, viewOfControllers(c.disks))
		if got := p.SeatValidUntil(now, c.known); got != c.want {
			t.Errorf("%s: the seat is valid until %v, want %v", c.name, got, c.want)
		}
	}
}

// The view that a member had before a network partition decides for as long as the partition lasts, although the
// member receives nothing from other controllers meanwhile.
func TestSeatOfPartitionedMember(t *testing.T) {
	set := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}
	p := Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
	partitionedAt := units.Time(time.Minute)
	p.NextMembers(partitionedAt, set, viewOfControllers(4))
	for now := partitionedAt; now < partitionedAt.Add(time.Minute); now = now.Add(50 * time.Millisecond) {
		p.NextMembers(now, set, viewOfControllers(1))
		if got := p.SeatValidUntil(partitionedAt, true); got != partitionedAt.Add(reachabilityTimeout) {
			t.Fatalf("%v after the partition began the seat is valid until %v", now.Sub(partitionedAt), got)
		}
	}
}
