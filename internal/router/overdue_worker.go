package router

import (
	"errors"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// errOverdue says that a worker took a prompt and has said nothing for longer than the service ever takes.
var errOverdue = errors.New("router: no first words in more than twice the usual time")

// takeRetry takes a further try from the budget, unless it was taken already.
func (w *nativeRequest) takeRetry(service string, now units.Time) bool {
	if w.retryReserved {
		w.retryReserved = false
		return true
	}
	if !w.router.retryBudgetOf(service).Again(now, 0) {
		return false
	}
	w.router.mappingStats.update(w.mapping, func(t *mappingStats) { t.retries++ })
	return true
}

// awaitFirstEvent waits for the first thing that a try has to tell. A worker that is later than the service's habit is passed
// over; what may repeat then leaves it, if the budget and the time left allow another (design 8).
func (w *nativeRequest) awaitFirstEvent(attempt *upstream.Try, service *config.Service, worker string) upstream.Event {
	v := w.router
	overdueAfter, known := v.firstOutputLatencyOf(service.Name).Late()
	marked := !known
	tick := time.NewTicker(overdueCheckInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-attempt.Events:
			return e
		case <-w.client.Done():
			if attempt.Abandon() {
				return upstream.Event{Kind: upstream.NotSent, Err: w.client.Cause()}
			}
			return upstream.Event{Kind: upstream.Unknown, Err: w.client.Cause()}
		case <-tick.C:
		}
		now := v.Tasks.Now()
		if now > w.deadline {
			attempt.Cancel()
			return upstream.Event{Kind: upstream.Unknown, Err: errors.New("router: out of time")}
		}
		if !known || now.Sub(w.dispatchedAt) < overdueAfter {
			continue
		}
		if !marked {
			marked = true
			v.markDown(worker)
		}
		if !w.mapping.Once && w.attemptsLeft(1) && w.deadline.Sub(now) > 2*service.First && !w.retryReserved && w.takeRetry(service.Name, now) {
			w.retryReserved = true
			attempt.Cancel()
			return upstream.Event{Kind: upstream.Unknown, Err: errOverdue}
		}
	}
}

// outage is a worker that this node passes over, for longer each time until it answers again.
type outage struct {
	until    units.Time
	duration time.Duration
}

const (
	minOutage = time.Second
	maxOutage = 16 * time.Second
)

func (v *Router) markDown(name string) {
	v.viewMu.Lock()
	defer v.viewMu.Unlock()
	now := v.Tasks.Now()
	outage := v.view.outages[name]
	if now < outage.until {
		return
	}
	outage.duration = min(max(2*outage.duration, minOutage), maxOutage)
	outage.until = now.Add(outage.duration)
	v.view.outages[name] = outage
}

// markUp forgets what was held against a worker that answers.
func (v *Router) markUp(name string) {
	v.viewMu.Lock()
	delete(v.view.outages, name)
	v.viewMu.Unlock()
}
