package tasks

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/units"
)

// Loop calls a function at varying intervals: each call returns the delay until the next one, and By brings the next
// call forward.
type Loop struct {
	group  *Group
	mu     sync.Mutex
	timer  clockwork.Timer
	nextAt units.Time // when the next call is due
}

const never = units.Time(1<<63 - 1)

// Start calls f until the group stops, first after delay. Each wait ends at a multiple of its length on the group's
// clock, so that loops with equal delays share one wake-up of the process.
func (l *Loop) Start(group *Group, delay time.Duration, f func(units.Time) time.Duration) {
	l.mu.Lock()
	l.group, l.timer, l.nextAt = group, group.clock.NewTimer(delay), group.Now().Add(delay)
	l.mu.Unlock()
	group.Go(func() {
		defer l.timer.Stop()
		for {
			select {
			case <-group.stop:
				return
			case <-l.timer.Chan():
				l.mu.Lock()
				l.nextAt = never
				l.mu.Unlock()
				if d := f(group.Now()); d > 0 {
					l.By(d - time.Duration(group.Now())%d)
				}
			}
		}
	})
}

// By makes the next call happen within d. Before Start it does nothing.
func (l *Loop) By(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group == nil {
		return
	}
	if at := l.group.Now().Add(d); at < l.nextAt {
		l.nextAt = at
		l.timer.Reset(d)
	}
}
