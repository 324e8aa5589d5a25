package simulator

import (
	"slices"
	"time"
)

// judgeStart: cap, warm-up, leaving and evacuated, at the worker's own door.
func (w *World) judgeStart(e *Router, x *work) {
	n := len(x.runs)
	w.Stats.MaxConcurrent = max(w.Stats.MaxConcurrent, n)
	if n > workerCap {
		w.fault("worker %s carries %d, cap %d", x.id, n, workerCap)
	}
	if up := w.Now.Sub(x.start); up < warm && w.Now > x.seen {
		if most := max(1, int(int64(workerCap)*int64(up)/int64(warm))); n > most+1 {
			w.fault("worker %s, %v old, carries %d", x.id, up, n)
		}
	}
	if x.leaving > 0 {
		late := w.Now.Sub(max(x.leaving, w.markAt[e.Host]))
		x.late = max(x.late, late)
		if late > 3*time.Second {
			w.fault("worker %s got a run %v after it was marked as leaving, from %s", x.id, late, e.Host.Addr)
		}
	}
	if at, out := w.evac[x.zone]; out && at > 0 {
		late := w.Now.Sub(max(at, w.cutAt[e.Host]))
		if !w.excused(at, w.Now) {
			w.lateZ[x.zone] = max(w.lateZ[x.zone], late)
			if late > 5*time.Second {
				w.fault("zone %s got a run %v after its evacuation, from %s", x.zone, late, e.Host.Addr)
			}
		}
	}
	if w.full > 0 {
		w.Stats.RecoveryTimes = append(w.Stats.RecoveryTimes, w.Now.Sub(w.full))
		if b := w.Now.Sub(w.full); b > 12*time.Second {
			w.fault("service came back %v after a full loss", b)
		}
		w.full = 0
	}
}

const warm = 5 * time.Second

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

// watchKeepers measures the keepers' gaps: from the last look at which a worker had one that lent to the next.
func (w *World) watchKeepers() {
	open := map[string]bool{}
	for _, h := range w.edgeH {
		if !w.alive(h) {
			continue
		}
		for _, k := range w.edges[h].ledger.Status(w.Now) {
			open[k.Worker] = open[k.Worker] || k.Open
		}
	}
	for _, l := range w.listed {
		name := "advice/" + l.ID
		if last, ok := w.keptAt[name]; open[name] && ok && w.Now.Sub(last) > 100*time.Millisecond {
			w.Stats.CoordinatorGaps = append(w.Stats.CoordinatorGaps, w.Now.Sub(last))
		}
		if open[name] {
			w.keptAt[name] = w.Now
		}
	}
}
