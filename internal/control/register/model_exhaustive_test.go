package register

import (
	"flag"
	"testing"

	"seamshunt/internal/units"
)

var (
	modelDepth  = flag.Int("model.depth", 8, "choices of a schedule that may deviate")
	modelBudget = flag.Int("model.budget", 2, "deviations of a schedule")
	modelSingle = flag.Int("model.single", 60, "choices of a schedule of which one alone may deviate")
	modelOrders = flag.Int("model.orders", 3, "choices of a schedule of which all combinations are tried")
)

var nextSet = []units.NodeID{1, 2, 3, 4}

// Two nodes believe to own one key; both write, are asked again for the same writes, and are read from.
var twoWriters = scenario{name: "two writers", members: 3, calm: 1, steps: []func(*modelCluster){
	together(believeAt(1, 1), believeAt(2, 2), believeAt(3, 2)),
	together(writeAt(1), writeAt(2)),
	together(rewriteAt(1, "a-2"), rewriteAt(2, "a-1")),
	together(readAt(1), readAt(3)),
}}

// An owner is superseded by a second one that writes, and is read from afterwards.
var staleOwner = scenario{name: "stale owner", members: 3, calm: 2, steps: []func(*modelCluster){
	believeAll(1),
	writeAt(1),
	together(believeAt(2, 2), writeAt(2)),
	together(readAt(1), rewriteAt(3, "a-2")),
	together(believeAll(3), writeAt(3), readAt(2)),
}}

// The set grows while its owner writes and another node believes to own the key.
var growingSet = scenario{name: "growing set", changes: true, members: 3, spares: 1, calm: 2, steps: []func(*modelCluster){
	believeAll(1),
	writeAt(1),
	together(changeAt(1, nextSet...), writeAt(1)),
	together(believeAt(2, 2), readAt(2)),
	together(believeAll(4), readAt(3)),
}}

// A member is replaced by a spare one, in as many changes as the register needs for it, and its disk is lost.
var replacedMember = scenario{name: "replaced member", changes: true, members: 3, spares: 1, calm: 2, steps: []func(*modelCluster){
	believeAll(2),
	writeAt(2),
	changeAt(2, nextSet...),
	together(believeAll(2), writeAt(2)),
	changeAt(2, 2, 3, 4),
	together(believeAt(3, 3), readAt(3)),
	loseDisk(1),
	together(believeAll(4), writeAt(4)),
}}

// A member is replaced while the owner of the key is down, and only that one and the leaving member hold its value: the
// change has to wait.
var absentOwner = scenario{name: "absent owner", members: 3, spares: 1, calm: 5, steps: []func(*modelCluster){
	believeAll(1, 3), // 1 owns the quorum set's key and 3 the other
	crashAt(2),
	writeAt(1),
	together(startAt(2), believeAll(1, 3)),
	crashAt(3),
	changeAt(1, 2, 3, 4),
	startAt(3),
	together(believeAll(4), readAt(2)),
}}

var scenarios = []scenario{twoWriters, staleOwner, growingSet, replacedMember, absentOwner}

// Every schedule with a bounded number of deviations from the ordinary course keeps the invariants.
func TestModelDeviations(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.explore(t, *modelSingle, 1)
			s.explore(t, *modelDepth, *modelBudget)
		})
	}
}

// Every combination of what may happen to the first messages keeps the invariants.
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
		acknowledged += c.checker.clients.acknowledged()
		if c.checker.current > 1 {
			changed++
		}
		return true
	})
	t.Logf("%d schedules, %d numbers acknowledged, set changed in %d", count, acknowledged, changed)
	if acknowledged < count/4 || s.changes && changed < count/4 {
		t.Errorf("too little was tried: %d schedules, %d numbers acknowledged, set changed in %d", count, acknowledged, changed)
	}
}
