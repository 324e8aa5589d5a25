package tasks

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/units"
)

// Loop is a loop that runs as often as its work needs: each call says how long the next may wait, and whoever has
// something for it brings the next call forward.
type Loop struct {
	c  *Group
	mu sync.Mutex
	t  clockwork.Timer
	at units.Time // when the next call is due
}

const never = units.Time(1<<63 - 1)

// Start runs f until the group stops, first after a gap. Waits end at multiples of their own length on the group's clock,
// so that loops that wait equally long wake the process once for all of them.
func (p *Loop) Start(c *Group, gap time.Duration, f func(units.Time) time.Duration) {
	p.mu.Lock()
	p.c, p.t, p.at = c, c.clock.NewTimer(gap), c.Now().Add(gap)
	p.mu.Unlock()
	c.Go(func() {
		defer p.t.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-p.t.Chan():
				p.mu.Lock()
				p.at = never
				p.mu.Unlock()
				if d := f(c.Now()); d > 0 {
					p.By(d - time.Duration(c.Now())%d)
				}
			}
		}
	})
}

// By has the next call come within d. Before the start it does nothing.
func (p *Loop) By(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c == nil {
		return
	}
	if at := p.c.Now().Add(d); at < p.at {
		p.at = at
		p.t.Reset(d)
	}
}
