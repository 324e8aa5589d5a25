package simulator

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// bootstrappedWorld returns n controllers in four zones, some of which may not vote, and two routers.
func bootstrappedWorld(seed uint64, n int, nonVoting ...int) *World {
	return bootstrappedIn(seed, n, 4, nonVoting...)
}

// bootstrappedIn is bootstrappedWorld with a given number of zones.
func bootstrappedIn(seed uint64, n, zones int, nonVoting ...int) *World {
	p := Deployment{Name: fmt.Sprintf("seeds%d", n), RouterZones: []string{"z1", "z2"}, WorkerZones: []string{"z1"},
		GrowsFromSeeds: true, NonVoting: nonVoting}
	for i := range n {
		p.ControllerZones = append(p.ControllerZones, fmt.Sprintf("z%d", i%zones+1))
	}
	return NewWorld(p, seed)
}

// quorumComplete reports whether the quorum set has the largest odd number of voting disks (both, if there are two), and all
// controllers know it.
func (w *World) quorumComplete() bool {
	quorum := w.newestQuorum()
	voting, members := 0, 0
	for i, h := range w.controllerHosts {
		nonVoting := false
		for _, l := range w.NonVoting {
			nonVoting = nonVoting || l == i
		}
		if h.Proc == nil || w.controllers[h].Replica.Quorum().Version != quorum.Version ||
			quorum.Has(h.Disk.ID) && nonVoting || quorum.Joint() {
			return false
		}
		if !nonVoting {
			voting++
		}
		if quorum.Has(h.Disk.ID) {
			members++
		}
	}
	return quorum.Version > 0 && members == quorumSize(voting) && len(quorum.Members) == members
}

// runUntil runs the simulation until condition holds. It returns the time that this took and whether it was within limit.
func (w *World) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	startedAt := w.Now
	for !condition() {
		if w.Now.Sub(startedAt) >= limit {
			return limit, false
		}
		w.Run(w.Now.Add(10 * time.Millisecond))
	}
	return w.Now.Sub(startedAt), true
}

// writeConfig writes a configuration and waits for its acknowledgement.
func (w *World) writeConfig(t *testing.T, n int) (text string, version units.Version) {
	t.Helper()
	text = configText(n)
	w.change("config", text, func(o *Op) {
		if o.Code == resultcode.OK {
			version = o.Version
		}
	})
	if _, ok := w.runUntil(6*time.Second, func() bool { return version > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; voters %v", w.Name, n, w.newestQuorum())
	}
	return text, version
}

func (w *World) checkReadBack(t *testing.T, text string, version units.Version) {
	t.Helper()
	if got := w.readNewest(t); got.Version != version || got.Data != text {
		t.Fatalf("%s: acknowledged version %d, read %+v; voters %v", w.Name, version, got, w.newestQuorum())
	}
}

// readNewest reads the configuration until a read succeeds.
func (w *World) readNewest(t *testing.T) *Op {
	t.Helper()
	var got *Op
	for range 12 {
		w.Call(register.Request{Key: "config"}, func(o *Op) { got = o })
		if w.Run(w.Now.Add(time.Second)); got != nil && got.Code == resultcode.OK {
			return got
		}
	}
	t.Fatalf("%s: no read succeeds; last result %+v; voters %v", w.Name, got, w.newestQuorum())
	return nil
}

// With any number of disks, and whichever of the seeds may vote, all voting disks join the quorum set and no others.
func TestBootstrapFromSeeds(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		n         int
		nonVoting []int
	}{{1, nil}, {2, nil}, {3, nil}, {4, nil}, {5, nil}, {6, nil}, {9, nil}, {4, []int{1}}, {6, []int{0, 2}},
		{6, []int{0, 1, 2}}, {4, []int{0, 1, 2}}, {9, []int{0, 1, 2, 5}}} {
		var longest time.Duration
		for seed := *firstSeed; seed < *firstSeed+5; seed++ {
			w := bootstrappedWorld(seed, x.n, x.nonVoting...)
			took, ok := w.runUntil(20*time.Second, w.quorumComplete)
			if !ok {
				t.Fatalf("%d disks, %v don't vote, seed %d: voters %v", x.n, x.nonVoting, seed, w.newestQuorum())
			}
			longest = max(longest, took)
			text, num := w.writeConfig(t, 1)
			w.checkReadBack(t, text, num)
		}
		t.Logf("%d disks, %v don't vote: quorum set complete after at most %v", x.n, x.nonVoting, longest)
	}
	// If no controller has a voting disk, all controllers hold the control state in memory.
	w := bootstrappedWorld(*firstSeed, 3, 0, 1, 2)
	all := func() bool {
		for _, h := range w.controllerHosts {
			if v := w.controllers[h].Replica.Quorum(); len(v.Members) != 3 || v.Version != w.newestQuorum().Version {
				return false
			}
		}
		return true
	}
	if _, ok := w.runUntil(20*time.Second, all); !ok {
		t.Fatalf("no disk votes: voters %v", w.newestQuorum())
	}
	text, num := w.writeConfig(t, 1)
	w.checkReadBack(t, text, num)
}

// Processes are killed at any moment of the bootstrap and restart with other seeds, and no longer as a first start. Even so
// exactly one quorum set must come about, and all voting disks must join it.
func TestKilledDuringBootstrap(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		n         int
		nonVoting []int
	}{{1, nil}, {2, nil}, {3, nil}, {5, nil}, {5, []int{1}}, {6, []int{0, 1, 2}}} {
		for seed := *firstSeed; seed < *firstSeed+40; seed++ {
			w := bootstrappedWorld(seed, x.n, x.nonVoting...)
			sets := map[string]bool{}
			for _, h := range w.controllerHosts {
				for range 1 + w.Rng.IntN(2) {
					if len(x.nonVoting) == 3 && h == w.controllerHosts[0] {
						break // only this process may propose a quorum set
					}
					w.At(units.Time(w.Rng.Int64N(int64(500*time.Millisecond))), func() {
						if h.Proc != nil && w.Rng.IntN(3) > 0 {
							h.Bootstrap.Seeds = []string{
								pick(w, w.controllerHosts).Addr, pick(w, w.controllerHosts).Addr, pick(w, w.controllerHosts).Addr}
							w.restart(h, 100*time.Millisecond+time.Duration(w.Rng.Int64N(int64(time.Second))), true)
						}
					})
				}
			}
			w.runUntil(30*time.Second, func() bool {
				for _, h := range w.controllerHosts {
					if v := w.controllers[h].Replica.Quorum(); v.Version == 1 {
						sets[fmt.Sprint(v.Members)] = true
					}
				}
				return w.quorumComplete()
			})
			if !w.quorumComplete() || len(sets) > 1 {
				t.Errorf("%d disks, %v don't vote, seed %d: voters %v, first sets %v", x.n, x.nonVoting, seed,
					w.newestQuorum(), sets)
			}
		}
	}
}
