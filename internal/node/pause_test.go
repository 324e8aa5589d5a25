package node

import (
	"testing"
	"time"

	"seamshunt/internal/units"
)

const second = time.Second

// TestEarliestArrivalAfterAPause checks that the earliest arrival time is the present or, from the start of a pause until
// the backlog time after it is over, the start of the pause.
func TestEarliestArrivalAfterAPause(t *testing.T) {
	at := func(d time.Duration) units.Time { return units.Time(time.Hour).Add(d) }
	detector := &pauseDetector{}
	detector.start(at(0), 4*second)
	expect := func(now, want time.Duration) {
		t.Helper()
		if got := detector.earliestArrival(at(now)); got != at(want) {
			t.Errorf("read at %v: earliest arrival %v, want %v", now, got.Sub(at(0)), want)
		}
	}
	tick := func(now, want time.Duration) {
		t.Helper()
		if paused := detector.tick(at(now)); paused != want {
			t.Errorf("the tick at %v reports a pause of %v, want %v", now, paused, want)
		}
	}
	paused := func(since, now time.Duration, want bool) {
		t.Helper()
		if got := detector.wasPausedSince(at(since), at(now)); got != want {
			t.Errorf("paused between %v and %v: %v", since, now, got)
		}
	}
	paused(0, second, false)
	paused(0, 2*second, true) // before the tick that detects the pause
	expect(second/2, second/2)
	expect(second, second)
	expect(3*second, 0) // resumed, before the tick that detects the pause
	tick(3*second, 3*second)
	expect(3*second, 0)
	paused(2*second, 3*second, true)
	paused(3*second, 3*second, false)
	tick(4*second, 0)
	expect(5*second, 0)
	expect(5100*time.Millisecond, 0) // a second pause begins within the backlog time of the first
	tick(7*second, 3*second)
	expect(8*second, 0)
	for now := 8 * second; now <= 11*second; now += second {
		tick(now, 0)
	}
	expect(11*second, 11*second)
	tick(12*second, 0)
	expect(15*second, 12*second) // a third pause, later
	tick(15*second, 3*second)
	expect(16*second, 12*second)
}
