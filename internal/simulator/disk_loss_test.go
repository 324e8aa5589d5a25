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

// loseDisk kills a controller and restarts it with an empty disk, at its address or at another.
func (w *World) loseDisk(i int, back time.Duration, moved bool) {
	h := w.controllerHosts[i]
	w.Kill(h)
	h.Disk.Wipe()
	if moved {
		w.lastSerial++
		h.Addr = fmt.Sprintf("core%d.%d", i+1, w.lastSerial)
		h.Bootstrap.Seeds = nil // its settings name current controllers as seeds
		for _, o := range w.controllerHosts[:min(4, len(w.controllerHosts))] {
			if o != h {
				h.Bootstrap.Seeds = append(h.Bootstrap.Seeds, o.Addr)
			}
		}
	}
	w.After(back, func() { w.Start(h) })
}

// caughtUp reports whether the quorum set has its full size, every member's disk exists, and this controller, if it is a
// member, holds the newest version of every key.
func (w *World) caughtUp(i int) bool {
	h := w.controllerHosts[i]
	quorum := w.newestQuorum()
	if h.Proc == nil || quorum.Joint() || len(quorum.Members) != quorumSize(len(w.controllerHosts)) ||
		!w.membersExist(quorum) {
		return false
	}
	if !quorum.Has(h.Disk.ID) {
		return true
	}
	stored := w.controllers[h].Replica.StoredVersions()
	for _, o := range w.controllerHosts {
		if o.Proc == nil {
			continue
		}
		for k, n := range w.controllers[o].Replica.StoredVersions() {
			if stored[k] < n {
				return false
			}
		}
	}
	return true
}

// membersExist reports whether each member's disk exists.
func (w *World) membersExist(v register.QuorumSet) bool {
	for _, n := range v.Members {
		if !slices.ContainsFunc(w.controllerHosts, func(h *Host) bool { return h.Disk.ID == n }) {
			return false
		}
	}
	return true
}

// A lost disk is replaced, and its successor has caught up, within catch_up_s. Then the next loss must not lose an
// acknowledged change (docs/design.md, section 13).
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
		{n: 6, zones: 3, lost: 2, back: 2 * time.Second},
		{n: 6, zones: 4, lost: 2, moved: true, back: 300 * time.Millisecond},
		{n: 9, zones: 4, lost: 2, back: 500 * time.Millisecond},
		{n: 4, zones: 4, lost: 1, diskless: true, back: 300 * time.Millisecond},
		{n: 6, zones: 3, lost: 1, diskless: true, moved: true, back: time.Second}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for seed := *firstSeed; seed < *firstSeed+12; seed++ {
				var nonVoting []int
				for i := range x.n {
					if x.diskless {
						nonVoting = append(nonVoting, i)
					}
				}
				w := bootstrappedIn(seed, x.n, x.zones, nonVoting...)
				w.Run(units.Time(8 * time.Second))
				text, version := w.writeConfig(t, 1)
				for _, z := range []string{"z1", "z2", "z3"} {
					w.Evacuate(z, true)
				}
				w.Run(w.Now.Add(time.Second))
				for round := range 3 {
					var lost []int
					for k := range x.lost {
						lost = append(lost, (int(seed)+round+k)%x.n)
						w.loseDisk(lost[k], x.back, x.moved)
					}
					w.Run(w.Now.Add(x.back))
					elapsed, ok := w.runUntil(20*time.Second, func() bool {
						for _, i := range lost {
							if !w.caughtUp(i) {
								return false
							}
						}
						return true
					})
					took = append(took, elapsed)
					if !ok || elapsed > catchUp {
						t.Errorf("%d disks in %d zones, diskless %v, %d lost, moved %v, seed %d round %d: replaced after %v; voters %v",
							x.n, x.zones, x.diskless, x.lost, x.moved, seed, round, elapsed, w.newestQuorum())
						break
					}
					if w.Run(w.Now.Add(catchUp - elapsed)); round == 1 {
						text, version = w.writeConfig(t, 2)
					}
				}
				w.checkReadBack(t, text, version)
			}
			t.Logf("%d disks in %d zones, diskless %v, %d lost at once, moved %v, back after %v: voting and caught up %s after the return",
				x.n, x.zones, x.diskless, x.lost, x.moved, x.back, Percentiles(took))
		})
	}
}

// As many disks as the quorum set tolerates are lost at an acknowledgement, and all other controllers are killed. The
// acknowledged value must be read back after the restart.
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
					version := units.Version(0)
					w.change("config", text, func(o *Op) {
						if o.Code != resultcode.OK {
							return
						}
						version = o.Version
						for i, h := range w.controllerHosts {
							if w.Kill(h); (i+round+int(seed))%x.n < x.lost {
								h.Disk.Wipe()
							}
						}
					})
					if _, ok := w.runUntil(6*time.Second, func() bool { return version > 0 }); !ok {
						t.Fatalf("%d disks, seed %d: write %d was not acknowledged", x.n, seed, round)
					}
					w.Run(w.Now.Add(time.Second))
					for _, h := range w.controllerHosts {
						w.Start(h)
					}
					w.checkReadBack(t, text, version)
					if _, ok := w.runUntil(12*time.Second, w.quorumComplete); !ok {
						t.Fatalf("%d disks, seed %d: the quorum set is not complete again: %v", x.n, seed, w.newestQuorum())
					}
				}
			}
		})
	}
}

// The owner is paused at any moment of a write, and another controller writes with the same expected version. When the owner
// resumes it receives all held answers. At most one of the two writes may be acknowledged, and it must be read back.
func TestPausedOwnerResumes(t *testing.T) {
	t.Parallel()
	totalWinners := 0
	for _, n := range []int{3, 4, 6} {
		for seed := *firstSeed; seed < *firstSeed+30; seed++ {
			w := bootstrappedWorld(seed, n)
			w.Run(units.Time(5 * time.Second))
			_, version := w.writeConfig(t, 0)
			var owner, other *Controller
			for _, h := range w.controllerHosts {
				if c := w.controllers[h]; c.Replica.Owner("config") == c.Self {
					owner = c
				} else {
					other = c
				}
			}
			write := func(c *Controller, text string) {
				w.callAt(c, register.Request{Key: "config", Write: true, ExpectedVersion: version, RequestID: text,
					Data: []byte(text)}, nil)
			}
			write(owner, configText(1))
			w.After(time.Duration(w.Rng.Int64N(int64(15*time.Millisecond))), func() { w.Pause(owner.Host) })
			w.After(50*time.Millisecond, func() { write(other, configText(2)) })
			w.After(3*time.Second, func() { w.Resume(owner.Host) })
			w.Run(w.Now.Add(10 * time.Second))
			winners := 0
			for _, o := range w.History[len(w.History)-2:] {
				if o.Code == resultcode.OK {
					winners++
				}
			}
			if totalWinners += winners; winners > 1 {
				t.Errorf("%d disks, seed %d: two writes with expected version %d acknowledged", n, seed, version)
			}
			w.change("config", configText(3), nil)
			w.Run(w.Now.Add(3 * time.Second))
			for _, f := range CheckHistory(w.History) {
				t.Errorf("%d disks, seed %d: %s", n, seed, f)
			}
		}
	}
	if totalWinners < 30 {
		t.Errorf("only %d of 90 races had an acknowledged winner", totalWinners)
	}
}

// Each fault alone in deployments that are bootstrapped from seeds.
func TestEachFaultWithSeedBootstrap(t *testing.T) {
	six := Council
	six.Name, six.ControllerZones, six.NonVoting = "six", []string{"t1", "t2", "t3", "t4", "t1", "t2"}, []int{1}
	for _, x := range Faults {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			for _, p := range []Deployment{Vatuloa, six} {
				p.Name, p.GrowsFromSeeds = p.Name+" from seeds", true
				simulate(t, p, *firstSeed, x.Name)
			}
		})
	}
}
