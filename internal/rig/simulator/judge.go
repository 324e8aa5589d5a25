package simulator

import (
	"slices"
	"time"
)

// judgeStart: cap, warm-up, leaving and evacuated, at the worker's own door.
func (w *World) judgeStart(e *Edge, x *work) {
	n := len(x.runs)
	w.Figures.MostAtOnce = max(w.Figures.MostAtOnce, n)
	if n > workerCap {
		w.fault("worker %s carries %d, cap %d", x.id, n, workerCap)
	}
	if up := w.Now.Sub(x.start); up < warm && w.Now > x.seen {
		if most := max(1, int(int64(workerCap)*int64(up)/int64(warm))); n > most+1 {
			w.fault("worker %s, %v old, carries %d", x.id, up, n)
		}
	}
	if x.leaving > 0 {
		late := w.Now.Sub(max(x.leaving, w.markAt[e.H]))
		x.late = max(x.late, late)
		if late > 3*time.Second {
			w.fault("worker %s got a run %v after it was marked as leaving, from %s", x.id, late, e.H.Addr)
		}
	}
	if at, out := w.evac[x.zone]; out && at > 0 {
		late := w.Now.Sub(max(at, w.cutAt[e.H]))
		if !w.excused(at, w.Now) {
			w.lateZ[x.zone] = max(w.lateZ[x.zone], late)
			if late > 5*time.Second {
				w.fault("zone %s got a run %v after its evacuation, from %s", x.zone, late, e.H.Addr)
			}
		}
	}
	if w.full > 0 {
		w.Figures.Backs = append(w.Figures.Backs, w.Now.Sub(w.full))
		if b := w.Now.Sub(w.full); b > 12*time.Second {
			w.fault("service came back %v after a full loss", b)
		}
		w.full = 0
	}
}

const warm = 5 * time.Second

// Figures are a world's measured distributions, in virtual time.
type Figures struct {
	Runs, Refused, Lost int
	MostAtOnce          int
	Cross               int
	Claims, Weak        int // claims, and those granted without the core's disks
	NoClaims            int
	Leaves              []time.Duration // last run begun on each marked worker, after its mark
	Evacs               []time.Duration // last run begun in each evacuated zone, after the acknowledgement
	InForce             []time.Duration // from an acknowledgement till each serving router that had a path had it
	Gaps                []time.Duration // how long a listed worker had no keeper that lent
	Backs               []time.Duration // from the start after a full loss till the first run
}

func (f *Figures) add(o *Figures) {
	f.Runs += o.Runs
	f.Claims, f.Weak, f.NoClaims = f.Claims+o.Claims, f.Weak+o.Weak, f.NoClaims+o.NoClaims
	f.MostAtOnce = max(f.MostAtOnce, o.MostAtOnce)
	f.Leaves, f.Evacs = slices.Concat(f.Leaves, o.Leaves), slices.Concat(f.Evacs, o.Evacs)
	f.Gaps = slices.Concat(f.Gaps, o.Gaps)
	f.InForce, f.Backs = slices.Concat(f.InForce, o.InForce), slices.Concat(f.Backs, o.Backs)
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
			w.Figures.Gaps = append(w.Figures.Gaps, w.Now.Sub(last))
		}
		if open[name] {
			w.keptAt[name] = w.Now
		}
	}
}
