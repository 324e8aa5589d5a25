package tasks

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/units"
)

// A paced loop waits as long as its work said, to a multiple of it, and comes earlier for who has something for it.
func TestPaced(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock, 0)
	defer c.Stop(0)
	calls := make(chan units.Time)
	gaps := make(chan time.Duration)
	var p Loop
	p.By(time.Millisecond) // nothing yet
	p.Start(c, 20*time.Millisecond, func(now units.Time) time.Duration {
		calls <- now
		return <-gaps
	})
	step := func(d, want, gap time.Duration) {
		t.Helper()
		clock.Advance(d)
		if now := <-calls; time.Duration(now) != want {
			t.Fatalf("called at %v, not at %v", time.Duration(now), want)
		}
		gaps <- gap
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
	}
	const ms = time.Millisecond
	step(20*ms, 20*ms, 100*ms)
	clock.Advance(79 * ms)
	step(ms, 100*ms, 100*ms) // a multiple of its own wait
	clock.Advance(10 * ms)
	p.By(500 * ms) // it comes earlier by itself
	p.By(20 * ms)
	p.By(60 * ms)
	step(20*ms, 130*ms, 20*ms)
	step(10*ms, 140*ms, 20*ms)
}

// What is brought forward while the work runs is not lost behind the wait that the work then asks for.
func TestPacedWhileRunning(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock, 0)
	defer c.Stop(0)
	calls := make(chan units.Time)
	gaps := make(chan time.Duration)
	var p Loop
	p.Start(c, time.Second, func(now units.Time) time.Duration {
		calls <- now
		return <-gaps
	})
	clock.Advance(time.Second)
	<-calls
	p.By(20 * time.Millisecond)
	gaps <- time.Second
	clock.Advance(20 * time.Millisecond)
	if now := <-calls; now != units.Time(1020*time.Millisecond) {
		t.Errorf("called at %v", time.Duration(now))
	}
	gaps <- time.Second
}
