package simulator

import (
	"slices"
	"time"
)

// setPlatformMode changes how the platform answers, for a while.
func (w *World) setPlatformMode(mode string, d time.Duration) {
	w.platformMode, w.staleList = mode, slices.Clone(w.listedWorkers)
	for i := range w.staleList {
		w.staleList[i].Age = w.Now.Sub(w.workers[w.staleList[i].ID].startedAt)
	}
	w.After(d/2, w.drainWorker) // a mark that it hides
	w.After(d, func() { w.platformMode = "" })
}

// cutPlatformFromLeaseHolder takes the platform out of the reach of whoever asks it now.
func (w *World) cutPlatformFromLeaseHolder(d time.Duration) {
	for _, h := range w.controllerHosts {
		if w.alive(h) && w.controllers[h].Lease.Holds(w.Now) {
			w.platformUnreachable[h] = true
			w.After(d, func() { delete(w.platformUnreachable, h) })
			w.After(100*time.Millisecond, w.drainWorker)
			return
		}
	}
}

// fillDisks fills every disk that can fill.
func (w *World) fillDisks(d time.Duration) {
	for _, h := range w.controllerHosts {
		if w.DisksCanFill {
			h.Disk.Full = true
			w.After(d, func() { h.Disk.Full = false })
		}
	}
}

// restartWorker starts a worker again in its place: cold, at the same address, and its runs are gone.
func (w *World) restartWorker() {
	x := w.workers[pick(w, w.listedWorkers).ID]
	if x.drainingSince > 0 || !x.running {
		return
	}
	x.startedAt, x.restartKnownAt = w.Now, w.Now.Add(restartVisibleWithin)
	for r := range x.runs {
		delete(x.runs, r)
		w.After(50*time.Millisecond, func() {
			if r.router.Host.generation == r.generation && !r.router.Host.Paused {
				w.finishRun(r.router, r.tag, false)
			}
		})
	}
}

// drainAndRejoinWorker marks a worker, takes it off the list, and later lists the same one again, cold.
func (w *World) drainAndRejoinWorker(d time.Duration) {
	i := w.Rng.IntN(len(w.listedWorkers))
	x := w.workers[w.listedWorkers[i].ID]
	if x.drainingSince > 0 || !x.running {
		return
	}
	w.listedWorkers[i].Draining = true
	x.drainingSince = w.Now
	w.After(d, func() { w.removeWorker(x) })
	w.After(d+time.Second, func() {
		x.running, x.drainingSince, x.startedAt, x.restartKnownAt = true, 0, w.Now, w.Now.Add(restartVisibleWithin)
		w.listedWorkers = append(w.listedWorkers, listedWorker(x))
	})
}

// removeWorker takes a worker off the list and ends it.
func (w *World) removeWorker(x *worker) {
	for i, y := range w.listedWorkers {
		if y.ID == x.id {
			x.running = false
			w.listedWorkers = slices.Delete(w.listedWorkers, i, i+1)
			return
		}
	}
}

// replaceAllWorkers replaces all workers one by one, each marked three seconds before it goes.
func (w *World) replaceAllWorkers() {
	for i, y := range slices.Clone(w.listedWorkers) {
		w.After(time.Duration(i)*time.Second, func() {
			x := w.workers[y.ID]
			for i := range w.listedWorkers {
				if w.listedWorkers[i].ID == y.ID && x.drainingSince == 0 {
					w.listedWorkers[i].Draining = true
					x.drainingSince = w.Now
					w.addWorker(x.zone, 0)
					w.After(4*time.Second, func() { w.removeWorker(x) })
					return
				}
			}
		})
	}
}

// restartVisibleWithin is how long it may take until a worker's start in its place is known everywhere.
const restartVisibleWithin = 3 * time.Second
