package register

import (
	"flag"
	"testing"

	"seamshunt/internal/units"
)

var (
	modelDepth  = flag.Int("model.depth", 8, "number of first choices of a schedule that may deviate")
	modelBudget = flag.Int("model.budget", 2, "maximum number of deviations of a schedule")
	modelSingle = flag.Int("model.single", 60, "number of first choices of a schedule of which a single one may deviate")
	modelOrders = flag.Int("model.orders", 3, "number of first choices of a schedule of which all combinations are run")
)

var nextSet = []units.NodeID{1, 2, 3, 4}

// Two nodes both regard themselves as owner of one key. Both write, receive the same writes again, and are read from.
var twoWriters = scenario{name: "two writers", members: 3, undisturbedSteps: 1, steps: []func(*modelCluster){
	together(setOwnerAt(1, 1), setOwnerAt(2, 2), setOwnerAt(3, 2)),
	together(writeAt(1), writeAt(2)),
	together(resubmitAt(1, "a-2"), resubmitAt(2, "a-1")),
	together(readAt(1), readAt(3)),
}}

// An owner is superseded by a second one that writes, and is read from afterwards.
var staleOwner = scenario{name: "stale owner", members: 3, undisturbedSteps: 2, steps: []func(*modelCluster){
	setOwnersEverywhere(1),
	writeAt(1),
	together(setOwnerAt(2, 2), writeAt(2)),
	together(readAt(1), resubmitAt(3, "a-2")),
	together(setOwnersEverywhere(3), writeAt(3), readAt(2)),
}}

// The set grows while its owner writes and another node considers itself the owner of the key.
var growingSet = scenario{name: "growing set", expectsSetChange: true, members: 3, spares: 1, undisturbedSteps: 2, steps: []func(*modelCluster){
	setOwnersEverywhere(1),
	writeAt(1),
	together(changeMembersAt(1, nextSet...), writeAt(1)),
	together(setOwnerAt(2, 2), readAt(2)),
	together(setOwnersEverywhere(4), readAt(3)),
}}

// A member is replaced by a spare, in as many steps as the register needs, and its disk is lost.
var replacedMember = scenario{name: "replaced member", expectsSetChange: true, members: 3, spares: 1, undisturbedSteps: 2, steps: []func(*modelCluster){
	setOwnersEverywhere(2),
	writeAt(2),
	changeMembersAt(2, nextSet...),
	together(setOwnersEverywhere(2), writeAt(2)),
	changeMembersAt(2, 2, 3, 4),
	together(setOwnerAt(3, 3), readAt(3)),
	loseDiskOf(1),
	together(setOwnersEverywhere(4), writeAt(4)),
}}

// A member is replaced while the owner of the key is down, and only that owner and the removed member hold the key's
// value: the change has to wait.
var absentOwner = scenario{name: "absent owner", members: 3, spares: 1, undisturbedSteps: 5, steps: []func(*modelCluster){
	setOwnersEverywhere(1, 3), // node 1 owns KeyQuorum and node 3 the other key
	crashAt(2),
	writeAt(1),
	together(startAt(2), setOwnersEverywhere(1, 3)),
	crashAt(3),
	changeMembersAt(1, 2, 3, 4),
	startAt(3),
	together(setOwnersEverywhere(4), readAt(2)),
}}

var scenarios = []scenario{twoWriters, staleOwner, growingSet, replacedMember, absentOwner}

// Every schedule with a limited number of deviations from the default keeps the invariants.
func TestModelDeviations(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.explore(t, *modelSingle, 1)
			s.explore(t, *modelDepth, *modelBudget)
		})
	}
}

// Every combination of fates of the first messages keeps the invariants.
func TestModelOrders(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.explore(t, *modelOrders, *modelOrders)
		})
	}
}

func (s scenario) explore(t *testing.T, depth, budget int) {
	acknowledged, changed := 0, 0
	count := explore(depth, budget, func(choose func(int) int) bool {
		c := s.run(choose)
		if c.checker.violation != "" {
			t.Errorf("%s\n%s", c.checker.violation, c.trace())
			return false
		}
		acknowledged += c.checker.clients.acknowledgedWrites()
		if c.checker.current > 1 {
			changed++
		}
		return true
	})
	t.Logf("%d schedules, %d versions acknowledged, set changed in %d", count, acknowledged, changed)
	if acknowledged < count/4 || s.expectsSetChange && changed < count/4 {
		t.Errorf("insufficient coverage: %d schedules, %d versions acknowledged, set changed in %d", count, acknowledged, changed)
	}
}
