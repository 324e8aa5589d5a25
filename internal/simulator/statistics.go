package simulator

import (
	"slices"
	"time"
)

// checkRunStart checks a run that starts on a worker: against the worker's capacity and warm-up limit, and that it does not
// start too long after the worker was marked as draining or its zone was evacuated.
func (w *World) checkRunStart(router *Router, target *worker) {
	running := len(target.runs)
	w.Stats.MaxConcurrent = max(w.Stats.MaxConcurrent, running)
	if running > workerCapacity {
		w.reportViolation("worker %s runs %d requests, capacity %d", target.id, running, workerCapacity)
	}
	if uptime := w.Now.Sub(target.startedAt); uptime < warmUpTime && w.Now > target.restartKnownAt {
		if warmUpLimit := max(1, int(int64(workerCapacity)*int64(uptime)/int64(warmUpTime))); running > warmUpLimit+1 {
			w.reportViolation("worker %s, started %v ago, runs %d requests", target.id, uptime, running)
		}
	}
	if target.drainingSince > 0 {
		elapsed := w.Now.Sub(max(target.drainingSince, w.platformPathLostAt[router.Host]))
		target.lastRunAfterDraining = max(target.lastRunAfterDraining, elapsed)
		if elapsed > 3*time.Second {
			w.reportViolation("worker %s got a run %v after it was marked as draining, from %s", target.id, elapsed,
				router.Host.Addr)
		}
	}
	if acknowledgedAt, evacuated := w.evacuatedAt[target.zone]; evacuated && acknowledgedAt > 0 {
		elapsed := w.Now.Sub(max(acknowledgedAt, w.majorityPathLostAt[router.Host]))
		if !w.majorityLostWithin(acknowledgedAt, w.Now) {
			w.lastRunAfterEvacuation[target.zone] = max(w.lastRunAfterEvacuation[target.zone], elapsed)
			if elapsed > 5*time.Second {
				w.reportViolation("zone %s got a run %v after its evacuation, from %s", target.zone, elapsed,
					router.Host.Addr)
			}
		}
	}
	if w.recoveringSince > 0 {
		w.Stats.RecoveryTimes = append(w.Stats.RecoveryTimes, w.Now.Sub(w.recoveringSince))
		if elapsed := w.Now.Sub(w.recoveringSince); elapsed > 12*time.Second {
			w.reportViolation("requests ran again only %v after a full loss", elapsed)
		}
		w.recoveringSince = 0
	}
}

const warmUpTime = 5 * time.Second

// Statistics holds counts and durations of a run, in virtual time.
type Statistics struct {
	Runs, Refused, Unroutable int
	MaxConcurrent             int
	CrossZone                 int
	Claims, NonDurableClaims  int // all claims, and those granted without the controllers' disks
	FailedClaims              int
	LastRunsAfterDraining     []time.Duration // per draining worker: from its marking as draining to the start of its last run
	LastRunsAfterEvacuation   []time.Duration // per evacuated zone: from the acknowledgement to the start of its last run
	ConfigDelays              []time.Duration // from an acknowledgement until each ready, connected router has the configuration
	CoordinatorGaps           []time.Duration // how long a listed worker had no coordinator that granted permits
	RecoveryTimes             []time.Duration // from the restart after a full loss to the first run
}

func (f *Statistics) add(o *Statistics) {
	f.Runs += o.Runs
	f.Claims, f.NonDurableClaims, f.FailedClaims = f.Claims+o.Claims, f.NonDurableClaims+o.NonDurableClaims,
		f.FailedClaims+o.FailedClaims
	f.MaxConcurrent = max(f.MaxConcurrent, o.MaxConcurrent)
	f.LastRunsAfterDraining, f.LastRunsAfterEvacuation = slices.Concat(f.LastRunsAfterDraining, o.LastRunsAfterDraining),
		slices.Concat(f.LastRunsAfterEvacuation, o.LastRunsAfterEvacuation)
	f.CoordinatorGaps = slices.Concat(f.CoordinatorGaps, o.CoordinatorGaps)
	f.ConfigDelays, f.RecoveryTimes = slices.Concat(f.ConfigDelays, o.ConfigDelays),
		slices.Concat(f.RecoveryTimes, o.RecoveryTimes)
}

// measureCoordinatorGaps records how long each worker had no coordinator that granted permits, from one check to the next.
func (w *World) measureCoordinatorGaps() {
	coordinated := map[string]bool{}
	for _, h := range w.routerHosts {
		if !w.alive(h) {
			continue
		}
		for _, status := range w.routers[h].ledger.Status(w.Now) {
			coordinated[status.Worker] = coordinated[status.Worker] || status.Open
		}
	}
	for _, l := range w.listedWorkers {
		name := "advice/" + l.ID
		if last, ok := w.coordinatedAt[name]; coordinated[name] && ok && w.Now.Sub(last) > 100*time.Millisecond {
			w.Stats.CoordinatorGaps = append(w.Stats.CoordinatorGaps, w.Now.Sub(last))
		}
		if coordinated[name] {
			w.coordinatedAt[name] = w.Now
		}
	}
}
