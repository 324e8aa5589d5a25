package simulator

import (
	"slices"
	"time"
)

// judgeStart: cap, warm-up, leaving and evacuated, at the worker's own door.
func (w *World) checkRunStart(router *Router, x *worker) {
	n := len(x.runs)
	w.Stats.MaxConcurrent = max(w.Stats.MaxConcurrent, n)
	if n > workerCapacity {
		w.reportViolation("worker %s carries %d, cap %d", x.id, n, workerCapacity)
	}
	if uptime := w.Now.Sub(x.startedAt); uptime < warmUpTime && w.Now > x.restartKnownAt {
		if warmUpLimit := max(1, int(int64(workerCapacity)*int64(uptime)/int64(warmUpTime))); n > warmUpLimit+1 {
			w.reportViolation("worker %s, %v old, carries %d", x.id, uptime, n)
		}
	}
	if x.drainingSince > 0 {
		elapsed := w.Now.Sub(max(x.drainingSince, w.platformPathLostAt[router.Host]))
		x.lastRunAfterDraining = max(x.lastRunAfterDraining, elapsed)
		if elapsed > 3*time.Second {
			w.reportViolation("worker %s got a run %v after it was marked as leaving, from %s", x.id, elapsed, router.Host.Addr)
		}
	}
	if at, evacuated := w.evacuatedAt[x.zone]; evacuated && at > 0 {
		elapsed := w.Now.Sub(max(at, w.majorityPathLostAt[router.Host]))
		if !w.majorityLostWithin(at, w.Now) {
			w.lastRunAfterEvacuation[x.zone] = max(w.lastRunAfterEvacuation[x.zone], elapsed)
			if elapsed > 5*time.Second {
				w.reportViolation("zone %s got a run %v after its evacuation, from %s", x.zone, elapsed, router.Host.Addr)
			}
		}
	}
	if w.recoveringSince > 0 {
		w.Stats.RecoveryTimes = append(w.Stats.RecoveryTimes, w.Now.Sub(w.recoveringSince))
		if b := w.Now.Sub(w.recoveringSince); b > 12*time.Second {
			w.reportViolation("service came back %v after a full loss", b)
		}
		w.recoveringSince = 0
	}
}

const warmUpTime = 5 * time.Second

// Statistics are a world's measured distributions, in virtual time.
type Statistics struct {
	Runs, Refused, Unroutable int
	MaxConcurrent             int
	CrossZone                 int
	Claims, NonDurableClaims  int // claims, and those granted without the core's disks
	FailedClaims              int
	LastRunsAfterDraining     []time.Duration // last run begun on each marked worker, after its mark
	LastRunsAfterEvacuation   []time.Duration // last run begun in each evacuated zone, after the acknowledgement
	ConfigDelays              []time.Duration // from an acknowledgement till each serving router that had a path had it
	CoordinatorGaps           []time.Duration // how long a listed worker had no keeper that lent
	RecoveryTimes             []time.Duration // from the start after a full loss till the first run
}

func (f *Statistics) add(o *Statistics) {
	f.Runs += o.Runs
	f.Claims, f.NonDurableClaims, f.FailedClaims = f.Claims+o.Claims, f.NonDurableClaims+o.NonDurableClaims, f.FailedClaims+o.FailedClaims
	f.MaxConcurrent = max(f.MaxConcurrent, o.MaxConcurrent)
	f.LastRunsAfterDraining, f.LastRunsAfterEvacuation = slices.Concat(f.LastRunsAfterDraining, o.LastRunsAfterDraining), slices.Concat(f.LastRunsAfterEvacuation, o.LastRunsAfterEvacuation)
	f.CoordinatorGaps = slices.Concat(f.CoordinatorGaps, o.CoordinatorGaps)
	f.ConfigDelays, f.RecoveryTimes = slices.Concat(f.ConfigDelays, o.ConfigDelays), slices.Concat(f.RecoveryTimes, o.RecoveryTimes)
}

// measureCoordinatorGaps measures the keepers' gaps: from the last look at which a worker had one that lent to the next.
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
