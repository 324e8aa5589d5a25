package router

import (
	"context"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Spans of leaving (start values).
const (
	// minDrainTime is how long a leaving node waits for requests at the least: clients come until its readiness has been asked
	// twice.
	minDrainTime = 3 * time.Second
	// openWindow is how long a leaving node goes by how long requests of a kind have lasted here, not by how long they may last, and at
	// most openShare of the time there is. Clients that ask for readiness once a second and go by two answers know of the warning
	// after 1 to 2 s, and what is sent later than 2 s behind it must not be cut; the warning may have been under way for a while.
	openWindow        = 1600 * time.Millisecond
	openWindowDivisor = 3
	// observationFactor is for how many times the time that is left requests of a kind must have been watched, and lastsShare how many times
	// as long as the longest of them the next one may last.
	observationFactor = 2
	durationMargin    = 2
	// finalAnswerMargin is how long before the end of its grace a leaving node answers whatever still waits: a request that nobody has
	// begun to work on must not end with a cut (design 11).
	finalAnswerMargin = 400 * time.Millisecond
	// idlePeriod is how long nothing must have been under way before a node ends.
	idlePeriod = 300 * time.Millisecond
	// drainPollInterval is how often a leaving node looks whether something is under way.
	drainPollInterval = 20 * time.Millisecond
)

// drainWindow is the way of a node from its warning (SIGTERM) to its end, which is known from the start: whatever is under
// way at the end is cut. So nothing is begun that might not be over by then.
type drainWindow struct {
	startedAt units.Time
	deadline  units.Time
}

func newDrainWindow(now units.Time, grace time.Duration) *drainWindow {
	return &drainWindow{startedAt: now, deadline: now.Add(grace)}
}

// isOpen says whether requests are still taken by how long they usually last: clients can't know yet that the node leaves.
func (d *drainWindow) isOpen(now units.Time) bool {
	return now.Sub(d.startedAt) < min(openWindow, d.deadline.Sub(d.startedAt)/openWindowDivisor)
}

// nearDeadline says whether the end is so near that what still waits gets its final answer.
func (d *drainWindow) nearDeadline(now units.Time) bool {
	return now > d.deadline.Add(-finalAnswerMargin)
}

// admits says whether a request may be begun that is over at until at the latest, given what was seen of requests like it. That none of
// them outlasts the time that is left can't be known before they have been watched for longer than that.
func (d *drainWindow) admits(now, deadline units.Time, observed requestDurations) bool {
	if d.isOpen(now) && observed.observedFor >= observationFactor*d.deadline.Sub(now) {
		deadline = min(deadline, now.Add(durationMargin*observed.longest))
	}
	return deadline <= d.deadline.Add(-finalAnswerMargin)
}

// draining says whether this node has been warned.
func (v *Router) draining() bool { return v.drainWindow.Load() != nil }

// nearDrainDeadline says whether what has no answer yet gets its final one.
func (v *Router) nearDrainDeadline() bool {
	d := v.drainWindow.Load()
	return d != nil && d.nearDeadline(v.Tasks.Now())
}

// mayStart says whether a request of a mapping that is over at until at the latest may be begun here.
func (v *Router) mayStart(now, deadline units.Time, mapping *config.Mapping) bool {
	d := v.drainWindow.Load()
	return d == nil || !v.closing.Load() && d.admits(now, deadline, v.mappingStats.durations(now, mapping))
}

// Drain gives this node's duties away and lets what is under way end within the grace.
func (v *Router) Drain() {
	now := v.Tasks.Now()
	d := newDrainWindow(now, time.Duration(v.Boot.DrainMs)*time.Millisecond)
	v.drainWindow.Store(d)
	v.Flag(membership.Draining, true)
	v.Flag(membership.Ready, false)
	v.awaitIdle(d)
	v.Close()
}

// awaitIdle returns once nothing is under way and nothing more is taken, or when the grace is over.
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
		v.closing.Store(true) // before the last look: a request that came in between either saw it or is seen
		if v.inFlight.Load() == 0 {
			return
		}
	}
	v.closing.Store(true)
}

// Close ends the door and the wires at once.
func (v *Router) Close() {
	v.StopServing()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_ = v.server.ShutdownWithContext(ctx)
	if v.readinessServer != nil {
		_ = v.readinessServer.ShutdownWithContext(ctx)
	}
	v.Goodbye()
}
