package simulator

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// grown is a core of n machines in four zones, of which some disks don't count, and two routers.
func grown(seed uint64, n int, lame ...int) *World { return grownIn(seed, n, 4, lame...) }

// grownIn is the same in so many zones.
func grownIn(seed uint64, n, zones int, lame ...int) *World {
	p := Deployment{Name: fmt.Sprintf("grown%d", n), RouterZones: []string{"z1", "z2"}, WorkerZones: []string{"z1"}, GrowsFromSeeds: true, NonVoting: lame}
	for i := range n {
		p.ControllerZones = append(p.ControllerZones, fmt.Sprintf("z%d", i%zones+1))
	}
	return NewWorld(p, seed)
}

// settled says whether the set is the largest odd number of the disks that count (both, where there are two), and all
// know it.
func (w *World) settled() bool {
	v := w.voters()
	counted, members := 0, 0
	for i, h := range w.coreH {
		lame := false
		for _, l := range w.NonVoting {
			lame = lame || l == i
		}
		if h.Proc == nil || w.cores[h].Replica.Quorum().Version != v.Version || v.Has(h.Disk.ID) && lame || v.Joint() {
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

// until lets the world go on till f holds, and gives the time that it took.
func (w *World) until(most time.Duration, f func() bool) (time.Duration, bool) {
	began := w.Now
	for !f() {
		if w.Now.Sub(began) >= most {
			return most, false
		}
		w.Run(w.Now.Add(10 * time.Millisecond))
	}
	return w.Now.Sub(began), true
}

// put writes a configuration and waits for the acknowledgement.
func (w *World) put(t *testing.T, n int) (text string, num units.Version) {
	t.Helper()
	text = configText(n)
	w.change("config", text, func(o *Op) {
		if o.Code == resultcode.OK {
			num = o.Version
		}
	})
	if _, ok := w.until(6*time.Second, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; voters %v", w.Name, n, w.voters())
	}
	return text, num
}

func (w *World) readBack(t *testing.T, text string, num units.Version) {
	t.Helper()
	if got := w.readNewest(t); got.Version != num || got.Data != text {
		t.Fatalf("%s: acknowledged %d, read back %+v; voters %v", w.Name, num, got, w.voters())
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
	t.Fatalf("%s: nothing is read back; last %+v; voters %v", w.Name, got, w.voters())
	return nil
}

// Any number of disks, whichever of the seeds count: all disks that count come to vote, and no others.
func TestFoundedFromSeeds(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		n    int
		lame []int
	}{{1, nil}, {2, nil}, {3, nil}, {4, nil}, {5, nil}, {6, nil}, {9, nil}, {4, []int{1}}, {6, []int{0, 2}}, {6, []int{0, 1, 2}}, {4, []int{0, 1, 2}}, {9, []int{0, 1, 2, 5}}} {
		var most time.Duration
		for seed := *from; seed < *from+5; seed++ {
			w := grown(seed, x.n, x.lame...)
			took, ok := w.until(20*time.Second, w.settled)
			if !ok {
				t.Fatalf("%d disks, %v don't count, seed %d: voters %v", x.n, x.lame, seed, w.voters())
			}
			most = max(most, took)
			text, num := w.put(t, 1)
			w.readBack(t, text, num)
		}
		t.Logf("%d disks, %v don't count: all vote after %v at the latest", x.n, x.lame, most)
	}
	// Where no disk counts anywhere, all controllers hold the control state in memory.
	w := grown(*from, 3, 0, 1, 2)
	all := func() bool {
		for _, h := range w.coreH {
			if v := w.cores[h].Replica.Quorum(); len(v.Members) != 3 || v.Version != w.voters().Version {
				return false
			}
		}
		return true
	}
	if _, ok := w.until(20*time.Second, all); !ok {
		t.Fatalf("no disk counts: voters %v", w.voters())
	}
	text, num := w.put(t, 1)
	w.readBack(t, text, num)
}

// Processes are killed at any moment of the founding, and come back with other seeds and without being told that this is
// the first start: one set is founded all the same, never two, and all disks that count come to vote.
func TestKilledWhileFounding(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		n    int
		lame []int
	}{{1, nil}, {2, nil}, {3, nil}, {5, nil}, {5, []int{1}}, {6, []int{0, 1, 2}}} {
		for seed := *from; seed < *from+40; seed++ {
			w := grown(seed, x.n, x.lame...)
			sets := map[string]bool{}
			for _, h := range w.coreH {
				for range 1 + w.Rng.IntN(2) {
					if len(x.lame) == 3 && h == w.coreH[0] {
						break // only this process may propose
					}
					w.At(units.Time(w.Rng.Int64N(int64(500*time.Millisecond))), func() {
						if h.Proc != nil && w.Rng.IntN(3) > 0 {
							h.Bootstrap.Seeds = []string{pick(w, w.coreH).Addr, pick(w, w.coreH).Addr, pick(w, w.coreH).Addr}
							w.bounce(h, 100*time.Millisecond+time.Duration(w.Rng.Int64N(int64(time.Second))), true)
						}
					})
				}
			}
			w.until(30*time.Second, func() bool {
				for _, h := range w.coreH {
					if v := w.cores[h].Replica.Quorum(); v.Version == 1 {
						sets[fmt.Sprint(v.Members)] = true
					}
				}
				return w.settled()
			})
			if !w.settled() || len(sets) > 1 {
				t.Errorf("%d disks, %v don't count, seed %d: voters %v, founded %v", x.n, x.lame, seed, w.voters(), sets)
			}
		}
	}
}
