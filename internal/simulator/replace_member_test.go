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

// catchUpTime is how long after its return, or its first start, a machine still counts as lost.
const catchUpTime = 4 * time.Second

// writeLimit is how long an acknowledgement may take beside a single loss.
const writeLimit = 6 * time.Second

// addController starts a further core machine with an empty disk.
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

// drainAndRemove stops a core machine in order, as Controller.Drain does, and removes it for good.
func (w *World) drainAndRemove(h *Host) { w.drainController(h, func() { w.removeController(h) }) }

// drainAndReturn stops a core machine in order and starts it again a second after it has ended.
func (w *World) drainAndReturn(h *Host) {
	w.drainController(h, func() { w.restart(h, time.Second, true) })
}

// drainController has a core machine hand over what it owns and its seat, and say goodbye; then it ends. One that is killed
// meanwhile does not.
func (w *World) drainController(h *Host, end func()) {
	c, generation, began := w.controllers[h], h.generation, w.Now
	c.Draining = true
	ifNotRestarted := func(then func()) func() {
		return func() {
			if h.generation == generation {
				then()
			}
		}
	}
	var check func()
	check = func() {
		elapsed := w.Now.Sub(began)
		if elapsed < 500*time.Millisecond || c.Replica.IsBeingRemoved() && elapsed < 3500*time.Millisecond {
			w.After(50*time.Millisecond, ifNotRestarted(check))
			return
		}
		w.Inject(h, func(units.Time) message.Effects { return c.gossip.Leave() })
		w.After(100*time.Millisecond, ifNotRestarted(end))
	}
	check()
}

// removeController takes a core machine out of the world.
func (w *World) removeController(h *Host) {
	w.Kill(h)
	w.controllerHosts = slices.DeleteFunc(w.controllerHosts, func(x *Host) bool { return x == h })
}

// loseAfterAcknowledgement waits for an acknowledgement; in that moment so many machines lose their disks, beginning with the one at
// first, and all others lose power. All start again a second later.
func (w *World) loseAfterAcknowledgement(t *testing.T, number, first, lost int) {
	t.Helper()
	text, num := configText(number), units.Version(0)
	w.change("config", text, func(o *Op) {
		if o.Code != resultcode.OK {
			return
		}
		num = o.Version
		for i, h := range w.controllerHosts {
			if w.Kill(h); (i-first%len(w.controllerHosts)+len(w.controllerHosts))%len(w.controllerHosts) < lost {
				h.Disk.Wipe()
			}
		}
	})
	if _, ok := w.runUntil(6*time.Second, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; members %v", w.Name, number, w.newestQuorum())
	}
	w.Run(w.Now.Add(time.Second))
	for _, h := range w.controllerHosts {
		w.Start(h)
	}
	w.checkReadBack(t, text, num)
}

// A machine is replaced in order, the new one first; owners, the new one or the leaving one are killed at any moment of
// it. A catch-up span later the next loss comes, right after an acknowledgement: what was acknowledged is still there.
func TestGracefulReplacementThenLoss(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, lost int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+25; seed++ {
				w := bootstrappedWorld(seed, x.disks)
				w.Run(units.Time(8 * time.Second))
				w.writeConfig(t, 0)
				for round := range 2 {
					w.replaceGracefully()
					if !w.toleratesLoss(x.lost) {
						t.Errorf("%d disks, seed %d, round %d: %v does not bear the loss of %d", x.disks, seed, round, w.newestQuorum(), x.lost)
					}
					w.writeConfig(t, 10+round)
				}
				w.loseAfterAcknowledgement(t, 20, int(seed), x.lost)
				if _, ok := w.runUntil(20*time.Second, w.quorumComplete); !ok {
					t.Errorf("%d disks, seed %d: the set is not whole again: %v", x.disks, seed, w.newestQuorum())
				}
				for _, f := range CheckHistory(w.History) {
					t.Errorf("%d disks, seed %d: %s", x.disks, seed, f)
				}
			}
		})
	}
}

// replaceGracefully brings a new machine in and has an old one leave a second later. Of the owner of the quorum key, the new
// machine and the leaving one, one is killed at a random moment and comes back at once with its disk.
func (w *World) replaceGracefully() {
	old := pick(w, w.controllerHosts)
	fresh := w.addController(old.Zone, true)
	w.After(time.Second, func() {
		if old.Proc != nil {
			w.drainAndRemove(old)
		}
	})
	victims := []*Host{old, fresh, w.ownerOf(register.KeyQuorum)}
	victim := victims[w.Rng.IntN(len(victims))]
	w.After(time.Duration(w.Rng.Int64N(int64(2*time.Second))), func() {
		if victim.Proc != nil {
			w.restart(victim, 300*time.Millisecond, true)
		}
	})
	w.Run(w.Now.Add(5 * time.Second))
	if slices.Contains(w.controllerHosts, old) { // it was killed while it left: the platform ends it all the same
		w.removeController(old)
	}
	w.Run(w.Now.Add(catchUpTime))
}

// toleratesLoss says whether the set decides even after the loss of so many more machines.
func (w *World) toleratesLoss(lost int) bool {
	v := w.newestQuorum()
	alive := 0
	for _, h := range w.controllerHosts {
		if h.Proc != nil && slices.Contains(v.Members, h.Disk.ID) {
			alive++
		}
	}
	return !v.Joint() && alive-lost > len(v.Members)/2
}

// ownerOf gives the machine that owns a key, as the most see it.
func (w *World) ownerOf(key string) *Host {
	for _, h := range w.controllerHosts {
		if c := w.controllers[h]; h.Proc != nil && c.Replica.Owner(key) == c.Self {
			return h
		}
	}
	return w.controllerHosts[0]
}

// Every member in turn is stopped in order and started again with its disk, as a roll-out does: at each moment between,
// as many machines may be lost as the set bears, and changes are acknowledged throughout.
func TestRollingRestartToleratesLoss(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, spare int }{{3, 1}, {4, 0}, {4, 1}, {6, 0}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+12; seed++ {
				w := bootstrappedWorld(seed, x.disks+x.spare)
				w.Run(units.Time(8 * time.Second))
				number := 0
				for _, h := range slices.Clone(w.controllerHosts) {
					w.drainAndReturn(h)
					w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(time.Second)))))
					other := pick(w, slices.DeleteFunc(slices.Clone(w.controllerHosts), func(o *Host) bool { return o == h }))
					if w.controllers[h].Draining && w.newestQuorum().Has(h.Disk.ID) {
						other = nil // its seat is not taken yet: the loss waits its turn
					}
					if other != nil && other.Proc != nil {
						w.restart(other, time.Second, false)
					}
					number++
					text, num := w.writeConfigWithRetries(t, number)
					w.checkReadBack(t, text, num)
					w.Run(w.Now.Add(5*time.Second + catchUpTime))
				}
				if !w.quorumComplete() {
					t.Errorf("%d disks, seed %d: the set is %v", x.disks, seed, w.newestQuorum())
				}
			}
		})
	}
}

// writeConfigWithRetries writes a configuration as an operator does: read and written through any machine, and sent again as it was each
// second until it is acknowledged, within the time that an acknowledgement may take.
func (w *World) writeConfigWithRetries(t *testing.T, number int) (text string, num units.Version) {
	t.Helper()
	text = configText(number)
	write := register.Request{Key: "config", Write: true, RequestID: fmt.Sprint("number ", number), Data: []byte(text)}
	read := false
	var send func()
	send = func() {
		if num > 0 {
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
				num = o.Version
			}
		})
	}
	send()
	if _, ok := w.runUntil(writeLimit, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; members %v", w.Name, number, w.newestQuorum())
	}
	return text, num
}
