package register

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"seamshunt/internal/units"
)

var modelSteps = flag.Int("model.steps", 300, "actions of a random run")

// maxBag bounds the messages on their way in a random run; the oldest are lost beyond it.
const maxBag = 80

// maxWrites bounds the writes on one key, below the number of outcomes that a register keeps for resent writes.
const maxWrites = 12

// randomRun draws the actions of one run.
type randomRun struct {
	*rapid.T
	*modelCluster
	proposed []proposal
	written  []string // request ids
}

// proposal is a set that somebody was asked to change to, and the version in force at that time.
type proposal struct {
	members []units.NodeID
	version units.Version
}

// action is something that a random run may do; weight says how often.
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
	{1, (*randomRun).loseAny},
	{2, (*randomRun).calm},
	{2, (*randomRun).agree},
	{3, (*randomRun).disagree},
	{3, (*randomRun).writeAny},
	{3, (*randomRun).readAny},
	{2, (*randomRun).rewriteAny},
	{8, (*randomRun).changeAny},
	{1, (*randomRun).resendAny},
	{1, (*randomRun).learnAny},
}

// Random runs at several sizes keep the invariants, and a healed cluster answers.
func TestModelRandom(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "16"); err != nil { // the same verdict each time, unless another seed is asked for
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

// coverage counts what random runs brought about.
type coverage struct{ runs, acknowledged, changes, reads, lost int }

func (v *coverage) add(c *modelCluster) {
	v.runs++
	v.acknowledged += c.checker.clients.acknowledged()
	v.reads += c.checker.clients.reads
	v.changes += int(c.checker.current) - 1
	for _, n := range c.nodes {
		if n.lost {
			v.lost++
		}
	}
}

// check fails where random runs bring about too little to mean anything.
func (v *coverage) check(t *testing.T) {
	t.Logf("%+v", *v)
	if v.acknowledged < v.runs || v.reads < v.runs || 4*v.changes < v.runs || 4*v.lost < v.runs {
		t.Errorf("too little was tried: %+v", *v)
	}
}

func playRandom(t *rapid.T, members, spares int) *modelCluster {
	r := &randomRun{T: t, modelCluster: newModelCluster(members, spares)}
	var choices []func(*randomRun)
	for _, a := range actions {
		choices = append(choices, slices.Repeat([]func(*randomRun){a.do}, a.weight)...)
	}
	r.agree()
	r.settle()
	for range *modelSteps {
		choices[r.pick(len(choices))](r)
		for len(r.bag) > maxBag {
			r.take(0)
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
