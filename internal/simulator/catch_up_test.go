package simulator

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

var (
	catchUpSeeds   = flag.Int("catch-up-seeds", 5, "seeds for each deployment and kind of loss in TestCatchUp")
	catchUpChanges = flag.Int("catch-up-changes", 50, "changes in each seed of TestCatchUp")
	catchUpLong    = flag.Int("catch-up-long", 0, "seeds of each deployment with a thousand changes")
)

// catchUpBound is catch_up_s of the deployments: how long a returned member still counts as lost.
const catchUpBound = 4 * time.Second

// A memberLoss is a fault that makes a member unavailable; heal ends it.
type memberLoss struct {
	name   string
	inject func(w *World, i int)
	heal   func(w *World, i int)
}

// startIfStopped starts a member that is not running.
func startIfStopped(w *World, i int) {
	if h := w.controllerHosts[i]; h.Proc == nil {
		w.Start(h)
	}
}

var memberLosses = []memberLoss{
	{"down", func(w *World, i int) { w.Kill(w.controllerHosts[i]); w.RefuseConnections(w.controllerHosts[i]) }, startIfStopped},
	{"power lost", func(w *World, i int) { w.Kill(w.controllerHosts[i]) }, startIfStopped},
	{"wiped", func(w *World, i int) { w.Kill(w.controllerHosts[i]); w.controllerHosts[i].Disk.Wipe() }, startIfStopped},
	{"replaced at another address", func(w *World, i int) {
		w.loseDisk(i, time.Hour, true) // the test starts it
	}, startIfStopped},
	{"slow disk", func(w *World, i int) { w.controllerHosts[i].Disk.Delay = 150 * time.Millisecond },
		func(w *World, i int) { w.controllerHosts[i].Disk.Delay = NewDisk().Delay }},
	{"stalled disk", func(w *World, i int) { w.controllerHosts[i].Disk.Stalled = true },
		func(w *World, i int) { w.controllerHosts[i].Disk.Stalled = false }},
	{"full disk", func(w *World, i int) {
		w.controllerHosts[i].Disk.Full, w.controllerHosts[i].Disk.reserveUsed = true, reserveRecords+1
	},
		func(w *World, i int) { w.controllerHosts[i].Disk.Full = false }},
	{"paused", func(w *World, i int) { w.Pause(w.controllerHosts[i]) },
		func(w *World, i int) { w.Resume(w.controllerHosts[i]) }},
	{"isolated", func(w *World, i int) { w.controllerHosts[i].Isolated = true },
		func(w *World, i int) { w.controllerHosts[i].Isolated = false }},
	{"restarted repeatedly", func(w *World, i int) {
		for k := range 4 {
			w.After(time.Duration(k)*250*time.Millisecond, func() { w.Kill(w.controllerHosts[i]) })
			w.After(time.Duration(k)*250*time.Millisecond+120*time.Millisecond, func() { startIfStopped(w, i) })
		}
	}, startIfStopped},
}

// A catchUpRun has operators change the configuration and zones while members are lost and return.
type catchUpRun struct {
	*World
	changes             int // number of changes to be acknowledged
	acknowledgedChanges int
	paused              bool // no new changes, so that no write repeats what lost members missed
	maxAbsence          time.Duration
	catchUpTimes        []time.Duration
}

func newCatchUpRun(seed uint64, disks, changes int) *catchUpRun {
	p := Deployment{Name: fmt.Sprintf("catch-up%d", disks), GrowsFromSeeds: true}
	for i := range disks {
		p.ControllerZones = append(p.ControllerZones, fmt.Sprintf("z%d", i%4+1))
	}
	r := &catchUpRun{World: NewWorld(p, seed), changes: changes, maxAbsence: 3 * time.Second}
	if changes >= 1000 {
		r.maxAbsence = 20 * time.Second // long enough for hundreds of changes
	}
	r.Run(units.Time(6 * time.Second))
	return r
}

// randomValue returns a value of random size: mostly small, sometimes 4 KB, rarely 100 KB like a large configuration.
func (r *catchUpRun) randomValue() string {
	r.lastSerial++
	size := 50 + r.Rng.IntN(800)
	switch x := r.Rng.IntN(100); {
	case x == 0:
		size = 100 << 10
	case x < 10:
		size = 4 << 10
	}
	return fmt.Sprintf("%d %s", r.lastSerial, strings.Repeat("x", size))
}

func (r *catchUpRun) runOperator() {
	if r.acknowledgedChanges >= r.changes {
		return
	}
	key := "config"
	if x := r.Rng.IntN(8); x < 4 {
		key = fmt.Sprintf("zone/z%d", x+1)
	}
	if !r.paused {
		r.change(key, r.randomValue(), func(o *Op) {
			if o.Code == resultcode.OK {
				r.acknowledgedChanges++
			}
		})
	}
	r.After(20*time.Millisecond+time.Duration(r.Rng.Int64N(int64(60*time.Millisecond))), r.runOperator)
}

// readFromReturned reads through the returned member, immediately and up to a second later. The member must not answer from
// old state.
func (r *catchUpRun) readFromReturned(i int) {
	for _, d := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		r.After(d, func() {
			if h := r.controllerHosts[i]; r.alive(h) {
				r.callAt(r.controllers[h], register.Request{Key: "config"}, nil)
			}
		})
	}
}

// runRound injects a loss on one or two members, ends it, and measures the time until all of them have caught up.
func (r *catchUpRun) runRound(t *testing.T, loss memberLoss) {
	t.Helper()
	lost := []int{r.Rng.IntN(len(r.controllerHosts))}
	if len(r.controllerHosts) > 4 && r.Rng.IntN(2) == 0 {
		lost = append(lost, (lost[0]+1+r.Rng.IntN(len(r.controllerHosts)-1))%len(r.controllerHosts))
	}
	for _, i := range lost {
		loss.inject(r.World, i)
	}
	r.Run(r.Now.Add(time.Second + time.Duration(r.Rng.Int64N(int64(r.maxAbsence)))))
	r.paused = r.Rng.IntN(2) == 0
	for _, i := range lost {
		loss.heal(r.World, i)
		r.readFromReturned(i)
	}
	elapsed, ok := r.runUntil(20*time.Second, func() bool {
		for _, i := range lost {
			if !r.caughtUp(i) {
				return false
			}
		}
		return true
	})
	r.catchUpTimes = append(r.catchUpTimes, elapsed)
	if !ok || elapsed > catchUpBound {
		t.Errorf("%s: %s of %v at change %d: caught up after %v; voters %v", r.Name, loss.name, lost, r.acknowledgedChanges,
			elapsed, r.newestQuorum())
	}
	r.Run(r.Now.Add(max(0, catchUpBound-elapsed)))
	r.paused = false
}

// runAndCheck makes all changes, then checks the history and the number of stored records.
func (r *catchUpRun) runAndCheck(t *testing.T, losses ...memberLoss) {
	t.Helper()
	r.runOperator()
	for k := 0; r.acknowledgedChanges < r.changes && k < r.changes; k++ {
		r.runRound(t, losses[(k+r.Rng.IntN(len(losses)))%len(losses)])
	}
	r.Run(r.Now.Add(10 * time.Second))
	r.checkReplicasAgree()
	for _, f := range append(r.Violations, CheckHistory(r.History)...) {
		t.Errorf("%s: %s", r.Name, f)
	}
	for _, h := range r.controllerHosts {
		// A controller outside the quorum set holds fewer keys.
		keys := len(message.SortedKeys(r.controllers[h].Replica.States()))
		// A promise and a value per key, the quorum set, the bootstrap vote.
		if n := controlRecords(h.Disk); n > 2*keys+2 {
			t.Errorf("%s: %s keeps %d records of %d keys after %d changes", r.Name, h.Addr, n, keys, r.acknowledgedChanges)
		}
	}
}

// controlRecords counts the records of the control state on a disk, without those of claims.
func controlRecords(d *Disk) (n int) {
	for _, x := range d.Records() {
		if x.Kind >= register.RecordPromise && x.Kind <= register.RecordBootstrapVote {
			n++
		}
	}
	return n
}

// Members that are lost during changes, in any way, hold the newest value of every key within catch_up_s of their return.
// They never answer from old state (docs/design.md, section 2).
func TestCatchUp(t *testing.T) {
	for _, disks := range []int{3, 4, 5, 6} {
		for _, l := range memberLosses {
			t.Run(fmt.Sprintf("%d disks %s", disks, l.name), func(t *testing.T) {
				t.Parallel()
				var times []time.Duration
				for seed := range uint64(*catchUpSeeds) {
					r := newCatchUpRun(*firstSeed+seed, disks, *catchUpChanges)
					r.runAndCheck(t, l)
					times = append(times, r.catchUpTimes...)
				}
				t.Logf("%d disks, %s: time to catch up after the return %s", disks, l.name, Percentiles(times))
			})
		}
	}
}

// TestCatchUp with a thousand changes and every kind of loss in each run. CI skips it; -catch-up-long sets the number of seeds.
func TestCatchUpAfterAThousandChanges(t *testing.T) {
	if *catchUpLong == 0 {
		t.Skip("-catch-up-long 0")
	}
	for _, disks := range []int{3, 4, 5, 6} {
		var mu sync.Mutex
		var times []time.Duration
		t.Cleanup(func() {
			t.Logf("%d disks, a thousand changes: time to catch up after the return %s", disks, Percentiles(times))
		})
		for seed := range uint64(*catchUpLong) {
			t.Run(fmt.Sprintf("%d disks seed %d", disks, *firstSeed+seed), func(t *testing.T) {
				t.Parallel()
				r := newCatchUpRun(*firstSeed+seed, disks, 1000)
				r.runAndCheck(t, memberLosses...)
				mu.Lock()
				defer mu.Unlock()
				times = append(times, r.catchUpTimes...)
			})
		}
	}
}
