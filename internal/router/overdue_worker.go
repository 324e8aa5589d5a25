package router

import (
	"errors"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// errOverdue reports that a worker accepted a prompt and has sent no output for longer than the service ever takes.
var errOverdue = errors.New("router: no output in more than twice the usual time")

// takeRetry takes a retry from the retry budget, unless one is reserved already. It reports whether there is one.
func (w *nativeRequest) takeRetry(service string, now units.Time) bool {
	if w.retryReserved {
		w.retryReserved = false
		return true
	}
	if !w.router.retryBudgetOf(service).AllowRetry(now, 0) {
		return false
	}
	w.router.mappingStats.update(w.mapping, func(stats *mappingStats) { stats.retries++ })
	return true
}

// awaitFirstEvent waits for the first event of an attempt. A worker that takes longer than is usual for the service is
// marked down. A repeatable request is then cancelled there, if the retry budget and the time left allow another attempt
// (docs/design.md, section 8).
func (w *nativeRequest) awaitFirstEvent(attempt *upstream.Attempt, service *config.Service, worker string) upstream.Event {
	v := w.router
	overdueAfter, known := v.firstTokenLatencyOf(service.Name).OverdueAfter()
	marked := !known
	tick := time.NewTicker(overdueCheckInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-attempt.Events:
			return e
		case <-w.client.Done():
			if attempt.Abandon() {
				return upstream.Event{Outcome: upstream.NotSent, Err: w.client.Cause()}
			}
			return upstream.Event{Outcome: upstream.Unknown, Err: w.client.Cause()}
		case <-tick.C:
		}
		now := v.Tasks.Now()
		if now > w.deadline {
			attempt.Cancel()
			return upstream.Event{Outcome: upstream.Unknown, Err: errors.New("router: deadline exceeded")}
		}
		if !known || now.Sub(w.dispatchedAt) < overdueAfter {
			continue
		}
		if !marked {
			marked = true
			v.markDown(worker)
		}
		if !w.mapping.Once && w.attemptsLeft(1) && w.deadline.Sub(now) > 2*service.FirstTokenTime &&
			!w.retryReserved && w.takeRetry(service.Name, now) {
			w.retryReserved = true
			attempt.Cancel()
			return upstream.Event{Outcome: upstream.Unknown, Err: errOverdue}
		}
	}
}

// outage is a period during which this node avoids a worker. It doubles each time until the worker answers again.
type outage struct {
	until    units.Time
	duration time.Duration
}

const (
	minOutage = time.Second
	maxOutage = 16 * time.Second
)

// markDown starts an outage of a worker, unless one is in force.
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

// markUp ends the outage of a worker that has answered.
func (v *Router) markUp(name string) {
	v.viewMu.Lock()
	delete(v.view.outages, name)
	v.viewMu.Unlock()
}
