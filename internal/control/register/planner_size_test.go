package register

import (
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// A set of fixed size replaces members that are absent for long, and keeps the voting seats of the others.
func TestPlannerFixedSize(t *testing.T) {
	all := []membership.Member{controller(1, "a", membership.MayVote), controller(2, "b", membership.MayVote), controller(3, "c", membership.MayVote), controller(4, "d", membership.MayVote), controller(5, "e", membership.MayVote)}
	q := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3, 4}}
	p := &Planner{FixedSize: 4, ReplaceAfter: ReplaceFixedAfter}
	now := units.Time(time.Second)
	if got := p.NextMembers(now, q, NewControllerView(all)); got != nil {
		t.Errorf("all are present: %v", got)
	}
	all[1].State = membership.Dead
	_ = p.NextMembers(now, q, NewControllerView(all))
	if got := p.NextMembers(now.Add(4*time.Second), q, NewControllerView(all)); got != nil {
		t.Errorf("one is absent for a short time: %v", got)
	}
	if got := p.NextMembers(now.Add(6*time.Second), q, NewControllerView(all)); !slices.Equal(got, []units.NodeID{1, 3, 4, 5}) {
		t.Errorf("one is absent for long: %v", got)
	}
}

// If no loss has to be tolerated, the set shrinks to the remaining members as soon as a member is draining.
func TestPlannerShrinksWhenMembersLeave(t *testing.T) {
	all := []membership.Member{controller(1, "a", membership.MayVote), controller(2, "b", membership.MayVote|membership.Draining)}
	p := &Planner{MinSize: 1, ReplaceAfter: ReplaceAfter}
	q := QuorumSet{Version: 1, Members: []units.NodeID{1, 2}}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all)); !slices.Equal(got, []units.NodeID{1}) {
		t.Errorf("one of two is draining: %v", got)
	}
	all = append(all, controller(3, "c", membership.MayVote))
	p = &Planner{MinSize: 1, ReplaceAfter: ReplaceAfter}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all)); !slices.Equal(got, []units.NodeID{1, 3}) {
		t.Errorf("one of two is draining, with a spare: %v", got)
	}
	q = QuorumSet{Version: 1, Members: []units.NodeID{2}}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all[1:])); !slices.Equal(got, []units.NodeID{3}) {
		t.Errorf("the only member is draining, with a spare: %v", got)
	}
	all, q = all[:2], QuorumSet{Version: 1, Members: []units.NodeID{1, 2}}
	p = &Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all)); got != nil {
		t.Errorf("one of two is draining, and a loss has to be tolerated: %v", got)
	}
}
