package simulator

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// bootstrappedWorld is a core of n machines in four zones, of which some disks don't count, and two routers.
func bootstrappedWorld(seed uint64, n int, nonVoting ...int) *World {
	return bootstrappedIn(seed, n, 4, nonVoting...)
}

// bootstrappedIn is the same in so many zones.
func bootstrappedIn(seed uint64, n, zones int, nonVoting ...int) *World {
	p := Deployment{Name: fmt.Sprintf("grown%d", n), RouterZones: []string{"z1", "z2"}, WorkerZones: []string{"z1"}, GrowsFromSeeds: true, NonVoting: nonVoting}
	for i := range n {
		p.ControllerZones = append(p.ControllerZones, fmt.Sprintf("z%d", i%zones+1))
	}
	return NewWorld(p, seed)
}

// quorumComplete says whether the set is the largest odd number of the disks that count (both, where there are two), and all
// know it.
func (w *World) quorumComplete() bool {
	v := w.newestQuorum()
	counted, members := 0, 0
	for i, h := range w.controllerHosts {
		lame := false
		for _, l := range w.NonVoting {
			lame = lame || l == i
		}
		if h.Proc == nil || w.controllers[h].Replica.Quorum().Version != v.Version || v.Has(h.Disk.ID) && lame || v.Joint() {
			return false
		}
		if !lame {
			counted++
		}
		if v.Has(h.Disk.ID) {
			members++
		}
	}
	return v.Version > 0 && members == quorumSize(counted) && len(v.Members) == members
}

// runUntil lets the world go on till f holds, and gives the time that it took.
func (w *World) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	began := w.Now
	for !condition() {
		if w.Now.Sub(began) >= limit {
			return limit, false
		}
		w.Run(w.Now.Add(10 * time.Millisecond))
	}
	return w.Now.Sub(began), true
}

// writeConfig writes a configuration and waits for the acknowledgement.
func (w *World) writeConfig(t *testing.T, n int) (text string, num units.Version) {
	t.Helper()
	text = configText(n)
	w.change("config", text, func(o *Op) {
		if o.Code == resultcode.OK {
			num = o.Version
		}
	})
	if _, ok := w.runUntil(6*time.Second, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; voters %v", w.Name, n, w.newestQuorum())
	}
	return text, num
}

func (w *World) checkReadBack(t *testing.T, text string, num units.Version) {
	t.Helper()
	if got := w.readNewest(t); got.Version != num || got.Data != text {
		t.Fatalf("%s: acknowledged %d, read back %+v; voters %v", w.Name, num, got, w.newestQuorum())
	}
}

// readNewest reads the configuration until it is confirmed.
func (w *World) readNewest(t *testing.T) *Op {
	t.Helper()
	var got *Op
	for range 12 {
		w.Call(register.Request{Key: "config"}, func(o *Op) { got = o })
		if w.Run(w.Now.Add(time.Second)); got != nil && got.Code == resultcode.OK {
			return got
		}
	}
	t.Fatalf("%s: nothing is read back; last %+v; voters %v", w.Name, got, w.newestQuorum())
	return nil
}

// Any number of disks, whichever of the seeds count: all disks that count come to vote, and no others.
func TestBootstrapFromSeeds(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		n    int
		lame []int
	}{{1, nil}, {2, nil}, {3, nil}, {4, nil}, {5, nil}, {6, nil}, {9, nil}, {4, []int{1}}, {6, []int{0, 2}}, {6, []int{0, 1, 2}}, {4, []int{0, 1, 2}}, {9, []int{0, 1, 2, 5}}} {
		var most time.Duration
		for seed := *firstSeed; seed < *firstSeed+5; seed++ {
			w := bootstrappedWorld(seed, x.n, x.lame...)
			took, ok := w.runUntil(20*time.Second, w.quorumComplete)
			if !ok {
				t.Fatalf("%d disks, %v don't count, seed %d: voters %v", x.n, x.lame, seed, w.newestQuorum())
			}
			most = max(most, took)
			text, num := w.writeConfig(t, 1)
			w.checkReadBack(t, text, num)
		}
		t.Logf("%d disks, %v don't count: all vote after %v at the latest", x.n, x.lame, most)
	}
	// Where no disk counts anywhere, all controllers hold the control state in memory.
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
		t.Fatalf("no disk counts: voters %v", w.newestQuorum())
	}
	text, num := w.writeConfig(t, 1)
	w.checkReadBack(t, text, num)
}

// Processes are killed at any moment of the founding, and come back with other seeds and without being told that this is
// the first start: one set is founded all the same, never two, and all disks that count come to vote.
func TestKilledDuringBootstrap(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		n    int
		lame []int
	}{{1, nil}, {2, nil}, {3, nil}, {5, nil}, {5, []int{1}}, {6, []int{0, 1, 2}}} {
		for seed := *firstSeed; seed < *firstSeed+40; seed++ {
			w := bootstrappedWorld(seed, x.n, x.lame...)
			sets := map[string]bool{}
			for _, h := range w.controllerHosts {
				for range 1 + w.Rng.IntN(2) {
					if len(x.lame) == 3 && h == w.controllerHosts[0] {
						break // only this process may propose
					}
					w.At(units.Time(w.Rng.Int64N(int64(500*time.Millisecond))), func() {
						if h.Proc != nil && w.Rng.IntN(3) > 0 {
							h.Bootstrap.Seeds = []string{pick(w, w.controllerHosts).Addr, pick(w, w.controllerHosts).Addr, pick(w, w.controllerHosts).Addr}
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
				t.Errorf("%d disks, %v don't count, seed %d: voters %v, founded %v", x.n, x.lame, seed, w.newestQuorum(), sets)
			}
		}
	}
}
