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

// losePower cuts the power of all hosts at once, and wipes the disks of `lost` of the first `counted` controllers.
func (w *World) losePower(counted, lost, first int) {
	for i, h := range w.controllerHosts {
		w.Kill(h)
		h.Disk.losePower(w.Rng)
		if i < counted && (i+first)%counted < lost {
			h.Disk.Wipe()
		}
	}
	for _, h := range w.routerHosts {
		w.Kill(h)
	}
}

// restorePower starts all hosts within 300 ms, in random order.
func (w *World) restorePower() {
	for _, h := range append(append([]*Host{}, w.controllerHosts...), w.routerHosts...) {
		w.After(time.Duration(w.Rng.Int64N(int64(300*time.Millisecond))), func() { w.Start(h) })
	}
}

// readZone reads a zone's state until a read succeeds.
func (w *World) readZone(zone string) (data string, ok bool) {
	for range 12 {
		var got *Op
		w.Call(register.Request{Key: "zone/" + zone}, func(o *Op) { got = o })
		w.Run(w.Now.Add(time.Second))
		if got != nil && got.Code == resultcode.OK {
			return got.Data, true
		}
	}
	return "", false
}

// As many disks as the quorum set tolerates are lost while all other hosts lose power, so that no process memory is left.
// This happens at an acknowledgement or up to 400 ms after a change was sent, also while the quorum set changes.
// Acknowledged changes and evacuations must be read back, and the quorum set must be complete again for the next round.
func TestDisksLostDuringPowerLoss(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ counted, nonVoting, lost int }{{3, 0, 1}, {3, 3, 1}, {4, 0, 1}, {4, 4, 1}, {5, 2, 2},
		{6, 0, 2}, {9, 0, 4}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+16; seed++ {
				var nonVoting []int
				for i := range x.nonVoting {
					nonVoting = append(nonVoting, x.counted+i)
				}
				w := bootstrappedWorld(seed, x.counted+x.nonVoting, nonVoting...)
				for _, h := range w.controllerHosts { // slow enough to reveal an answer that does not wait for the disk
					h.Disk.Delay = time.Duration(2+w.Rng.IntN(40)) * time.Millisecond
				}
				w.Run(units.Time(6 * time.Second))
				text, version := w.writeConfig(t, 0)
				w.Evacuate("z2", true)
				if _, ok := w.runUntil(6*time.Second, func() bool { return w.evacuatedAt["z2"] > 0 }); !ok {
					t.Fatalf("%+v, seed %d: the evacuation was not acknowledged", x, seed)
				}
				for round := 1; round <= 4; round++ {
					next, nextVersion := configText(round), units.Version(0)
					w.change("config", next, func(o *Op) {
						if o.Code == resultcode.OK {
							nextVersion = o.Version
						}
					})
					if w.Rng.IntN(2) == 0 {
						w.runUntil(6*time.Second, func() bool { return nextVersion > 0 })
					} else {
						w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(400 * time.Millisecond)))))
					}
					w.losePower(x.counted, x.lost, round+int(seed))
					w.Run(w.Now.Add(time.Second))
					w.restorePower()
					w.Run(w.Now.Add(300 * time.Millisecond))
					if nextVersion > 0 {
						w.checkReadBack(t, next, nextVersion)
					} else if got := w.readNewest(t); got.Data != text && got.Data != next || got.Version < version {
						t.Fatalf("%+v, seed %d: acknowledged version %d, read %+v", x, seed, version, got)
					}
					if data, ok := w.readZone("z2"); !ok || data != `{"evacuated":true}` {
						t.Fatalf("%+v, seed %d: the evacuation is %q", x, seed, data)
					}
					if _, ok := w.runUntil(12*time.Second, w.quorumComplete); !ok {
						t.Fatalf("%+v, seed %d: the quorum set is not complete again: %v", x, seed, w.newestQuorum())
					}
					text, version = w.writeConfig(t, 10+round)
				}
				for _, f := range w.Violations {
					t.Errorf("%+v, seed %d: %s", x, seed, f)
				}
			}
		})
	}
}

// killWhileWriting runs one round: controllers are killed while a change is being written and restart within a second. The
// change is acknowledged, then as many disks as the quorum set tolerates are lost and all other hosts lose power. It reports
// whether the change was acknowledged, and whether it is read back.
func (w *World) killWhileWriting(counted, round int) (acknowledged, readBack bool) {
	text, version := configText(round), units.Version(0)
	w.change("config", text, func(o *Op) {
		if o.Code == resultcode.OK {
			version = o.Version
		}
	})
	majorityWriting := func() bool {
		writing := 0
		for _, h := range w.controllerHosts[:counted] {
			if len(h.Disk.writing) > 0 {
				writing++
			}
		}
		return writing > counted/2
	}
	if _, ok := w.runUntil(2*time.Second, majorityWriting); !ok || version > 0 {
		return false, false
	}
	owner, powerOff := slices.Index(w.controllerHosts, w.ownerOf("config")), false
	for i, h := range w.controllerHosts[:counted] {
		if i != owner {
			w.Kill(h)
			w.After(time.Duration(20+w.Rng.IntN(300))*time.Millisecond, func() {
				if !powerOff {
					w.Start(h)
				}
			})
		}
	}
	if _, ok := w.runUntil(6*time.Second, func() bool { return version > 0 }); !ok {
		return false, false
	}
	powerOff = true
	w.losePower(counted, (counted-1)/2, counted-owner)
	w.Run(w.Now.Add(time.Second))
	w.restorePower()
	w.Run(w.Now.Add(300 * time.Millisecond))
	return true, w.readsBack(text, version)
}

// readsBack reports whether a successful read returns the given configuration and version, or a later version.
func (w *World) readsBack(text string, version units.Version) bool {
	for range 12 {
		var got *Op
		w.Call(register.Request{Key: "config"}, func(o *Op) { got = o })
		w.Run(w.Now.Add(time.Second))
		if got != nil && got.Code == resultcode.OK {
			return got.Version > version || got.Version == version && got.Data == text
		}
	}
	return false
}

// Lost write: a process reads what its predecessor wrote but did not sync before it was killed, and must sync it before it
// answers with it. With TrustsCache it does not, and the simulator must find the loss.
func TestKilledWhileWritingThenPowerLost(t *testing.T) {
	t.Parallel()
	for _, counted := range []int{3, 5} {
		for _, trusts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d disks, trusting the page cache: %v", counted, trusts), func(t *testing.T) {
				t.Parallel()
				rounds, lost := 0, 0
				for seed := *firstSeed; seed < *firstSeed+36; seed++ {
					w := bootstrappedWorld(seed, counted)
					for _, h := range w.controllerHosts {
						h.Disk.Delay = time.Duration(2+w.Rng.IntN(40)) * time.Millisecond
						h.Disk.TrustsCache = trusts
					}
					w.Run(units.Time(6 * time.Second))
					w.writeConfig(t, 0)
					for round := 1; round <= 3; round++ {
						acknowledged, there := w.killWhileWriting(counted, round)
						if acknowledged {
							rounds++
						}
						if acknowledged && !there {
							lost++
							t.Logf("seed %d, round %d: lost", seed, round)
							if !trusts {
								t.Errorf("seed %d, round %d: an acknowledged change is lost", seed, round)
							}
							break
						}
						if _, ok := w.runUntil(12*time.Second, w.quorumComplete); !ok {
							break
						}
					}
				}
				if rounds < 20 || trusts && lost == 0 {
					t.Errorf("%d rounds, %d lost a change: too few to prove anything", rounds, lost)
				}
				t.Logf("%d rounds, %d lost a change", rounds, lost)
			})
		}
	}
}
