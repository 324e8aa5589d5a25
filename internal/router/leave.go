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
	// lingerFor is how long a leaving node waits for requests at the least: clients come until its readiness has been asked
	// twice.
	lingerFor = 3 * time.Second
	// openFor is how long a leaving node goes by how long requests of a kind have lasted here, not by how long they may last, and at
	// most openShare of the time there is. Clients that ask for readiness once a second and go by two answers know of the warning
	// after 1 to 2 s, and what is sent later than 2 s behind it must not be cut; the warning may have been under way for a while.
	openFor   = 1600 * time.Millisecond
	openShare = 3
	// watchShare is for how many times the time that is left requests of a kind must have been watched, and lastsShare how many times
	// as long as the longest of them the next one may last.
	watchShare = 2
	lastsShare = 2
	// endGap is how long before the end of its grace a leaving node answers whatever still waits: a request that nobody has
	// begun to work on must not end with a cut (design 11).
	endGap = 400 * time.Millisecond
	// quietFor is how long nothing must have been under way before a node ends.
	quietFor = 300 * time.Millisecond
	// leaveLookEach is how often a leaving node looks whether something is under way.
	leaveLookEach = 20 * time.Millisecond
)

// departure is the way of a node from its warning (SIGTERM) to its end, which is known from the start: whatever is under
// way at the end is cut. So nothing is begun that might not be over by then.
type departure struct {
	warned units.Time
	end    units.Time
}

func newDeparture(now units.Time, grace time.Duration) *departure {
	return &departure{warned: now, end: now.Add(grace)}
}

// open says whether requests are still taken by how long they usually last: clients can't know yet that the node leaves.
func (d *departure) open(now units.Time) bool {
	return now.Sub(d.warned) < min(openFor, d.end.Sub(d.warned)/openShare)
}

// ending says whether the end is so near that what still waits gets its final answer.
func (d *departure) ending(now units.Time) bool { return now > d.end.Add(-endGap) }

// takes says whether a request may be begun that is over at until at the latest, given what was seen of requests like it. That none of
// them outlasts the time that is left can't be known before they have been watched for longer than that.
func (d *departure) takes(now, until units.Time, seen lasted) bool {
	if d.open(now) && seen.watched >= watchShare*d.end.Sub(now) {
		until = min(until, now.Add(lastsShare*seen.longest))
	}
	return until <= d.end.Add(-endGap)
}

// leaving says whether this node has been warned.
func (v *Router) leaving() bool { return v.departure.Load() != nil }

// ending says whether what has no answer yet gets its final one.
func (v *Router) ending() bool {
	d := v.departure.Load()
	return d != nil && d.ending(v.Tasks.Now())
}

// begins says whether a request of a mapping that is over at until at the latest may be begun here.
func (v *Router) begins(now, until units.Time, m *config.Mapping) bool {
	d := v.departure.Load()
	return d == nil || !v.closing.Load() && d.takes(now, until, v.tallies.lasted(now, m))
}

// Drain gives this node's duties away and lets what is under way end within the grace.
func (v *Router) Drain() {
	now := v.Tasks.Now()
	d := newDeparture(now, time.Duration(v.Settings.DrainMs)*time.Millisecond)
	v.departure.Store(d)
	v.SetFlag(membership.Draining, true)
	v.SetFlag(membership.Ready, false)
	v.awaitQuiet(d)
	v.Close()
}

// awaitQuiet returns once nothing is under way and nothing more is taken, or when the grace is over.
func (v *Router) awaitQuiet(d *departure) {
	least := d.warned
	if v.Adapter != nil {
		least = least.Add(lingerFor)
	}
	for quietSince := d.warned; v.Tasks.Now() < d.end; v.Tasks.Sleep(leaveLookEach) {
		now := v.Tasks.Now()
		if v.inFlight.Load() > 0 {
			quietSince = now
		}
		if now <= least || now.Sub(quietSince) <= quietFor {
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
	v.Leave()
}
