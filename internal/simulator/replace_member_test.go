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

// catchUp is how long after its return, or its first start, a machine still counts as lost.
const catchUp = 4 * time.Second

// ackWithin is how long an acknowledgement may take beside a single loss.
const ackWithin = 6 * time.Second

// joinCore starts a further core machine with an empty disk.
func (w *World) joinCore(zone string, counts bool) *Host {
	w.serial++
	g := &BootstrapSettings{MayVote: counts, ToleratedLosses: w.coreH[0].Bootstrap.ToleratedLosses}
	for _, h := range w.coreH[:min(3, len(w.coreH))] {
		g.Seeds = append(g.Seeds, h.Addr)
	}
	h := w.AddController(fmt.Sprintf("core.%d", w.serial), zone, 0, g.Seeds, g, w.cores)
	w.coreH = append(w.coreH, h)
	return h
}

// leaveCore stops a core machine in order, as Controller.Drain does, and removes it for good.
func (w *World) leaveCore(h *Host) { w.leaveInOrder(h, func() { w.remove(h) }) }

// leaveAndReturn stops a core machine in order and starts it again a second after it has ended.
func (w *World) leaveAndReturn(h *Host) {
	w.leaveInOrder(h, func() { w.bounce(h, time.Second, true) })
}

// leaveInOrder has a core machine hand over what it owns and its seat, and say goodbye; then it ends. One that is killed
// meanwhile does not.
func (w *World) leaveInOrder(h *Host, end func()) {
	c, life, began := w.cores[h], h.life, w.Now
	c.Draining = true
	ifAlive := func(then func()) func() {
		return func() {
			if h.life == life {
				then()
			}
		}
	}
	var look func()
	look = func() {
		gone := w.Now.Sub(began)
		if gone < 500*time.Millisecond || c.Replica.IsBeingRemoved() && gone < 3500*time.Millisecond {
			w.After(50*time.Millisecond, ifAlive(look))
			return
		}
		w.Inject(h, func(units.Time) message.Effects { return c.gossip.Leave() })
		w.After(100*time.Millisecond, ifAlive(end))
	}
	look()
}

// remove takes a core machine out of the world.
func (w *World) remove(h *Host) {
	w.Kill(h)
	w.coreH = slices.DeleteFunc(w.coreH, func(x *Host) bool { return x == h })
}

// loseAfterAck waits for an acknowledgement; in that moment so many machines lose their disks, beginning with the one at
// first, and all others lose power. All start again a second later.
func (w *World) loseAfterAck(t *testing.T, number, first, lost int) {
	t.Helper()
	text, num := configText(number), units.Version(0)
	w.change("config", text, func(o *Op) {
		if o.Code != resultcode.OK {
			return
		}
		num = o.Version
		for i, h := range w.coreH {
			if w.Kill(h); (i-first%len(w.coreH)+len(w.coreH))%len(w.coreH) < lost {
				h.Disk.Wipe()
			}
		}
	})
	if _, ok := w.until(6*time.Second, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; members %v", w.Name, number, w.voters())
	}
	w.Run(w.Now.Add(time.Second))
	for _, h := range w.coreH {
		w.Start(h)
	}
	w.readBack(t, text, num)
}

// A machine is replaced in order, the new one first; owners, the new one or the leaving one are killed at any moment of
// it. A catch-up span later the next loss comes, right after an acknowledgement: what was acknowledged is still there.
func TestReplacementThenLoss(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, lost int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *from; seed < *from+25; seed++ {
				w := grown(seed, x.disks)
				w.Run(units.Time(8 * time.Second))
				w.put(t, 0)
				for round := range 2 {
					w.replaceInOrder()
					if !w.bears(x.lost) {
						t.Errorf("%d disks, seed %d, round %d: %v does not bear the loss of %d", x.disks, seed, round, w.voters(), x.lost)
					}
					w.put(t, 10+round)
				}
				w.loseAfterAck(t, 20, int(seed), x.lost)
				if _, ok := w.until(20*time.Second, w.settled); !ok {
					t.Errorf("%d disks, seed %d: the set is not whole again: %v", x.disks, seed, w.voters())
				}
				for _, f := range CheckHistory(w.History) {
					t.Errorf("%d disks, seed %d: %s", x.disks, seed, f)
				}
			}
		})
	}
}

// replaceInOrder brings a new machine in and has an old one leave a second later. Of the owner of the quorum key, the new
// machine and the leaving one, one is killed at a random moment and comes back at once with its disk.
func (w *World) replaceInOrder() {
	old := pick(w, w.coreH)
	fresh := w.joinCore(old.Zone, true)
	w.After(time.Second, func() {
		if old.Proc != nil {
			w.leaveCore(old)
		}
	})
	victims := []*Host{old, fresh, w.ownerOf(register.KeyQuorum)}
	victim := victims[w.Rng.IntN(len(victims))]
	w.After(time.Duration(w.Rng.Int64N(int64(2*time.Second))), func() {
		if victim.Proc != nil {
			w.bounce(victim, 300*time.Millisecond, true)
		}
	})
	w.Run(w.Now.Add(5 * time.Second))
	if slices.Contains(w.coreH, old) { // it was killed while it left: the platform ends it all the same
		w.remove(old)
	}
	w.Run(w.Now.Add(catchUp))
}

// bears says whether the set decides even after the loss of so many more machines.
func (w *World) bears(lost int) bool {
	v := w.voters()
	alive := 0
	for _, h := range w.coreH {
		if h.Proc != nil && slices.Contains(v.Members, h.Disk.ID) {
			alive++
		}
	}
	return !v.Joint() && alive-lost > len(v.Members)/2
}

// ownerOf gives the machine that owns a key, as the most see it.
func (w *World) ownerOf(key string) *Host {
	for _, h := range w.coreH {
		if c := w.cores[h]; h.Proc != nil && c.Replica.Owner(key) == c.Self {
			return h
		}
	}
	return w.coreH[0]
}

// Every member in turn is stopped in order and started again with its disk, as a roll-out does: at each moment between,
// as many machines may be lost as the set bears, and changes are acknowledged throughout.
func TestRollingRestartBearsALoss(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, spare int }{{3, 1}, {4, 0}, {4, 1}, {6, 0}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *from; seed < *from+12; seed++ {
				w := grown(seed, x.disks+x.spare)
				w.Run(units.Time(8 * time.Second))
				number := 0
				for _, h := range slices.Clone(w.coreH) {
					w.leaveAndReturn(h)
					w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(time.Second)))))
					other := pick(w, slices.DeleteFunc(slices.Clone(w.coreH), func(o *Host) bool { return o == h }))
					if w.cores[h].Draining && w.voters().Has(h.Disk.ID) {
						other = nil // its seat is not taken yet: the loss waits its turn
					}
					if other != nil && other.Proc != nil {
						w.bounce(other, time.Second, false)
					}
					number++
					text, num := w.putAgain(t, number)
					w.readBack(t, text, num)
					w.Run(w.Now.Add(5*time.Second + catchUp))
				}
				if !w.settled() {
					t.Errorf("%d disks, seed %d: the set is %v", x.disks, seed, w.voters())
				}
			}
		})
	}
}

// putAgain writes a configuration as an operator does: read and written through any machine, and sent again as it was each
// second until it is acknowledged, within the time that an acknowledgement may take.
func (w *World) putAgain(t *testing.T, number int) (text string, num units.Version) {
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
	if _, ok := w.until(ackWithin, func() bool { return num > 0 }); !ok {
		t.Fatalf("%s: write %d was not acknowledged; members %v", w.Name, number, w.voters())
	}
	return text, num
}
