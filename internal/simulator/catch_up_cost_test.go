package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// controlBytes counts the bytes of messages between zones that carry the control state.
type controlBytes struct{ register, antiEntropy, push int }

func (w *World) controlBytes() controlBytes {
	return controlBytes{w.InterZoneBytes[message.KindRegister], w.InterZoneBytes[message.KindAntiEntropy],
		w.InterZoneBytes[message.KindConfigPush]}
}

func (b controlBytes) minus(o controlBytes) controlBytes {
	return controlBytes{b.register - o.register, b.antiEntropy - o.antiEntropy, b.push - o.push}
}

// bytesDuring runs the simulation for a time and returns the bytes between zones in it.
func (w *World) bytesDuring(duration time.Duration) controlBytes {
	before := w.controlBytes()
	w.Run(w.Now.Add(duration))
	return w.controlBytes().minus(before)
}

// storeValue writes a key and waits for the acknowledgement.
func (w *World) storeValue(t *testing.T, key, data string) {
	t.Helper()
	for range 5 {
		var code resultcode.Code
		w.change(key, data, func(o *Op) { code = o.Code })
		if w.runUntil(6*time.Second, func() bool { return code != 0 }); code == resultcode.OK {
			return
		}
	}
	t.Fatalf("%s: %s is not acknowledged", w.Name, key)
}

// A missedChanges describes the changes that a member missed while it was down.
type missedChanges struct{ changes, configBytes, keys int }

// A catchUpCost is the traffic of a member's catch-up, less that of the same time at rest.
type catchUpCost struct {
	controlBytes
	duration     time.Duration
	restBefore   int // anti-entropy bytes in 30 s at rest, before the changes
	restAfter    int // the same after the catch-up
	recordsAfter int // on the member's disk
}

func measureCatchUp(t *testing.T, seed uint64, missed missedChanges) (cost catchUpCost) {
	t.Helper()
	w := newCatchUpRun(seed, 3, 0).World
	config := strings.Repeat("x", missed.configBytes)
	for k := range missed.keys {
		w.storeValue(t, fmt.Sprintf("zone/%d", k), "before")
	}
	w.storeValue(t, "config", config)
	w.Run(w.Now.Add(5 * time.Second))
	cost.restBefore = w.bytesDuring(30 * time.Second).antiEntropy
	lostHost := w.controllerHosts[int(seed)%3]
	w.Kill(lostHost)
	w.RefuseConnections(lostHost)
	w.Run(w.Now.Add(time.Second))
	for k := range missed.keys {
		w.storeValue(t, fmt.Sprintf("zone/%d", k), strings.Repeat("y", 200))
	}
	for n := range missed.changes {
		w.storeValue(t, "config", fmt.Sprint(n, config))
	}
	w.Run(w.Now.Add(5 * time.Second))
	before := w.controlBytes()
	w.Start(lostHost)
	took, ok := w.runUntil(20*time.Second, func() bool { return w.caughtUp(int(seed) % 3) })
	if cost.duration = took; !ok || took > catchUpBound {
		t.Errorf("seed %d, %+v: caught up after %v", seed, missed, took)
	}
	const settleTime = 5 * time.Second
	w.Run(w.Now.Add(settleTime - took))
	cost.controlBytes = w.controlBytes().minus(before)
	w.Run(w.Now.Add(5 * time.Second))
	cost.controlBytes = cost.controlBytes.minus(w.bytesDuring(settleTime))
	cost.restAfter = w.bytesDuring(30 * time.Second).antiEntropy
	cost.recordsAfter = controlRecords(lostHost.Disk)
	return cost
}

// The cost of a catch-up depends on the stored data, not on the number of missed changes (figures in docs/CAPACITY.md).
func TestCatchUpCost(t *testing.T) {
	t.Parallel()
	mean := func(missed missedChanges) (c catchUpCost) {
		const seeds = 2
		for seed := range uint64(seeds) {
			x := measureCatchUp(t, *firstSeed+seed, missed)
			c.register, c.antiEntropy, c.push = c.register+x.register/seeds, c.antiEntropy+x.antiEntropy/seeds,
				c.push+x.push/seeds
			c.duration = max(c.duration, x.duration)
			c.restBefore, c.restAfter, c.recordsAfter = c.restBefore+x.restBefore/seeds, c.restAfter+x.restAfter/seeds,
				max(c.recordsAfter, x.recordsAfter)
		}
		t.Logf("%5d changes of %6d B, %3d zones: %7d B of writes, %5d B of anti-entropy, %7d B of pushes; at most %v; at rest %d -> %d B in 30 s; %d records",
			missed.changes, missed.configBytes, missed.keys, c.register, c.antiEntropy, c.push, c.duration, c.restBefore,
			c.restAfter, c.recordsAfter)
		return c
	}
	few, many := mean(missedChanges{10, 2000, 4}), mean(missedChanges{1000, 2000, 4})
	if limit := few.register + 100*990; many.register > limit {
		t.Errorf("1,000 missed changes cost %d B of writes, 10 cost %d: over 100 B for each", many.register, few.register)
	}
	if many.recordsAfter != few.recordsAfter {
		t.Errorf("%d records after 1,000 changes, %d after 10", many.recordsAfter, few.recordsAfter)
	}
	for _, c := range []catchUpCost{few, many} {
		if c.restAfter > c.restBefore+c.restBefore/10 {
			t.Errorf("anti-entropy at rest rose from %d to %d B", c.restBefore, c.restAfter)
		}
	}
	small, large := mean(missedChanges{2, 20000, 4}), mean(missedChanges{2, 577000, 4})
	if each := float64(large.register-small.register) / 557000; each > 16 {
		t.Errorf("%.1f B of writes for each byte of the configuration", each)
	}
	fewKeys, manyKeys := mean(missedChanges{2, 2000, 16}), mean(missedChanges{2, 2000, 256})
	if each := (manyKeys.register + manyKeys.antiEntropy - fewKeys.register - fewKeys.antiEntropy) / 240; each > 8000 {
		t.Errorf("%d B for each key of 200 B", each)
	}
	if bound := units.Time(time.Second); units.Time(many.duration) > bound || units.Time(large.duration) > bound ||
		units.Time(manyKeys.duration) > bound {
		t.Errorf("caught up after %v, %v, %v", many.duration, large.duration, manyKeys.duration)
	}
}
