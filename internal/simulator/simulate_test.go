package simulator

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

var (
	seedCount = flag.Int("seeds", 2, "number of seeds for each deployment")
	pairSeeds = flag.Int("pairs", 0, "number of seeds for each pair of faults")
	firstSeed = flag.Uint64("from", 1, "first seed")
)

func simulate(t *testing.T, p Deployment, seed uint64, names ...string) *World {
	t.Helper()
	w := Simulate(p, seed, names...)
	for i, f := range w.Violations {
		if i < 5 {
			t.Errorf("%s seed %d %v: %s", p.Name, seed, w.FaultSchedule, f)
		}
	}
	for _, f := range linearizable(w.History) {
		t.Errorf("%s seed %d %v: %s", p.Name, seed, w.FaultSchedule, f)
	}
	return w
}

// Each seed picks several faults and runs them with client requests and operators' changes (docs/promises.md).
func TestSeeds(t *testing.T) {
	for _, p := range []Deployment{Vatuloa, Council} {
		var total Statistics
		var mu sync.Mutex
		t.Cleanup(func() {
			t.Logf("%s, %d seeds: %d runs, at most %d at once; median / 99th percentile / maximum: last run after draining %s, after evacuation %s, configuration applied %s, recovery after a full loss %s, without a coordinator %s; of %d claims %d not durable, %d failed",
				p.Name, *seedCount, total.Runs, total.MaxConcurrent, Percentiles(total.LastRunsAfterDraining),
				Percentiles(total.LastRunsAfterEvacuation), Percentiles(total.ConfigDelays), Percentiles(total.RecoveryTimes),
				Percentiles(total.CoordinatorGaps), total.Claims, total.NonDurableClaims, total.FailedClaims)
		})
		for s := *firstSeed; s < *firstSeed+uint64(*seedCount); s++ {
			t.Run(fmt.Sprint(p.Name, s), func(t *testing.T) {
				t.Parallel()
				w := simulate(t, p, s)
				mu.Lock()
				defer mu.Unlock()
				total.add(&w.Stats)
			})
		}
	}
}

// Both faults of every pair are injected in the same run. CI skips it; -pairs sets the number of seeds (docs/promises.md).
func TestPairs(t *testing.T) {
	if *pairSeeds == 0 {
		t.Skip("-pairs 0")
	}
	for i, x := range Faults {
		for _, y := range Faults[i:] {
			t.Run(x.Name+" and "+y.Name, func(t *testing.T) {
				t.Parallel()
				for s := range uint64(*pairSeeds) {
					simulate(t, Vatuloa, *firstSeed+s, x.Name, y.Name)
					simulate(t, Council, *firstSeed+s, x.Name, y.Name)
				}
			})
		}
	}
}

// Each fault is injected alone.
func TestEachFault(t *testing.T) {
	for _, x := range Faults {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			simulate(t, Vatuloa, *firstSeed, x.Name)
			simulate(t, Council, *firstSeed, x.Name)
		})
	}
}

// A failing seed must be replayable: the same seed gives the same messages at the same times and the same disk contents.
func TestReplay(t *testing.T) {
	first, second := Simulate(Council, 5), Simulate(Council, 5)
	if first.fingerprint() != second.fingerprint() {
		t.Errorf("two runs of one seed differ:\n%s\n%s", first.fingerprint(), second.fingerprint())
	}
	if other := Simulate(Council, 6); other.fingerprint() == first.fingerprint() {
		t.Error("two seeds have the same run")
	}
}

// The history checkers must find injected violations.
func TestCheckHistoryFindsViolations(t *testing.T) {
	ok := resultcode.OK
	good := []Op{
		{Key: "k", Write: true, CalledAt: 1, ReturnedAt: 2, ExpectedVersion: 0, Version: 1, Data: "a", Code: ok},
		{Key: "k", CalledAt: 3, ReturnedAt: 4, Version: 1, Data: "a", Code: ok},
		{Key: "k", Write: true, CalledAt: 3, ReturnedAt: 6, ExpectedVersion: 1, Version: 2, Data: "b", Code: ok},
		{Key: "k", CalledAt: 5, ReturnedAt: 7, Version: 1, Data: "a", Code: ok},
	}
	if bad := append(CheckHistory(good), linearizable(good)...); len(bad) > 0 {
		t.Fatalf("violations in a correct history: %v", bad)
	}
	for name, o := range map[string]Op{
		"lost write":  {Key: "k", CalledAt: 8, ReturnedAt: 9, Version: 1, Data: "a", Code: ok},
		"other bytes": {Key: "k", CalledAt: 8, ReturnedAt: 9, Version: 2, Data: "x", Code: ok},
		"two writes of one version": {Key: "k", Write: true, CalledAt: 3, ReturnedAt: 9, ExpectedVersion: 1, Version: 2,
			Data: "b", Code: ok},
		"gap": {Key: "k", Write: true, CalledAt: 8, ReturnedAt: 9, ExpectedVersion: 2, Version: 5,
			Data: "e", Code: ok},
	} {
		if len(CheckHistory(append(append([]Op(nil), good...), o))) == 0 {
			t.Errorf("%s is not found", name)
		}
		if len(linearizable(append(append([]Op(nil), good...), o))) == 0 {
			t.Errorf("%s is linearizable", name)
		}
	}
}

// All controllers are killed as soon as a write is acknowledged. The acknowledged value must be read back after the restart.
func TestPowerLostAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	for _, p := range []Deployment{Vatuloa, Council} {
		for seed := *firstSeed; seed < *firstSeed+4; seed++ {
			w := NewWorld(p, seed)
			w.Run(units.Time(4 * time.Second))
			for i := range 5 {
				text := configText(i)
				version := units.Version(0)
				w.change("config", text, func(o *Op) {
					if o.Code == resultcode.OK {
						version = o.Version
						for _, h := range w.controllerHosts {
							w.Kill(h)
						}
					}
				})
				w.Run(w.Now.Add(4 * time.Second))
				if version == 0 {
					t.Fatalf("%s seed %d: write %d was not acknowledged", p.Name, seed, i)
				}
				for _, h := range w.controllerHosts {
					w.Start(h)
				}
				var got *Op
				w.Run(w.Now.Add(4 * time.Second))
				w.Call(register.Request{Key: "config"}, func(o *Op) { got = o })
				w.Run(w.Now.Add(4 * time.Second))
				if got == nil || got.Code != resultcode.OK || got.Version != version || got.Data != text {
					t.Fatalf("%s seed %d: acknowledged version %d, after the restart %+v", p.Name, seed, version, got)
				}
			}
		}
	}
}

// Routers are drained while all slots are in demand. Routers that take over the coordination of their workers must
// count the permits that the draining routers still hold.
func TestDrainUnderFullLoad(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+4; seed++ {
		w := NewWorld(Vatuloa, seed)
		w.requestRate = 200
		w.At(units.Time(3*time.Second), func() { w.change("config", configText(0), nil) })
		w.At(units.Time(6*time.Second), w.GenerateLoad)
		for i := range 4 {
			w.At(units.Time(9+2*i)*units.Time(time.Second), func() { w.drainAndRestart(w.routerHosts[2*i]) })
		}
		w.Run(units.Time(20 * time.Second))
		if w.Stats.Runs < 500 || len(w.Violations) > 0 {
			t.Errorf("seed %d: %d runs, %v", seed, w.Stats.Runs, w.Violations[:min(3, len(w.Violations))])
		}
	}
}
