package idempotency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

const (
	claimSeeds = 500
	claimKey   = "k"
)

var (
	claimHolders = []units.NodeID{1, 2, 3}
	claimSets    = []register.QuorumSet{ // each replaces one voter of the previous set
		{Version: 1, Members: []units.NodeID{11, 12, 13}},
		{Version: 2, Members: []units.NodeID{12, 13, 14}},
		{Version: 3, Members: []units.NodeID{13, 14, 15}},
	}
	claimJointSets = []register.QuorumSet{ // the same changes by way of joint sets
		{Version: 1, Members: []units.NodeID{11, 12, 13}},
		{Version: 2, Members: []units.NodeID{11, 12, 13}, Incoming: []units.NodeID{12, 13, 14}},
		{Version: 3, Members: []units.NodeID{12, 13, 14}},
		{Version: 4, Members: []units.NodeID{12, 13, 14}, Incoming: []units.NodeID{13, 14, 15}},
		{Version: 5, Members: []units.NodeID{13, 14, 15}},
	}
)

// claimFleet is three holders and the voters of all sets, with messages that are lost, duplicated and reordered.
type claimFleet struct {
	sets       []register.QuorumSet
	rng        *rand.Rand
	now        units.Time
	claimants  map[units.NodeID]*idempotency.Claimant
	registries map[units.NodeID]*idempotency.Registry
	knownSet   map[units.NodeID]int // index in sets of the newest set that a node knows
	inFlight   []message.Message
	granted    int
	durable    bool // a grant was on a majority of the disks
}

func newClaimFleet(seed uint64, sets []register.QuorumSet) *claimFleet {
	f := &claimFleet{sets: sets, rng: rand.New(rand.NewPCG(seed, 5)), now: units.Time(time.Minute),
		claimants: map[units.NodeID]*idempotency.Claimant{}, registries: map[units.NodeID]*idempotency.Registry{}, knownSet: map[units.NodeID]int{}}
	for d := units.NodeID(11); d <= 15; d++ {
		f.registries[d] = idempotency.LoadRegistry(d, f.now, nil)
	}
	f.restartClaimants()
	return f
}

// restartClaimants restarts all holders, which lose their in-memory state.
func (f *claimFleet) restartClaimants() {
	for _, n := range claimHolders {
		f.claimants[n] = idempotency.New(n, f.now)
	}
}

// send queues the messages of a step; writes are synced immediately.
func (f *claimFleet) send(from units.NodeID, out message.Effects) {
	for _, m := range append(out.Messages, out.AfterSync...) {
		m.From = from
		f.inFlight = append(f.inFlight, m)
	}
}

// deliver delivers count of the messages in flight, in random order: one in ten is lost and one in ten is duplicated.
func (f *claimFleet) deliver(count int) {
	for ; count > 0 && len(f.inFlight) > 0; count-- {
		i := f.rng.IntN(len(f.inFlight))
		m := f.inFlight[i]
		roll := f.rng.IntN(10)
		if roll != 1 {
			f.inFlight[i] = f.inFlight[len(f.inFlight)-1]
			f.inFlight = f.inFlight[:len(f.inFlight)-1]
		}
		if roll == 0 {
			continue
		}
		if r := f.registries[m.To]; r != nil {
			f.send(m.To, r.Step(f.now, m, f.sets[f.knownSet[m.To]].Version))
		} else if s := f.claimants[m.To]; s != nil {
			f.send(m.To, s.Step(f.now, m))
		}
	}
}

// tick advances the time by 50 ms, ticks all nodes and delivers messages.
func (f *claimFleet) tick() {
	f.now = f.now.Add(50 * time.Millisecond)
	for d := units.NodeID(11); d <= 15; d++ {
		f.send(d, f.registries[d].Tick(f.now, f.sets[f.knownSet[d]]))
	}
	for _, n := range claimHolders {
		claimant := f.claimants[n]
		claimant.SetVoters(f.sets[f.knownSet[n]])
		var others []units.NodeID
		for _, o := range claimHolders {
			if o != n {
				others = append(others, o)
			}
		}
		f.send(n, claimant.Tick(f.now, others, time.Hour))
		for _, r := range claimant.Results {
			if r.Code == resultcode.OK {
				f.granted++
				f.durable = f.durable || r.Durable
			}
		}
		claimant.Results = nil
	}
	f.deliver(len(f.inFlight))
}

// until ticks until the condition holds.
func (f *claimFleet) until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		f.tick()
	}
	t.Fatalf("timed out waiting until %s", what)
}

// change puts the next set into force: a majority of the old one learns of it first, all others later in any order.
func (f *claimFleet) change(t *testing.T, next int) {
	old := f.sets[next-1].Members
	for _, i := range f.rng.Perm(len(old))[:2] {
		f.knownSet[old[i]] = next
		f.deliver(f.rng.IntN(8))
	}
	nodes := append([]units.NodeID{11, 12, 13, 14, 15}, claimHolders...)
	for _, i := range f.rng.Perm(len(nodes)) {
		f.knownSet[nodes[i]] = max(f.knownSet[nodes[i]], next)
		if f.rng.IntN(2) == 0 {
			f.tick()
		}
	}
	f.until(t, "the new set is complete", func() bool { return f.complete(next) })
}

func (f *claimFleet) complete(set int) bool {
	for _, d := range f.sets[set].Members {
		if !f.registries[d].Complete() {
			return false
		}
	}
	return true
}

// claim claims the key through the given holder.
func (f *claimFleet) claim(by units.NodeID, token uint64) {
	f.claimants[by].SetVoters(f.sets[f.knownSet[by]])
	f.send(by, f.claimants[by].Claim(f.now, token, claimKey, claimHolders))
}

// A key that was granted and is on a majority of the disks is never granted again: neither while the quorum set changes
// twice, during which the claim and its copies are made, nor after all holders lose their memory.
func TestClaimsDuringQuorumSetChanges(t *testing.T) { claimThroughChanges(t, claimSets) }

// The same with joint sets, as the register changes its members.
func TestClaimsDuringJointQuorumSetChanges(t *testing.T) { claimThroughChanges(t, claimJointSets) }

func claimThroughChanges(t *testing.T, sets []register.QuorumSet) {
	t.Helper()
	granted, durable, grantedAfter := 0, 0, 0
	for seed := range uint64(claimSeeds) {
		f := newClaimFleet(seed, sets)
		f.until(t, "the first set and the holders take part", func() bool {
			return f.complete(0) && f.claimants[1].Complete() && f.claimants[2].Complete() && f.claimants[3].Complete()
		})
		f.claim(1, 101)
		f.deliver(f.rng.IntN(12))
		if f.rng.IntN(2) == 0 {
			f.claim(2, 202)
		}
		half := len(sets) / 2
		for next := 1; next <= half; next++ {
			f.change(t, next)
		}
		for range 30 { // claims granted without the voters are resent to them
			f.tick()
		}
		for next := half + 1; next < len(sets); next++ {
			f.change(t, next)
		}
		before, wasDurable := f.granted, f.durable
		f.inFlight = nil
		f.restartClaimants()
		f.until(t, "the holders take part again", func() bool { return f.claimants[3].Complete() && f.claimants[1].Complete() })
		f.claim(3, 303)
		for range 60 {
			f.tick()
		}
		if before > 1 || wasDurable && f.granted > before {
			t.Fatalf("seed %d: granted %d times before all memory was lost and %d after it", seed, before, f.granted-before)
		}
		granted, grantedAfter = granted+before, grantedAfter+f.granted-before
		if wasDurable {
			durable++
		}
	}
	if durable < claimSeeds/4 || grantedAfter == 0 {
		t.Errorf("granted %d times, %d of them durable, %d after the loss of memory: too few to prove anything", granted, durable, grantedAfter)
	}
	t.Logf("%d seeds: granted %d, durable %d, granted first after the loss of memory %d", claimSeeds, granted, durable, grantedAfter)
}
