package router

import (
	"context"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Durations and factors of a drain.
const (
	// minDrainTime is the minimum time for which a draining node waits for requests: clients keep sending until they have
	// probed its readiness twice.
	minDrainTime = 3 * time.Second
	// openWindow is how long a draining node admits requests by how long requests of the mapping have lasted so far,
	// rather than by how long they may last. It is limited to 1/openWindowDivisor of the grace period. Clients that probe
	// readiness once a second and act on two answers know of the drain 1 to 2 s after SIGTERM, and a request sent more
	// than 2 s after it must not be aborted. The signal may have taken a while to arrive, so the window is
	// shorter than that.
	openWindow        = 1600 * time.Millisecond
	openWindowDivisor = 3
	// observationFactor: requests of a mapping must have been observed for this many times the remaining grace period before
	// their durations count. durationMargin: the next request is assumed to last up to this many times the longest of them.
	observationFactor = 2
	durationMargin    = 2
	// finalAnswerMargin is how long before the end of the grace period a draining node answers all requests that still wait:
	// a request that no worker has begun must not end with a closed connection (docs/design.md, section 11).
	finalAnswerMargin = 400 * time.Millisecond
	// idlePeriod is how long no request must have been in flight before a draining node closes.
	idlePeriod = 300 * time.Millisecond
	// drainPollInterval is how often a draining node checks whether requests are in flight.
	drainPollInterval = 20 * time.Millisecond
)

// drainWindow is the grace period of a node from SIGTERM to its end, which is known from the start. Whatever is in flight at
// the end is aborted, so no request is started that might not finish by then.
type drainWindow struct {
	startedAt units.Time
	deadline  units.Time
}

func newDrainWindow(now units.Time, grace time.Duration) *drainWindow {
	return &drainWindow{startedAt: now, deadline: now.Add(grace)}
}

// isOpen reports whether requests are still admitted by how long they usually last, since clients can't know yet that the
// node is draining.
func (d *drainWindow) isOpen(now units.Time) bool {
	return now.Sub(d.startedAt) < min(openWindow, d.deadline.Sub(d.startedAt)/openWindowDivisor)
}

// nearDeadline reports whether the end is so close that requests that still wait get their final answer.
func (d *drainWindow) nearDeadline(now units.Time) bool {
	return now > d.deadline.Add(-finalAnswerMargin)
}

// admits reports whether a request that ends by deadline may be started, given the observed durations of its mapping. The
// observations count only if they span more than the remaining time: a shorter span can't show that no request outlasts it.
func (d *drainWindow) admits(now, deadline units.Time, observed requestDurations) bool {
	if d.isOpen(now) && observed.observedFor >= observationFactor*d.deadline.Sub(now) {
		deadline = min(deadline, now.Add(durationMargin*observed.longest))
	}
	return deadline <= d.deadline.Add(-finalAnswerMargin)
}

// draining reports whether this node is draining.
func (v *Router) draining() bool { return v.drainWindow.Load() != nil }

// nearDrainDeadline reports whether requests without an answer get their final one now.
func (v *Router) nearDrainDeadline() bool {
	d := v.drainWindow.Load()
	return d != nil && d.nearDeadline(v.Tasks.Now())
}

// mayStart reports whether a request of a mapping that ends by deadline may be started here.
func (v *Router) mayStart(now, deadline units.Time, mapping *config.Mapping) bool {
	d := v.drainWindow.Load()
	return d == nil || !v.closing.Load() && d.admits(now, deadline, v.mappingStats.durations(now, mapping))
}

// Drain hands this node's duties to others and lets requests in flight finish within the grace period.
func (v *Router) Drain() {
	now := v.Tasks.Now()
	d := newDrainWindow(now, time.Duration(v.Settings.DrainMs)*time.Millisecond)
	v.drainWindow.Store(d)
	v.SetFlag(membership.Draining, true)
	v.SetFlag(membership.Ready, false)
	v.awaitIdle(d)
	v.Close()
}

// awaitIdle returns once no request is in flight and none is accepted, or when the grace period is over.
func (v *Router) awaitIdle(d *drainWindow) {
	earliest := d.startedAt
	if v.Adapter != nil {
		earliest = earliest.Add(minDrainTime)
	}
	for idleSince := d.startedAt; v.Tasks.Now() < d.deadline; v.Tasks.Sleep(drainPollInterval) {
		now := v.Tasks.Now()
		if v.inFlight.Load() > 0 {
			idleSince = now
		}
		if now <= earliest || now.Sub(idleSince) <= idlePeriod {
			continue
		}
		v.closing.Store(true) // before the last check: a concurrent request either sees closing or is counted in flight
		if v.inFlight.Load() == 0 {
			return
		}
	}
	v.closing.Store(true)
}

// Close stops the servers and closes all connections at once.
func (v *Router) Close() {
	v.StopServing()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_ = v.server.ShutdownWithContext(ctx)
	if v.readinessServer != nil {
		_ = v.readinessServer.ShutdownWithContext(ctx)
	}
	v.Leave()
}
