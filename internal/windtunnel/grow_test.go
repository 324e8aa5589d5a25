package windtunnel

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/barograph"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// grown is a core of n machines in four zones, of which some disks don't count, and two vanes.
func grown(seed uint64, n int, lame ...int) *World {
	p := Place{Name: fmt.Sprintf("grown%d", n), Edges: []string{"z1", "z2"}, Work: []string{"z1"}, Grow: true, Lame: lame}
	for i := range n {
		p.Cores = append(p.Cores, fmt.Sprintf("z%d", i%4+1))
	}
	return NewWorld(p, seed)
}

// settled says whether the voters are just the disks that count, and all know it.
func (w *World) settled() bool {
	v := w.voters()
	k := 0
	for i, h := range w.coreH {
		lame := false
		for _, l := range w.Lame {
			lame = lame || l == i
		}
		if h.Proc == nil || w.cores[h].Baro.Voters().Ver != v.Ver || v.Has(h.Disk.ID) == lame {
			return false
		}
		if !lame {
			k++
		}
	}
	return v.Ver > 0 && len(v.IDs) == k
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
func (w *World) put(t *testing.T, n int) (text string, num units.Num) {
	t.Helper()
	text = configText(n)
	w.change("config", text, func(o *Op) {
		if o.Code == synop.OK {
			num = o.Num
		}
	})
	if _, ok := w.until(6*time.Second, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; voters %v", w.Name, n, w.voters())
	}
	return text, num
}

func (w *World) readBack(t *testing.T, text string, num units.Num) {
	t.Helper()
	var got *Op
	for range 12 {
		w.Call(barograph.Ask{Key: "config"}, func(o *Op) { got = o })
		if w.Run(w.Now.Add(time.Second)); got != nil && got.Code == synop.OK {
			break
		}
	}
	if got == nil || got.Code != synop.OK || got.Num != num || got.Data != text {
		t.Fatalf("%s: acknowledged %d, read back %+v; voters %v", w.Name, num, got, w.voters())
	}
}

// Any number of disks, whichever of the seeds count: all disks that count come to vote, and no others.
func TestFoundedFromSeeds(t *testing.T) {
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
	w := grown(*from, 3, 0, 1, 2)
	if w.Run(units.Time(20 * time.Second)); w.voters().Ver != 0 {
		t.Errorf("founded without a disk that counts: %v", w.voters())
	}
}

// Processes are killed at any moment of the founding, and come back with other seeds and without being told that this is
// the first start: one set is founded all the same, never two, and all disks that count come to vote.
func TestKilledWhileFounding(t *testing.T) {
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
							h.Grow.Seeds = []string{pick(w, w.coreH).Addr, pick(w, w.coreH).Addr, pick(w, w.coreH).Addr}
							w.bounce(h, 100*time.Millisecond+time.Duration(w.Rng.Int64N(int64(time.Second))), true)
						}
					})
				}
			}
			w.until(30*time.Second, func() bool {
				for _, h := range w.coreH {
					if v := w.cores[h].Baro.Voters(); v.Ver == 1 {
						sets[fmt.Sprint(v.IDs)] = true
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

// loseDisk ends a core machine and brings it back with an empty disk, at its address or at another.
func (w *World) loseDisk(i int, back time.Duration, moved bool) {
	h := w.coreH[i]
	w.Kill(h)
	h.Disk.Wipe()
	if moved {
		w.serial++
		h.Addr = fmt.Sprintf("core%d.%d", i+1, w.serial)
		h.Grow.Seeds = nil // its own boot file names seeds of now
		for _, o := range w.coreH[:min(4, len(w.coreH))] {
			if o != h {
				h.Grow.Seeds = append(h.Grow.Seeds, o.Addr)
			}
		}
	}
	w.After(back, func() { w.Start(h) })
}

// filled says whether a machine's disk votes, those that are gone don't, and it has every key that is stored anywhere.
func (w *World) filled(i int) bool {
	h := w.coreH[i]
	if h.Proc == nil || !w.voters().Has(h.Disk.ID) || len(w.voters().IDs) != len(w.coreH) {
		return false
	}
	mine := w.cores[h].Baro.Stored()
	for _, o := range w.coreH {
		if o.Proc == nil {
			continue
		}
		for k, n := range w.cores[o].Baro.Stored() {
			if mine[k] < n {
				return false
			}
		}
	}
	return true
}

// A lost disk is replaced, and its successor filled, before catch_up_s is over: then the next may be lost, and what was
// acknowledged still stands (design 13).
func TestReplacedInTime(t *testing.T) {
	const catchUp = 4 * time.Second
	for _, x := range []struct {
		n, lost int
		moved   bool
		back    time.Duration
	}{{3, 1, false, 300 * time.Millisecond}, {3, 1, true, 1000 * time.Millisecond}, {4, 1, false, 1000 * time.Millisecond}, {4, 1, true, 300 * time.Millisecond},
		{5, 2, false, 300 * time.Millisecond}, {5, 2, true, time.Second}, {6, 2, false, 2 * time.Second}, {6, 2, true, 300 * time.Millisecond}, {9, 2, false, 500 * time.Millisecond}} {
		var took []time.Duration
		for seed := *from; seed < *from+12; seed++ {
			w := grown(seed, x.n)
			w.Run(units.Time(6 * time.Second))
			text, num := w.put(t, 1)
			for _, z := range []string{"z1", "z2", "z3"} {
				w.Evacuate(z, true)
			}
			w.Run(w.Now.Add(time.Second))
			for round := range 3 {
				var at []int
				for k := range x.lost {
					at = append(at, (int(seed)+round+k)%x.n)
					w.loseDisk(at[k], x.back, x.moved)
				}
				w.Run(w.Now.Add(x.back))
				d, ok := w.until(20*time.Second, func() bool {
					for _, i := range at {
						if !w.filled(i) {
							return false
						}
					}
					return true
				})
				took = append(took, d)
				if !ok || d > catchUp {
					t.Errorf("%d disks, %d lost, moved %v, seed %d round %d: replaced after %v; voters %v", x.n, x.lost, x.moved, seed, round, d, w.voters())
					break
				}
				if w.Run(w.Now.Add(catchUp - d)); round == 1 {
					text, num = w.put(t, 2)
				}
			}
			w.readBack(t, text, num)
		}
		t.Logf("%d disks, %d lost at once, moved %v, back after %v: voting and filled %s after the return", x.n, x.lost, x.moved, x.back, Spread(took))
	}
}

// In the moment of an acknowledgement as many disks are lost as the core bears, while all other machines that count lose
// power: what was acknowledged is there again, as sent.
func TestDisksLostAfterAck(t *testing.T) {
	for _, x := range []struct{ n, lost int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {9, 4}} {
		for seed := *from; seed < *from+12; seed++ {
			w := grown(seed, x.n)
			w.Run(units.Time(5 * time.Second))
			for round := range 4 {
				text := configText(round)
				num := units.Num(0)
				w.change("config", text, func(o *Op) {
					if o.Code != synop.OK {
						return
					}
					num = o.Num
					for i, h := range w.coreH {
						if w.Kill(h); (i+round+int(seed))%x.n < x.lost {
							h.Disk.Wipe()
						}
					}
				})
				if _, ok := w.until(6*time.Second, func() bool { return num > 0 }); !ok {
					t.Fatalf("%d disks, seed %d: write %d was not acknowledged", x.n, seed, round)
				}
				w.Run(w.Now.Add(time.Second))
				for _, h := range w.coreH {
					w.Start(h)
				}
				w.readBack(t, text, num)
				if _, ok := w.until(12*time.Second, w.settled); !ok {
					t.Fatalf("%d disks, seed %d: never whole again: %v", x.n, seed, w.voters())
				}
			}
		}
	}
}

// The owner freezes at any moment of a write, another writes on the same number meanwhile, and the owner wakes with all
// answers that came: at most one of the two is acknowledged, and that one is read back.
func TestFrozenOwnerWakes(t *testing.T) {
	both := 0
	for _, n := range []int{3, 4, 6} {
		for seed := *from; seed < *from+30; seed++ {
			w := grown(seed, n)
			w.Run(units.Time(5 * time.Second))
			_, num := w.put(t, 0)
			var owner, other *Core
			for _, h := range w.coreH {
				if c := w.cores[h]; c.Baro.Owner("config") == c.Self {
					owner = c
				} else {
					other = c
				}
			}
			write := func(c *Core, text string) {
				w.callAt(c, barograph.Ask{Key: "config", Write: true, Expect: num, Plan: text, Data: []byte(text)}, nil)
			}
			write(owner, configText(1))
			w.After(time.Duration(w.Rng.Int64N(int64(15*time.Millisecond))), func() { w.Freeze(owner.H) })
			w.After(50*time.Millisecond, func() { write(other, configText(2)) })
			w.After(3*time.Second, func() { w.Thaw(owner.H) })
			w.Run(w.Now.Add(10 * time.Second))
			ok := 0
			for _, o := range w.History[len(w.History)-2:] {
				if o.Code == synop.OK {
					ok++
				}
			}
			if both += ok; ok > 1 {
				t.Errorf("%d disks, seed %d: two writes on number %d acknowledged", n, seed, num)
			}
			w.change("config", configText(3), nil)
			w.Run(w.Now.Add(3 * time.Second))
			for _, f := range Linear(w.History) {
				t.Errorf("%d disks, seed %d: %s", n, seed, f)
			}
		}
	}
	if both < 30 {
		t.Errorf("only %d of 90 races had a winner that was told", both)
	}
}

// The troubles of the deployments, with voters founded from seeds that grow.
func TestTroublesWhileGrown(t *testing.T) {
	six := Council
	six.Name, six.Cores, six.Lame = "six", []string{"t1", "t2", "t3", "t4", "t1", "t2"}, []int{1}
	for _, x := range Troubles {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			for _, p := range []Place{Vatuloa, six} {
				p.Name, p.Grow = p.Name+" grown", true
				play(t, p, *from, x.Name)
			}
		})
	}
}
