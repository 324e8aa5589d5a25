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
	claimSets    = []register.QuorumSet{ // each replaces one voter of the set before
		{Version: 1, Members: []units.NodeID{11, 12, 13}},
		{Version: 2, Members: []units.NodeID{12, 13, 14}},
		{Version: 3, Members: []units.NodeID{13, 14, 15}},
	}
	claimJointSets = []register.QuorumSet{ // the same by way of joint sets
		{Version: 1, Members: []units.NodeID{11, 12, 13}},
		{Version: 2, Members: []units.NodeID{11, 12, 13}, Incoming: []units.NodeID{12, 13, 14}},
		{Version: 3, Members: []units.NodeID{12, 13, 14}},
		{Version: 4, Members: []units.NodeID{12, 13, 14}, Incoming: []units.NodeID{13, 14, 15}},
		{Version: 5, Members: []units.NodeID{13, 14, 15}},
	}
)

// claimFleet is three holders and the disks of all sets, with messages that are lost, doubled and disordered.
type claimFleet struct {
	sets    []register.QuorumSet
	draw    *rand.Rand
	now     units.Time
	screens map[units.NodeID]*idempotency.Claimant
	rolls   map[units.NodeID]*idempotency.Registry
	knows   map[units.NodeID]int // the newest set that a node knows of, by its place
	under   []message.Message
	granted int
	kept    bool // the grant stood on a majority of the disks
}

func newClaimFleet(seed uint64, sets []register.QuorumSet) *claimFleet {
	f := &claimFleet{sets: sets, draw: rand.New(rand.NewPCG(seed, 5)), now: units.Time(time.Minute), screens: map[units.NodeID]*idempotency.Claimant{},
		rolls: map[units.NodeID]*idempotency.Registry{}, knows: map[units.NodeID]int{}}
	for d := units.NodeID(11); d <= 15; d++ {
		f.rolls[d] = idempotency.LoadRegistry(d, f.now, nil)
	}
	f.restartScreens()
	return f
}

// restartScreens loses all that the holders remember.
func (f *claimFleet) restartScreens() {
	for _, n := range claimHolders {
		f.screens[n] = idempotency.New(n, f.now)
	}
}

// put takes a step's messages; disks write at once.
func (f *claimFleet) put(from units.NodeID, out message.Effects) {
	for _, m := range append(out.Messages, out.AfterSync...) {
		m.From = from
		f.under = append(f.under, m)
	}
}

// deliver brings some of the messages under way, in any order: one in ten is lost and one in ten comes twice.
func (f *claimFleet) deliver(count int) {
	for ; count > 0 && len(f.under) > 0; count-- {
		i := f.draw.IntN(len(f.under))
		m := f.under[i]
		fate := f.draw.IntN(10)
		if fate != 1 {
			f.under[i] = f.under[len(f.under)-1]
			f.under = f.under[:len(f.under)-1]
		}
		if fate == 0 {
			continue
		}
		if r := f.rolls[m.To]; r != nil {
			f.put(m.To, r.Step(f.now, m, f.sets[f.knows[m.To]].Version))
		} else if s := f.screens[m.To]; s != nil {
			f.put(m.To, s.Step(f.now, m))
		}
	}
}

// beat lets a little time pass for all.
func (f *claimFleet) beat() {
	f.now = f.now.Add(50 * time.Millisecond)
	for d := units.NodeID(11); d <= 15; d++ {
		f.put(d, f.rolls[d].Tick(f.now, f.sets[f.knows[d]]))
	}
	for _, n := range claimHolders {
		s := f.screens[n]
		s.SetVoters(f.sets[f.knows[n]])
		var others []units.NodeID
		for _, o := range claimHolders {
			if o != n {
				others = append(others, o)
			}
		}
		f.put(n, s.Tick(f.now, others, time.Hour))
		for _, r := range s.Results {
			if r.Code == resultcode.OK {
				f.granted++
				f.kept = f.kept || r.Durable
			}
		}
		s.Results = nil
	}
	f.deliver(len(f.under))
}

// until beats until something holds.
func (f *claimFleet) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 4000 {
		if holds() {
			return
		}
		f.beat()
	}
	t.Fatalf("never: %s", what)
}

// change brings the next set into force: a majority of the old one learns of it first, all others in any order, later.
func (f *claimFleet) change(t *testing.T, next int) {
	old := f.sets[next-1].Members
	for _, i := range f.draw.Perm(len(old))[:2] {
		f.knows[old[i]] = next
		f.deliver(f.draw.IntN(8))
	}
	nodes := append([]units.NodeID{11, 12, 13, 14, 15}, claimHolders...)
	for _, i := range f.draw.Perm(len(nodes)) {
		f.knows[nodes[i]] = max(f.knows[nodes[i]], next)
		if f.draw.IntN(2) == 0 {
			f.beat()
		}
	}
	f.until(t, "the new set is whole", func() bool { return f.whole(next) })
}

func (f *claimFleet) whole(set int) bool {
	for _, d := range f.sets[set].Members {
		if !f.rolls[d].Complete() {
			return false
		}
	}
	return true
}

// claim asks for the key by way of a holder.
func (f *claimFleet) claim(by units.NodeID, token uint64) {
	f.screens[by].SetVoters(f.sets[f.knows[by]])
	f.put(by, f.screens[by].Claim(f.now, token, claimKey, claimHolders))
}

// A key that was granted and stands on the disks is granted to nobody else: not through two changes of the voters,
// during which the claim and its copies are made, and not after all holders lost their memory behind them.
func TestClaimsThroughAChangeOfVoters(t *testing.T) { claimThroughChanges(t, claimSets) }

// The same by way of joint sets, as the register changes its members.
func TestClaimsThroughJointSets(t *testing.T) { claimThroughChanges(t, claimJointSets) }

func claimThroughChanges(t *testing.T, sets []register.QuorumSet) {
	t.Helper()
	granted, kept, after := 0, 0, 0
	for seed := range uint64(claimSeeds) {
		f := newClaimFleet(seed, sets)
		f.until(t, "the first set and the holders take part", func() bool {
			return f.whole(0) && f.screens[1].Complete() && f.screens[2].Complete() && f.screens[3].Complete()
		})
		f.claim(1, 101)
		f.deliver(f.draw.IntN(12))
		if f.draw.IntN(2) == 0 {
			f.claim(2, 202)
		}
		half := len(sets) / 2
		for next := 1; next <= half; next++ {
			f.change(t, next)
		}
		for range 30 { // whatever was granted without the disks is told to them
			f.beat()
		}
		for next := half + 1; next < len(sets); next++ {
			f.change(t, next)
		}
		before, stood := f.granted, f.kept
		f.under = nil
		f.restartScreens()
		f.until(t, "the holders take part again", func() bool { return f.screens[3].Complete() && f.screens[1].Complete() })
		f.claim(3, 303)
		for range 60 {
			f.beat()
		}
		if before > 1 || stood && f.granted > before {
			t.Fatalf("seed %d: granted %d times before all memory was lost and %d after it", seed, before, f.granted-before)
		}
		granted, after = granted+before, after+f.granted-before
		if stood {
			kept++
		}
	}
	if kept < claimSeeds/4 || after == 0 {
		t.Errorf("granted %d times, %d of them kept on the disks, %d after the loss: too few to show anything", granted, kept, after)
	}
	t.Logf("%d seeds: granted %d, kept on the disks %d, granted first after the loss %d", claimSeeds, granted, kept, after)
}
