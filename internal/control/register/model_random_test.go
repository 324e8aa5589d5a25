package register

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"seamshunt/internal/units"
)

var modelSteps = flag.Int("model.steps", 300, "number of actions of a random run")

// maxInFlight limits the undelivered messages of a random run; beyond it the oldest are lost.
const maxInFlight = 80

// maxWrites limits the writes on one key, below the number of outcomes that a register keeps for resent writes.
const maxWrites = 12

// randomRun draws the actions of one run.
type randomRun struct {
	*rapid.T
	*modelCluster
	proposed     []proposal
	submittedIDs []string // request ids
}

// proposal is a set whose members were requested at a node, and the version in force at that time.
type proposal struct {
	members []units.NodeID
	version units.Version
}

// action is a possible step of a random run; weight is its relative frequency.
type action struct {
	weight int
	do     func(*randomRun)
}

var actions = []action{
	{8, (*randomRun).deliverAny},
	{8, (*randomRun).deliverSome},
	{2, (*randomRun).dropAny},
	{2, (*randomRun).duplicateAny},
	{4, (*randomRun).tickAny},
	{3, (*randomRun).tickAll},
	{3, (*randomRun).syncAny},
	{2, (*randomRun).crashAny},
	{3, (*randomRun).restartAny},
	{1, (*randomRun).loseAnyDisk},
	{2, (*randomRun).stabilize},
	{2, (*randomRun).agreeOnOwners},
	{3, (*randomRun).disagreeOnOwners},
	{3, (*randomRun).writeAny},
	{3, (*randomRun).readAny},
	{2, (*randomRun).resubmitAny},
	{8, (*randomRun).changeMembersAny},
	{1, (*randomRun).resendAny},
	{1, (*randomRun).learnAny},
}

// Random runs with several cluster sizes keep the invariants, and a healed cluster answers.
func TestModelRandom(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "16"); err != nil { // reproducible unless another seed is given
			t.Fatal(err)
		}
	}
	for members := 3; members <= 5; members++ {
		for spares := 1; spares <= 2; spares++ {
			t.Run(fmt.Sprintf("%d replicas, %d spare", members, spares), func(t *testing.T) {
				t.Parallel()
				var total coverage
				rapid.Check(t, func(t *rapid.T) { total.add(playRandom(t, members, spares)) })
				total.check(t)
			})
		}
	}
}

// coverage counts what random runs have exercised.
type coverage struct{ runs, acknowledged, changes, reads, lost int }

func (v *coverage) add(c *modelCluster) {
	v.runs++
	v.acknowledged += c.checker.clients.acknowledgedWrites()
	v.reads += c.checker.clients.answeredReads
	v.changes += int(c.checker.current) - 1
	for _, n := range c.nodes {
		if n.lost {
			v.lost++
		}
	}
}

// check fails if the random runs exercised too little for a meaningful result.
func (v *coverage) check(t *testing.T) {
	t.Logf("%+v", *v)
	if v.acknowledged < v.runs || v.reads < v.runs || 4*v.changes < v.runs || 4*v.lost < v.runs {
		t.Errorf("insufficient coverage: %+v", *v)
	}
}

func playRandom(t *rapid.T, members, spares int) *modelCluster {
	r := &randomRun{T: t, modelCluster: newModelCluster(members, spares)}
	var choices []func(*randomRun)
	for _, a := range actions {
		choices = append(choices, slices.Repeat([]func(*randomRun){a.do}, a.weight)...)
	}
	r.agreeOnOwners()
	r.tickAndDeliver()
	for range *modelSteps {
		choices[r.pick(len(choices))](r)
		for len(r.inFlight) > maxInFlight {
			r.removeMessage(0)
		}
		if r.checker.violation != "" {
			break
		}
	}
	if r.checker.violation == "" {
		r.heal()
	}
	if r.checker.violation != "" {
		t.Fatalf("%s\n%s", r.checker.violation, r.trace())
	}
	return r.modelCluster
}
