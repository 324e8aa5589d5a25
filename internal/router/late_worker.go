package router

import (
	"errors"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// errLate says that a worker took a prompt and has said nothing for longer than the service ever takes.
var errLate = errors.New("router: no first words in more than twice the usual time")

// again takes a further try from the budget, unless it was taken already.
func (w *ownRequest) again(service string, now units.Time) bool {
	if w.paid {
		w.paid = false
		return true
	}
	if !w.v.budgetOf(service).AllowRetry(now, 0) {
		return false
	}
	w.v.tallies.count(w.m, func(t *tally) { t.again++ })
	return true
}

// first waits for the first thing that a try has to tell. A worker that is later than the service's habit is passed
// over; what may repeat then leaves it, if the budget and the time left allow another (design 8).
func (w *ownRequest) first(t *upstream.Attempt, s *config.Service, name string) upstream.Event {
	v := w.v
	habit, known := v.habitOf(s.Name).OverdueAfter()
	noted := !known
	tick := time.NewTicker(lateEach)
	defer tick.Stop()
	for {
		select {
		case e := <-t.Events:
			return e
		case <-w.client.Done():
			if t.Abandon() {
				return upstream.Event{Outcome: upstream.NotSent, Err: w.client.Cause()}
			}
			return upstream.Event{Outcome: upstream.Unknown, Err: w.client.Cause()}
		case <-tick.C:
		}
		now := v.Tasks.Now()
		if now > w.until {
			t.Cancel()
			return upstream.Event{Outcome: upstream.Unknown, Err: errors.New("router: out of time")}
		}
		if !known || now.Sub(w.handed) < habit {
			continue
		}
		if !noted {
			noted = true
			v.markDown(name)
		}
		if !w.m.Once && w.more(1) && w.until.Sub(now) > 2*s.FirstTokenTime && !w.paid && w.again(s.Name, now) {
			w.paid = true
			t.Cancel()
			return upstream.Event{Outcome: upstream.Unknown, Err: errLate}
		}
	}
}

// outage is a worker that this node passes over, for longer each time until it answers again.
type outage struct {
	until units.Time
	span  time.Duration
}

const (
	downLeast = time.Second
	downMost  = 16 * time.Second
)

func (v *Router) markDown(name string) {
	v.tableMu.Lock()
	defer v.tableMu.Unlock()
	now := v.Tasks.Now()
	b := v.table.down[name]
	if now < b.until {
		return
	}
	b.span = min(max(2*b.span, downLeast), downMost)
	b.until = now.Add(b.span)
	v.table.down[name] = b
}

// markUp forgets what was held against a worker that answers.
func (v *Router) markUp(name string) {
	v.tableMu.Lock()
	delete(v.table.down, name)
	v.tableMu.Unlock()
}
