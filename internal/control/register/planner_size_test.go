package register

import (
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// A set of a fixed size replaces members that are gone for long, and keeps the seats of others.
func TestPlannerOfFixedSize(t *testing.T) {
	all := []membership.Member{core(1, "a", membership.MayVote), core(2, "b", membership.MayVote), core(3, "c", membership.MayVote), core(4, "d", membership.MayVote), core(5, "e", membership.MayVote)}
	q := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3, 4}}
	p := &Planner{FixedSize: 4, ReplaceAfter: ReplaceFixedAfter}
	now := units.Time(time.Second)
	if got := p.NextMembers(now, q, NewControllerView(all)); got != nil {
		t.Errorf("all are there: %v", got)
	}
	all[1].State = membership.Dead
	_ = p.NextMembers(now, q, NewControllerView(all))
	if got := p.NextMembers(now.Add(4*time.Second), q, NewControllerView(all)); got != nil {
		t.Errorf("one is away for a while: %v", got)
	}
	if got := p.NextMembers(now.Add(6*time.Second), q, NewControllerView(all)); !slices.Equal(got, []units.NodeID{1, 3, 4, 5}) {
		t.Errorf("one is gone: %v", got)
	}
}

// Where no loss must be borne, the set shrinks to what is left once a member says that it leaves.
func TestPlannerShrinksForLeavers(t *testing.T) {
	all := []membership.Member{core(1, "a", membership.MayVote), core(2, "b", membership.MayVote|membership.Draining)}
	p := &Planner{MinSize: 1, ReplaceAfter: ReplaceAfter}
	q := QuorumSet{Version: 1, Members: []units.NodeID{1, 2}}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all)); !slices.Equal(got, []units.NodeID{1}) {
		t.Errorf("one of two leaves: %v", got)
	}
	all = append(all, core(3, "c", membership.MayVote))
	p = &Planner{MinSize: 1, ReplaceAfter: ReplaceAfter}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all)); !slices.Equal(got, []units.NodeID{1, 3}) {
		t.Errorf("one of two leaves, and another came: %v", got)
	}
	q = QuorumSet{Version: 1, Members: []units.NodeID{2}}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all[1:])); !slices.Equal(got, []units.NodeID{3}) {
		t.Errorf("the only one leaves, and another came: %v", got)
	}
	all, q = all[:2], QuorumSet{Version: 1, Members: []units.NodeID{1, 2}}
	p = &Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
	if got := p.NextMembers(units.Time(time.Second), q, NewControllerView(all)); got != nil {
		t.Errorf("one of two leaves where a loss is to be borne: %v", got)
	}
}
