package discovery

import (
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Lists that name services and say how much longer a worker is cold: it warms anew, under a higher life, when that rises
// again or its service is another; that it falls as time goes by is no news.
func TestColdAgain(t *testing.T) {
	const ms = units.Time(time.Millisecond)
	n := New()
	now := units.Time(0)
	num := int64(0)
	see := func(at units.Time, w config.Worker) bool {
		t.Helper()
		now = at
		num++
		w.ID, w.Addr, w.Age = "w", "a", time.Hour
		a := n.NewQuery(now, "*", 1, num)
		data, news := n.RecordAnswer(a, []config.Worker{w})
		if news {
			if _, err := n.Apply(now+10*ms, Key("*", 1), a.Version, data); err != nil {
				t.Fatal(err)
			}
		}
		return news
	}
	cold := func(d time.Duration) config.Worker {
		return config.Worker{Service: "s", Slots: 4, WarmingUpFor: d}
	}
	for i, x := range []struct {
		at   units.Time
		w    config.Worker
		news bool
		life uint64
	}{
		{0, cold(3 * time.Second), true, 1},
		{1000 * ms, cold(2 * time.Second), false, 1},
		{2000 * ms, cold(1300 * time.Millisecond), false, 1}, // lists trail unevenly
		{4000 * ms, cold(0), false, 1},
		{60000 * ms, cold(0), false, 1},
		{61000 * ms, cold(2500 * time.Millisecond), true, 8 - 2},
		{62000 * ms, cold(1500 * time.Millisecond), false, 6},
		{62500 * ms, cold(2400 * time.Millisecond), true, 8},
		{70000 * ms, config.Worker{Service: "r", Slots: 4}, true, 9},
		{71000 * ms, config.Worker{Service: "r", Slots: 5}, true, 9},
		{72000 * ms, config.Worker{Service: "r", Slots: 5, Draining: true}, true, 9},
		{73000 * ms, config.Worker{Service: "r", Slots: 5, Draining: true}, false, 9},
	} {
		news := see(x.at, x.w)
		w := n.List("*")[0]
		if news != x.news || w.Incarnation != x.life {
			t.Errorf("look %d: news %v, life %d; %v and %d wanted", i, news, w.Incarnation, x.news, x.life)
		}
		if w.Service != x.w.Service || w.Slots != x.w.Slots {
			t.Errorf("look %d: listed as %+v", i, w)
		}
	}
}

// A poller that sleeps till the next question can be due asks no more than its share allows, hardly less, and wakes no
// more often than once a gap beside its questions.
func TestTurnSleeps(t *testing.T) {
	const gap = 500 * time.Millisecond
	for _, share := range []float64{1, 0.5, 1.0 / 3, 0} {
		turn := Schedule{}
		now := units.Time(gap)
		asked, woke := 0, 0
		for now < units.Time(100*time.Second) {
			woke++
			if turn.Due(now, share, gap) {
				asked++
			}
			now = now.Add(turn.Next(now, share, gap))
		}
		want := share * float64(100*time.Second/gap)
		if float64(asked) > want+1 || float64(asked) < want*0.97-2 || woke > 2*int(100*time.Second/gap)+2 {
			t.Errorf("share %.2f: asked %d times in 100 s, %.0f allowed; woke %d times", share, asked, want, woke)
		}
	}
}
