package node

import (
	"sync/atomic"
	"time"

	"seamshunt/internal/units"
)

// pauseThreshold is the gap between two ticks above which the process counts as having been paused.
const pauseThreshold = time.Second

// pause is an interval during which the process was paused.
type pause struct{ startedAt, endedAt units.Time }

// pauseDetector detects pauses of the process. One goroutine calls tick; the other methods may be called from any goroutine.
type pauseDetector struct {
	backlogTime time.Duration // how long after a pause the sockets may still hold data from before its end
	lastTick    atomic.Int64
	latestPause atomic.Pointer[pause]
}

// start begins the detection.
func (d *pauseDetector) start(now units.Time, backlogTime time.Duration) {
	d.backlogTime = backlogTime
	d.lastTick.Store(int64(now))
}

// tick records that the process runs and returns for how long it was paused before, or 0.
func (d *pauseDetector) tick(now units.Time) (paused time.Duration) {
	last := units.Time(d.lastTick.Load())
	if gap := now.Sub(last); gap > pauseThreshold {
		d.latestPause.Store(&pause{startedAt: d.earliestArrival(last), endedAt: now})
		paused = gap
	}
	d.lastTick.Store(int64(now))
	return paused
}

// earliestArrival returns a lower bound for the arrival time of data that is read from a socket now. It is now or, while
// data that arrived during a pause may still be unread, the start of the pause.
func (d *pauseDetector) earliestArrival(now units.Time) units.Time {
	last := units.Time(d.lastTick.Load())
	if now.Sub(last) > pauseThreshold { // the next tick will detect a pause
		return d.earliestArrival(last)
	}
	if latest := d.latestPause.Load(); latest != nil && now.Sub(latest.endedAt) < d.backlogTime {
		return latest.startedAt
	}
	return now
}

// wasPausedSince reports whether the process was paused at any time after since.
func (d *pauseDetector) wasPausedSince(since, now units.Time) bool {
	if now.Sub(units.Time(d.lastTick.Load())) > pauseThreshold {
		return true
	}
	latest := d.latestPause.Load()
	return latest != nil && latest.endedAt > since
}

// WasPausedSince reports whether this process was paused at any time after since.
func (t *Base) WasPausedSince(since units.Time) bool {
	return t.pauses.wasPausedSince(since, t.Tasks.Now())
}

// EarliestArrival returns a lower bound for the arrival time of data that this process reads from a socket now.
func (t *Base) EarliestArrival(now units.Time) units.Time { return t.pauses.earliestArrival(now) }
