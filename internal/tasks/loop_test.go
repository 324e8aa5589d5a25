package tasks

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/units"
)

// A loop waits until a multiple of the delay that its function returned, and By brings the next call forward.
func TestLoopWaitsForMultiplesOfItsDelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	group := New(clock, 0)
	defer group.Stop(0)
	calls := make(chan units.Time)
	waits := make(chan time.Duration)
	var loop Loop
	loop.By(time.Millisecond) // no effect before Start
	loop.Start(group, 20*time.Millisecond, func(now units.Time) time.Duration {
		calls <- now
		return <-waits
	})
	step := func(d, want, gap time.Duration) {
		t.Helper()
		clock.Advance(d)
		if now := <-calls; time.Duration(now) != want {
			t.Fatalf("called at %v, want %v", time.Duration(now), want)
		}
		waits <- gap
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
	}
	const ms = time.Millisecond
	step(20*ms, 20*ms, 100*ms)
	clock.Advance(79 * ms)
	step(ms, 100*ms, 100*ms) // a multiple of its own delay
	clock.Advance(10 * ms)
	loop.By(500 * ms) // later than the call that is due anyway
	loop.By(20 * ms)
	loop.By(60 * ms)
	step(20*ms, 130*ms, 20*ms)
	step(10*ms, 140*ms, 20*ms)
}

// A call to By while the function runs is not overridden by the delay that the function then returns.
func TestLoopBroughtForwardWhileRunning(t *testing.T) {
	clock := clockwork.NewFakeClock()
	group := New(clock, 0)
	defer group.Stop(0)
	calls := make(chan units.Time)
	waits := make(chan time.Duration)
	var loop Loop
	loop.Start(group, time.Second, func(now units.Time) time.Duration {
		calls <- now
		return <-waits
	})
	clock.Advance(time.Second)
	<-calls
	loop.By(20 * time.Millisecond)
	waits <- time.Second
	clock.Advance(20 * time.Millisecond)
	if now := <-calls; now != units.Time(1020*time.Millisecond) {
		t.Errorf("called at %v", time.Duration(now))
	}
	waits <- time.Second
}
