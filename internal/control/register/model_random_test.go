package register

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

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
	proposed [][]units.Node // sets that may be in force or come into force
	written  []string       // request ids
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
	{2, (*randomRun).agree},
	{3, (*randomRun).disagree},
	{3, (*randomRun).writeAny},
	{3, (*randomRun).readAny},
	{2, (*randomRun).rewriteAny},
	{2, (*randomRun).changeAny},
	{1, (*randomRun).resendAny},
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
	r.proposed = [][]units.Node{r.checker.sets[1].Members}
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

// pick draws a number below n.
func (r *randomRun) pick(n int) int { return rapid.IntRange(0, n-1).Draw(r.T, "pick") }

func (r *randomRun) any() *modelNode { return r.nodes[r.pick(len(r.nodes))] }

func (r *randomRun) key() string { return []string{"a", "a", "b"}[r.pick(3)] }

func (r *randomRun) deliverAny() {
	if len(r.bag) > 0 {
		m := r.take(r.pick(len(r.bag)))
		r.deliver(m)
	}
}

func (r *randomRun) deliverSome() { r.deliverOldest(1 + r.pick(30)) }

func (r *randomRun) dropAny() {
	if len(r.bag) > 0 {
		r.take(r.pick(len(r.bag)))
	}
}

func (r *randomRun) duplicateAny() {
	if len(r.bag) > 0 {
		r.bag = append(r.bag, r.bag[r.pick(len(r.bag))])
	}
}

func (r *randomRun) tickAny() {
	r.now = r.now.Add(50 * time.Millisecond)
	r.tick(r.any())
}

func (r *randomRun) tickAll() {
	r.round([]time.Duration{resend, resend, time.Second, idle}[r.pick(4)])
}

func (r *randomRun) syncAny() { r.syncOne(r.any()) }

func (r *randomRun) crashAny() {
	n := r.any()
	r.crash(n, r.pick(len(n.queue)+1))
}

func (r *randomRun) restartAny() { r.start(r.any()) }

// loseAny destroys a disk where a majority of every set that may matter survives without it.
func (r *randomRun) loseAny() {
	n := r.any()
	for _, members := range r.relevant() {
		if !majorityOf(members, func(id units.Node) bool { return id != n.id && !r.node(id).lost }) {
			return
		}
	}
	r.lose(n)
}

// relevant gives the sets in force or proposed since.
func (r *randomRun) relevant() [][]units.Node {
	sets := slices.Clone(r.proposed)
	for version, set := range r.checker.sets {
		if version+1 >= r.checker.current {
			sets = append(sets, set.Members)
		}
	}
	return sets
}

func (r *randomRun) agree() {
	owner := r.any().id
	for _, n := range r.live() {
		r.believe(n, owner)
	}
}

// disagree has one node believe in owners of its own.
func (r *randomRun) disagree() {
	n := r.any()
	eligible := []units.Node{n.id}
	if r.pick(2) == 0 {
		eligible = append(eligible, r.any().id)
	}
	r.believe(n, eligible...)
}

func (r *randomRun) writeAny() {
	clients, key := r.checker.clients, r.key()
	if clients.writes[key] >= maxWrites {
		return
	}
	expect := clients.acked[key]
	if r.pick(3) == 0 {
		expect = AnyNumber
	}
	if n := r.any(); n.replica != nil {
		r.written = append(r.written, clients.write(n, key, expect))
	}
}

func (r *randomRun) rewriteAny() {
	if len(r.written) > 0 {
		r.checker.clients.rewrite(r.any(), r.written[r.pick(len(r.written))])
	}
}

func (r *randomRun) readAny() { r.checker.clients.read(r.any(), r.key()) }

// changeAny proposes a set with one member more, one fewer or one replaced.
func (r *randomRun) changeAny() {
	n := r.any()
	if n.replica == nil {
		return
	}
	members := slices.Clone(n.replica.quorum.Members)
	kind := r.pick(3)
	if added := r.any().id; kind != 1 && !slices.Contains(members, added) {
		members = append(members, added)
	}
	if kind != 0 && len(members) > 1 {
		i := r.pick(len(members))
		members = slices.Delete(members, i, i+1)
	}
	if len(members) < 2 || !majorityOf(members, func(id units.Node) bool { return !r.node(id).lost }) {
		return
	}
	r.proposed = append(r.proposed, members)
	r.changeMembers(n, members)
}

func (r *randomRun) resendAny() {
	from, to := r.any(), r.any()
	r.resend(from, to, []string{"a", "b", KeyQuorum}[r.pick(3)])
}
