package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// loseDisk ends a core machine and brings it back with an empty disk, at its address or at another.
func (w *World) loseDisk(i int, back time.Duration, moved bool) {
	h := w.controllerHosts[i]
	w.Kill(h)
	h.Disk.Wipe()
	if moved {
		w.lastSerial++
		h.Addr = fmt.Sprintf("core%d.%d", i+1, w.lastSerial)
		h.Bootstrap.Seeds = nil // its own boot file names seeds of now
		for _, o := range w.controllerHosts[:min(4, len(w.controllerHosts))] {
			if o != h {
				h.Bootstrap.Seeds = append(h.Bootstrap.Seeds, o.Addr)
			}
		}
	}
	w.After(back, func() { w.Start(h) })
}

// caughtUp says whether the set is whole: of its full size, every member's disk is there, and this machine, if it is a
// member, has every key that is stored anywhere.
func (w *World) caughtUp(i int) bool {
	h := w.controllerHosts[i]
	v := w.newestQuorum()
	if h.Proc == nil || v.Joint() || len(v.Members) != quorumSize(len(w.controllerHosts)) || !w.membersExist(v) {
		return false
	}
	if !v.Has(h.Disk.ID) {
		return true
	}
	mine := w.controllers[h].Replica.StoredVersions()
	for _, o := range w.controllerHosts {
		if o.Proc == nil {
			continue
		}
		for k, n := range w.controllers[o].Replica.StoredVersions() {
			if mine[k] < n {
				return false
			}
		}
	}
	return true
}

// membersExist says whether each member's disk is in a machine.
func (w *World) membersExist(v register.QuorumSet) bool {
	for _, n := range v.Members {
		if !slices.ContainsFunc(w.controllerHosts, func(h *Host) bool { return h.Disk.ID == n }) {
			return false
		}
	}
	return true
}

// A lost disk is replaced, and its successor filled, before catch_up_s is over: then the next may be lost, and what was
// acknowledged still stands (design 13).
func TestDiskReplacedInTime(t *testing.T) {
	t.Parallel()
	const catchUp = 4 * time.Second
	for _, x := range []struct {
		n, zones, lost int
		diskless       bool
		moved          bool
		back           time.Duration
	}{{n: 3, zones: 3, lost: 1, back: 300 * time.Millisecond}, {n: 3, zones: 3, lost: 1, moved: true, back: time.Second},
		{n: 4, zones: 4, lost: 1, back: time.Second}, {n: 4, zones: 4, lost: 1, moved: true, back: 300 * time.Millisecond},
		{n: 5, zones: 5, lost: 2, back: 300 * time.Millisecond}, {n: 5, zones: 3, lost: 2, moved: true, back: time.Second},
		{n: 6, zones: 3, lost: 2, back: 2 * time.Second}, {n: 6, zones: 4, lost: 2, moved: true, back: 300 * time.Millisecond},
		{n: 9, zones: 4, lost: 2, back: 500 * time.Millisecond},
		{n: 4, zones: 4, lost: 1, diskless: true, back: 300 * time.Millisecond}, {n: 6, zones: 3, lost: 1, diskless: true, moved: true, back: time.Second}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for seed := *firstSeed; seed < *firstSeed+12; seed++ {
				var lame []int
				for i := range x.n {
					if x.diskless {
						lame = append(lame, i)
					}
				}
				w := bootstrappedIn(seed, x.n, x.zones, lame...)
				w.Run(units.Time(8 * time.Second))
				text, num := w.writeConfig(t, 1)
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
					d, ok := w.runUntil(20*time.Second, func() bool {
						for _, i := range at {
							if !w.caughtUp(i) {
								return false
							}
						}
						return true
					})
					took = append(took, d)
					if !ok || d > catchUp {
						t.Errorf("%d disks in %d zones, diskless %v, %d lost, moved %v, seed %d round %d: replaced after %v; voters %v", x.n, x.zones, x.diskless, x.lost, x.moved, seed, round, d, w.newestQuorum())
						break
					}
					if w.Run(w.Now.Add(catchUp - d)); round == 1 {
						text, num = w.writeConfig(t, 2)
					}
				}
				w.checkReadBack(t, text, num)
			}
			t.Logf("%d disks in %d zones, diskless %v, %d lost at once, moved %v, back after %v: voting and filled %s after the return", x.n, x.zones, x.diskless, x.lost, x.moved, x.back, Percentiles(took))
		})
	}
}

// In the moment of an acknowledgement as many disks are lost as the core bears, while all other machines that count lose
// power: what was acknowledged is there again, as sent.
func TestDisksLostAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ n, lost int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {9, 4}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+12; seed++ {
				w := bootstrappedWorld(seed, x.n)
				w.Run(units.Time(5 * time.Second))
				for round := range 4 {
					text := configText(round)
					num := units.Version(0)
					w.change("config", text, func(o *Op) {
						if o.Code != resultcode.OK {
							return
						}
						num = o.Version
						for i, h := range w.controllerHosts {
							if w.Kill(h); (i+round+int(seed))%x.n < x.lost {
								h.Disk.Wipe()
							}
						}
					})
					if _, ok := w.runUntil(6*time.Second, func() bool { return num > 0 }); !ok {
						t.Fatalf("%d disks, seed %d: write %d was not acknowledged", x.n, seed, round)
					}
					w.Run(w.Now.Add(time.Second))
					for _, h := range w.controllerHosts {
						w.Start(h)
					}
					w.checkReadBack(t, text, num)
					if _, ok := w.runUntil(12*time.Second, w.quorumComplete); !ok {
						t.Fatalf("%d disks, seed %d: never whole again: %v", x.n, seed, w.newestQuorum())
					}
				}
			}
		})
	}
}

// The owner freezes at any moment of a write, another writes on the same number meanwhile, and the owner wakes with all
// answers that came: at most one of the two is acknowledged, and that one is read back.
func TestPausedOwnerResumes(t *testing.T) {
	t.Parallel()
	both := 0
	for _, n := range []int{3, 4, 6} {
		for seed := *firstSeed; seed < *firstSeed+30; seed++ {
			w := bootstrappedWorld(seed, n)
			w.Run(units.Time(5 * time.Second))
			_, num := w.writeConfig(t, 0)
			var owner, other *Controller
			for _, h := range w.controllerHosts {
				if c := w.controllers[h]; c.Replica.Owner("config") == c.Self {
					owner = c
				} else {
					other = c
				}
			}
			write := func(c *Controller, text string) {
				w.callAt(c, register.Request{Key: "config", Write: true, ExpectedVersion: num, RequestID: text, Data: []byte(text)}, nil)
			}
			write(owner, configText(1))
			w.After(time.Duration(w.Rng.Int64N(int64(15*time.Millisecond))), func() { w.Pause(owner.Host) })
			w.After(50*time.Millisecond, func() { write(other, configText(2)) })
			w.After(3*time.Second, func() { w.Resume(owner.Host) })
			w.Run(w.Now.Add(10 * time.Second))
			ok := 0
			for _, o := range w.History[len(w.History)-2:] {
				if o.Code == resultcode.OK {
					ok++
				}
			}
			if both += ok; ok > 1 {
				t.Errorf("%d disks, seed %d: two writes on number %d acknowledged", n, seed, num)
			}
			w.change("config", configText(3), nil)
			w.Run(w.Now.Add(3 * time.Second))
			for _, f := range CheckHistory(w.History) {
				t.Errorf("%d disks, seed %d: %s", n, seed, f)
			}
		}
	}
	if both < 30 {
		t.Errorf("only %d of 90 races had a winner that was told", both)
	}
}

// The troubles of the deployments, with voters founded from seeds that grow.
func TestEachFaultWithSeedBootstrap(t *testing.T) {
	six := Council
	six.Name, six.ControllerZones, six.NonVoting = "six", []string{"t1", "t2", "t3", "t4", "t1", "t2"}, []int{1}
	for _, x := range Faults {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			for _, p := range []Deployment{Vatuloa, six} {
				p.Name, p.GrowsFromSeeds = p.Name+" grown", true
				simulate(t, p, *firstSeed, x.Name)
			}
		})
	}
}
