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

// controlBytes is what went between zones, in frames, for the control state.
type controlBytes struct{ register, compare, push int }

func (w *World) controlBytes() controlBytes {
	return controlBytes{w.InterZoneBytes[message.KindRegister], w.InterZoneBytes[message.KindAntiEntropy], w.InterZoneBytes[message.KindConfigPush]}
}

func (b controlBytes) less(o controlBytes) controlBytes {
	return controlBytes{b.register - o.register, b.compare - o.compare, b.push - o.push}
}

// during gives what goes between zones in a span.
func (w *World) during(span time.Duration) controlBytes {
	before := w.controlBytes()
	w.Run(w.Now.Add(span))
	return w.controlBytes().less(before)
}

// store has a key changed, and waits for the acknowledgement.
func (w *World) store(t *testing.T, key, data string) {
	t.Helper()
	for range 5 {
		var code resultcode.Code
		w.change(key, data, func(o *Op) { code = o.Code })
		if w.until(6*time.Second, func() bool { return code != 0 }); code == resultcode.OK {
			return
		}
	}
	t.Fatalf("%s: %s is not acknowledged", w.Name, key)
}

// A missed is what changed while a member was down.
type missed struct{ changes, configBytes, keys int }

// A catchUpCost is what the member's return cost above the same span at rest.
type catchUpCost struct {
	controlBytes
	took         time.Duration
	restBefore   int // bytes of comparisons in 30 s of rest, before the changes
	restAfter    int // and after all
	recordsAfter int // on the member's disk
}

func measureCatchUp(t *testing.T, seed uint64, m missed) (c catchUpCost) {
	t.Helper()
	w := newCatchUpRun(seed, 3, 0).World
	config := strings.Repeat("x", m.configBytes)
	for k := range m.keys {
		w.store(t, fmt.Sprintf("zone/%d", k), "before")
	}
	w.store(t, "config", config)
	w.Run(w.Now.Add(5 * time.Second))
	c.restBefore = w.during(30 * time.Second).compare
	lost := w.coreH[int(seed)%3]
	w.Kill(lost)
	w.RefuseConnections(lost)
	w.Run(w.Now.Add(time.Second))
	for k := range m.keys {
		w.store(t, fmt.Sprintf("zone/%d", k), strings.Repeat("y", 200))
	}
	for n := range m.changes {
		w.store(t, "config", fmt.Sprint(n, config))
	}
	w.Run(w.Now.Add(5 * time.Second))
	before := w.controlBytes()
	w.Start(lost)
	took, ok := w.until(20*time.Second, func() bool { return w.filled(int(seed) % 3) })
	if c.took = took; !ok || took > catchUpBound {
		t.Errorf("seed %d, %+v: caught up after %v", seed, m, took)
	}
	const settle = 5 * time.Second
	w.Run(w.Now.Add(settle - took))
	c.controlBytes = w.controlBytes().less(before)
	w.Run(w.Now.Add(5 * time.Second))
	c.controlBytes = c.controlBytes.less(w.during(settle))
	c.restAfter = w.during(30 * time.Second).compare
	c.recordsAfter = controlRecords(lost.Disk)
	return c
}

// What a catch-up costs hangs on what is stored, not on how many changes led there (docs/CAPACITY.md has the figures).
func TestCatchUpCost(t *testing.T) {
	t.Parallel()
	mean := func(m missed) (c catchUpCost) {
		const seeds = 2
		for seed := range uint64(seeds) {
			x := measureCatchUp(t, *from+seed, m)
			c.register, c.compare, c.push = c.register+x.register/seeds, c.compare+x.compare/seeds, c.push+x.push/seeds
			c.took = max(c.took, x.took)
			c.restBefore, c.restAfter, c.recordsAfter = c.restBefore+x.restBefore/seeds, c.restAfter+x.restAfter/seeds, max(c.recordsAfter, x.recordsAfter)
		}
		t.Logf("%5d changes of %6d B, %3d zones: %7d B of writes, %5d B of comparisons, %7d B of news; at most %v; rest %d -> %d B in 30 s; %d records",
			m.changes, m.configBytes, m.keys, c.register, c.compare, c.push, c.took, c.restBefore, c.restAfter, c.recordsAfter)
		return c
	}
	few, many := mean(missed{10, 2000, 4}), mean(missed{1000, 2000, 4})
	if most := few.register + 100*990; many.register > most {
		t.Errorf("1,000 missed changes cost %d B of writes, 10 cost %d: over 100 B for each", many.register, few.register)
	}
	if many.recordsAfter != few.recordsAfter {
		t.Errorf("%d records after 1,000 changes, %d after 10", many.recordsAfter, few.recordsAfter)
	}
	for _, c := range []catchUpCost{few, many} {
		if c.restAfter > c.restBefore+c.restBefore/10 {
			t.Errorf("comparisons at rest rose from %d to %d B", c.restBefore, c.restAfter)
		}
	}
	small, large := mean(missed{2, 20000, 4}), mean(missed{2, 577000, 4})
	if each := float64(large.register-small.register) / 557000; each > 16 {
		t.Errorf("%.1f B of writes for each byte of the configuration", each)
	}
	one, lot := mean(missed{2, 2000, 16}), mean(missed{2, 2000, 256})
	if each := (lot.register + lot.compare - one.register - one.compare) / 240; each > 8000 {
		t.Errorf("%d B for each key of 200 B", each)
	}
	if bound := units.Time(time.Second); units.Time(many.took) > bound || units.Time(large.took) > bound || units.Time(lot.took) > bound {
		t.Errorf("caught up after %v, %v, %v", many.took, large.took, lot.took)
	}
}
