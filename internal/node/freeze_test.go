package node

import (
	"testing"
	"time"

	"seamshunt/internal/units"
)

const second = time.Second

// What is read from a socket came after this moment or, in a freeze and until its sockets are empty, after the freeze's beginning.
func TestArrivedAfterAFreeze(t *testing.T) {
	at := func(d time.Duration) units.Time { return units.Time(time.Hour).Add(d) }
	f := &freezes{}
	f.start(at(0), 4*second)
	expect := func(now, want time.Duration) {
		t.Helper()
		if got := f.arrivedAfter(at(now)); got != at(want) {
			t.Errorf("read at %v: it came after %v, want %v", now, got.Sub(at(0)), want)
		}
	}
	beat := func(now, want time.Duration) {
		t.Helper()
		if stood := f.beat(at(now)); stood != want {
			t.Errorf("the beat at %v finds that it stood for %v, want %v", now, stood, want)
		}
	}
	stood := func(since, now time.Duration, want bool) {
		t.Helper()
		if got := f.stoodStill(at(since), at(now)); got != want {
			t.Errorf("it stood still between %v and %v: %v", since, now, got)
		}
	}
	stood(0, second, false)
	stood(0, 2*second, true) // the beat is yet to come
	expect(second/2, second/2)
	expect(second, second)
	expect(3*second, 0) // it woke, and the beat is yet to come
	beat(3*second, 3*second)
	expect(3*second, 0)
	stood(2*second, 3*second, true)
	stood(3*second, 3*second, false)
	beat(4*second, 0)
	expect(5*second, 0)
	expect(5100*time.Millisecond, 0) // a second freeze begins before the first one's sockets are empty
	beat(7*second, 3*second)
	expect(8*second, 0)
	for now := 8 * second; now <= 11*second; now += second {
		beat(now, 0)
	}
	expect(11*second, 11*second)
	beat(12*second, 0)
	expect(15*second, 12*second) // a third one, later
	beat(15*second, 3*second)
	expect(16*second, 12*second)
}
