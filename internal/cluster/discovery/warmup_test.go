package discovery

import (
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Lists that name services and say how much longer a worker is cold: it warms anew, under a higher life, when that rises
// again or its service is another; that it falls as time goes by is no news.
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
		a := c.NewQuery(now, "*", 1, version)
		data, changed := c.RecordAnswer(a, []config.Worker{w})
		if changed {
			if _, err := c.Apply(now+10*ms, Key("*", 1), a.Version, data); err != nil {
				t.Fatal(err)
			}
		}
		return changed
	}
	warming := func(d time.Duration) config.Worker {
		return config.Worker{Service: "s", Slots: 4, Cold: d}
	}
	for i, x := range []struct {
		at   units.Time
		w    config.Worker
		news bool
		life uint64
	}{
		{0, warming(3 * time.Second), true, 1},
		{1000 * ms, warming(2 * time.Second), false, 1},
		{2000 * ms, warming(1300 * time.Millisecond), false, 1}, // lists trail unevenly
		{4000 * ms, warming(0), false, 1},
		{60000 * ms, warming(0), false, 1},
		{61000 * ms, warming(2500 * time.Millisecond), true, 8 - 2},
		{62000 * ms, warming(1500 * time.Millisecond), false, 6},
		{62500 * ms, warming(2400 * time.Millisecond), true, 8},
		{70000 * ms, config.Worker{Service: "r", Slots: 4}, true, 9},
		{71000 * ms, config.Worker{Service: "r", Slots: 5}, true, 9},
		{72000 * ms, config.Worker{Service: "r", Slots: 5, Leaving: true}, true, 9},
		{73000 * ms, config.Worker{Service: "r", Slots: 5, Leaving: true}, false, 9},
	} {
		changed := observe(x.at, x.w)
		w := c.List("*")[0]
		if changed != x.news || w.Life != x.life {
			t.Errorf("look %d: news %v, life %d; %v and %d wanted", i, changed, w.Life, x.news, x.life)
		}
		if w.Service != x.w.Service || w.Slots != x.w.Slots {
			t.Errorf("look %d: listed as %+v", i, w)
		}
	}
}

// A poller that sleeps till the next question can be due asks no more than its share allows, hardly less, and wakes no
// more often than once a gap beside its questions.
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
			t.Errorf("share %.2f: asked %d times in 100 s, %.0f allowed; woke %d times", share, asked, want, woke)
		}
	}
}
