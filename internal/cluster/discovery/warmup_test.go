package discovery

import (
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Lists that name services contain each worker's remaining warm-up time. If that rises or the service changes, the worker
// warms up again under a higher generation. That it falls as time passes is no change.
func TestWorkerWarmsUpAgain(t *testing.T) {
	const ms = units.Time(time.Millisecond)
	c := New()
	now := units.Time(0)
	version := int64(0)
	observe := func(at units.Time, w config.Worker) bool {
		t.Helper()
		now = at
		version++
		w.ID, w.Addr, w.Age = "w", "a", time.Hour
		q := c.NewQuery(now, "*", 1, version)
		data, changed := c.RecordAnswer(q, []config.Worker{w})
		if changed {
			if _, err := c.Apply(now+10*ms, Key("*", 1), q.Version, data); err != nil {
				t.Fatal(err)
			}
		}
		return changed
	}
	warming := func(d time.Duration) config.Worker {
		return config.Worker{Service: "s", Slots: 4, WarmingUpFor: d}
	}
	for i, x := range []struct {
		at         units.Time
		w          config.Worker
		changed    bool
		generation uint64
	}{
		{0, warming(3 * time.Second), true, 1},
		{1000 * ms, warming(2 * time.Second), false, 1},
		{2000 * ms, warming(1300 * time.Millisecond), false, 1}, // lists lag by varying amounts
		{4000 * ms, warming(0), false, 1},
		{60000 * ms, warming(0), false, 1},
		{61000 * ms, warming(2500 * time.Millisecond), true, 8 - 2},
		{62000 * ms, warming(1500 * time.Millisecond), false, 6},
		{62500 * ms, warming(2400 * time.Millisecond), true, 8},
		{70000 * ms, config.Worker{Service: "r", Slots: 4}, true, 9},
		{71000 * ms, config.Worker{Service: "r", Slots: 5}, true, 9},
		{72000 * ms, config.Worker{Service: "r", Slots: 5, Draining: true}, true, 9},
		{73000 * ms, config.Worker{Service: "r", Slots: 5, Draining: true}, false, 9},
	} {
		changed := observe(x.at, x.w)
		w := c.List("*")[0]
		if changed != x.changed || w.Incarnation != x.generation {
			t.Errorf("list %d: changed %v, generation %d; want %v and %d", i, changed, w.Incarnation, x.changed, x.generation)
		}
		if w.Service != x.w.Service || w.Slots != x.w.Slots {
			t.Errorf("list %d: listed as %+v", i, w)
		}
	}
}

// A poller that sleeps as long as Next says sends no more queries than its share allows and hardly fewer. Apart from its
// queries it wakes up at most once per interval.
func TestScheduleWakeups(t *testing.T) {
	const interval = 500 * time.Millisecond
	for _, share := range []float64{1, 0.5, 1.0 / 3, 0} {
		schedule := Schedule{}
		now := units.Time(interval)
		asked, woke := 0, 0
		for now < units.Time(100*time.Second) {
			woke++
			if schedule.Due(now, share, interval) {
				asked++
			}
			now = now.Add(schedule.Next(now, share, interval))
		}
		want := share * float64(100*time.Second/interval)
		if float64(asked) > want+1 || float64(asked) < want*0.97-2 || woke > 2*int(100*time.Second/interval)+2 {
			t.Errorf("share %.2f: %d queries in 100 s, %.0f allowed; %d wake-ups", share, asked, want, woke)
		}
	}
}
