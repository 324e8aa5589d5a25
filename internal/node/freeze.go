package node

import (
	"sync/atomic"
	"time"

	"seamshunt/internal/units"
)

// freezeGap is how late a beat comes at the least if the process stood still.
const freezeGap = time.Second

// freeze is a span in which the process stood still.
type freeze struct{ began, ended units.Time }

// freezes notes when the process stood still. One goroutine beats; the rest may be called from any.
type freezes struct {
	settle time.Duration // how long after a freeze its sockets may still hold what came before
	last   atomic.Int64  // the last beat
	latest atomic.Pointer[freeze]
}

// start notes that the process runs from now on.
func (f *freezes) start(now units.Time, settle time.Duration) {
	f.settle = settle
	f.last.Store(int64(now))
}

// beat notes that the process runs, and gives how long it stood still before; 0 if it did not.
func (f *freezes) beat(now units.Time) (stood time.Duration) {
	last := units.Time(f.last.Load())
	if gap := now.Sub(last); gap > freezeGap {
		f.latest.Store(&freeze{began: f.arrivedAfter(last), ended: now})
		stood = gap
	}
	f.last.Store(int64(now))
	return stood
}

// arrivedAfter gives the latest time before which nothing came that is read from a socket now: now or, while what came before a
// freeze may still be unread, the freeze's beginning.
func (f *freezes) arrivedAfter(now units.Time) units.Time {
	last := units.Time(f.last.Load())
	if now.Sub(last) > freezeGap { // the next beat will find a freeze
		return f.arrivedAfter(last)
	}
	if latest := f.latest.Load(); latest != nil && now.Sub(latest.ended) < f.settle {
		return latest.began
	}
	return now
}

// stoodStill says whether the process stood still at any time since the one given.
func (f *freezes) stoodStill(since, now units.Time) bool {
	if now.Sub(units.Time(f.last.Load())) > freezeGap {
		return true
	}
	latest := f.latest.Load()
	return latest != nil && latest.ended > since
}

// WasPausedSince says whether this process stood still at any time since the one given.
func (t *Base) WasPausedSince(since units.Time) bool {
	return t.freezes.stoodStill(since, t.Tasks.Now())
}

// EarliestArrival gives the latest time of which this process is sure that what it reads from a socket now came later.
func (t *Base) EarliestArrival(now units.Time) units.Time { return t.freezes.arrivedAfter(now) }
