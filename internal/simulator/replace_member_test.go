package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// catchUpTime is how long a controller still counts as lost after its first start or its return.
const catchUpTime = 4 * time.Second

// writeLimit is how long an acknowledgement may take during a single loss.
const writeLimit = 6 * time.Second

// addController starts another controller with an empty disk.
func (w *World) addController(zone string, counts bool) *Host {
	w.lastSerial++
	g := &BootstrapSettings{MayVote: counts, ToleratedLosses: w.controllerHosts[0].Bootstrap.ToleratedLosses}
	for _, h := range w.controllerHosts[:min(3, len(w.controllerHosts))] {
		g.Seeds = append(g.Seeds, h.Addr)
	}
	h := w.AddController(fmt.Sprintf("core.%d", w.lastSerial), zone, 0, g.Seeds, g, w.controllers)
	w.controllerHosts = append(w.controllerHosts, h)
	return h
}

// drainAndRemove drains a controller, as Controller.Drain does, and removes it permanently.
func (w *World) drainAndRemove(h *Host) { w.drainController(h, func() { w.removeController(h) }) }

// drainAndReturn drains a controller and restarts it a second after it has ended.
func (w *World) drainAndReturn(h *Host) {
	w.drainController(h, func() { w.restart(h, time.Second, true) })
}

// drainController makes a controller hand over its keys and its voting seat and leave the membership, and then calls end,
// unless the controller is killed meanwhile.
func (w *World) drainController(h *Host, end func()) {
	controller, generation, startedAt := w.controllers[h], h.generation, w.Now
	controller.Draining = true
	ifNotRestarted := func(then func()) func() {
		return func() {
			if h.generation == generation {
				then()
			}
		}
	}
	var check func()
	check = func() {
		elapsed := w.Now.Sub(startedAt)
		if elapsed < 500*time.Millisecond || controller.Replica.IsBeingRemoved() && elapsed < 3500*time.Millisecond {
			w.After(50*time.Millisecond, ifNotRestarted(check))
			return
		}
		w.Inject(h, func(units.Time) message.Effects { return controller.gossip.Leave() })
		w.After(100*time.Millisecond, ifNotRestarted(end))
	}
	check()
}

// removeController removes a controller from the deployment.
func (w *World) removeController(h *Host) {
	w.Kill(h)
	w.controllerHosts = slices.DeleteFunc(w.controllerHosts, func(x *Host) bool { return x == h })
}

// loseAfterAcknowledgement writes a configuration. At its acknowledgement `lost` controllers, beginning with the one at first,
// lose their disks and all others are killed. All restart a second later.
func (w *World) loseAfterAcknowledgement(t *testing.T, number, first, lost int) {
	t.Helper()
	text, version := configText(number), units.Version(0)
	w.change("config", text, func(o *Op) {
		if o.Code != resultcode.OK {
			return
		}
		version = o.Version
		for i, h := range w.controllerHosts {
			if w.Kill(h); (i-first%len(w.controllerHosts)+len(w.controllerHosts))%len(w.controllerHosts) < lost {
				h.Disk.Wipe()
			}
		}
	})
	if _, ok := w.runUntil(6*time.Second, func() bool { return version > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; members %v", w.Name, number, w.newestQuorum())
	}
	w.Run(w.Now.Add(time.Second))
	for _, h := range w.controllerHosts {
		w.Start(h)
	}
	w.checkReadBack(t, text, version)
}

// A new controller joins and an old one is drained, while an owner, the new or the draining one is killed at any moment. After
// the catch-up time, more controllers are lost right after an acknowledgement. The acknowledged value must survive.
func TestGracefulReplacementThenLoss(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ disks, lost int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+25; seed++ {
				w := bootstrappedWorld(seed, test.disks)
				w.Run(units.Time(8 * time.Second))
				w.writeConfig(t, 0)
				for round := range 2 {
					w.replaceGracefully()
					if !w.toleratesLoss(test.lost) {
						t.Errorf("%d disks, seed %d, round %d: %v does not tolerate the loss of %d", test.disks, seed,
							round, w.newestQuorum(), test.lost)
					}
					w.writeConfig(t, 10+round)
				}
				w.loseAfterAcknowledgement(t, 20, int(seed), test.lost)
				if _, ok := w.runUntil(20*time.Second, w.quorumComplete); !ok {
					t.Errorf("%d disks, seed %d: the quorum set is not complete again: %v", test.disks, seed,
						w.newestQuorum())
				}
				for _, f := range CheckHistory(w.History) {
					t.Errorf("%d disks, seed %d: %s", test.disks, seed, f)
				}
			}
		})
	}
}

// replaceGracefully adds a controller and drains an old one a second later. One of these two, or the owner of the quorum set,
// is killed at a random moment and restarts immediately with its disk.
func (w *World) replaceGracefully() {
	old := pick(w, w.controllerHosts)
	added := w.addController(old.Zone, true)
	w.After(time.Second, func() {
		if old.Proc != nil {
			w.drainAndRemove(old)
		}
	})
	victims := []*Host{old, added, w.ownerOf(register.KeyQuorum)}
	victim := victims[w.Rng.IntN(len(victims))]
	w.After(time.Duration(w.Rng.Int64N(int64(2*time.Second))), func() {
		if victim.Proc != nil {
			w.restart(victim, 300*time.Millisecond, true)
		}
	})
	w.Run(w.Now.Add(5 * time.Second))
	if slices.Contains(w.controllerHosts, old) { // it was killed while draining: the platform removes it all the same
		w.removeController(old)
	}
	w.Run(w.Now.Add(catchUpTime))
}

// toleratesLoss reports whether the quorum set keeps a majority after the loss of more controllers.
func (w *World) toleratesLoss(lost int) bool {
	quorum := w.newestQuorum()
	alive := 0
	for _, h := range w.controllerHosts {
		if h.Proc != nil && slices.Contains(quorum.Members, h.Disk.ID) {
			alive++
		}
	}
	return !quorum.Joint() && alive-lost > len(quorum.Members)/2
}

// ownerOf returns the host that sees itself as the owner of a key.
func (w *World) ownerOf(key string) *Host {
	for _, h := range w.controllerHosts {
		if c := w.controllers[h]; h.Proc != nil && c.Replica.Owner(key) == c.Self {
			return h
		}
	}
	return w.controllerHosts[0]
}

// Every member in turn is drained and restarted with its disk, as in a rolling restart. Another controller may lose its
// power at any moment between, and changes must still be acknowledged.
func TestRollingRestartToleratesLoss(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ disks, spare int }{{3, 1}, {4, 0}, {4, 1}, {6, 0}} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+12; seed++ {
				w := bootstrappedWorld(seed, test.disks+test.spare)
				w.Run(units.Time(8 * time.Second))
				change := 0
				for _, h := range slices.Clone(w.controllerHosts) {
					w.drainAndReturn(h)
					w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(time.Second)))))
					other := pick(w, slices.DeleteFunc(slices.Clone(w.controllerHosts), func(o *Host) bool { return o == h }))
					if w.controllers[h].Draining && w.newestQuorum().Has(h.Disk.ID) {
						other = nil // its voting seat is not handed over yet, so no other may be lost
					}
					if other != nil && other.Proc != nil {
						w.restart(other, time.Second, false)
					}
					change++
					text, version := w.writeConfigWithRetries(t, change)
					w.checkReadBack(t, text, version)
					w.Run(w.Now.Add(5*time.Second + catchUpTime))
				}
				if !w.quorumComplete() {
					t.Errorf("%d disks, seed %d: the quorum set is %v", test.disks, seed, w.newestQuorum())
				}
			}
		})
	}
}

// writeConfigWithRetries reads and writes a configuration through random controllers, as an operator does, and resends the
// same write each second until it is acknowledged. It fails the test after writeLimit.
func (w *World) writeConfigWithRetries(t *testing.T, number int) (text string, version units.Version) {
	t.Helper()
	text = configText(number)
	write := register.Request{Key: "config", Write: true, RequestID: fmt.Sprint("number ", number), Data: []byte(text)}
	read := false
	var send func()
	send = func() {
		if version > 0 {
			return
		}
		w.After(time.Second, send)
		if !read {
			w.Call(register.Request{Key: "config"}, func(o *Op) {
				if o.Code == resultcode.OK && !read {
					read, write.ExpectedVersion = true, o.Version
				}
			})
			return
		}
		w.Call(write, func(o *Op) {
			if o.Code == resultcode.OK {
				version = o.Version
			}
		})
	}
	send()
	if _, ok := w.runUntil(writeLimit, func() bool { return version > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; members %v", w.Name, number, w.newestQuorum())
	}
	return text, version
}
