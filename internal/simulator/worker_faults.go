package simulator

import (
	"slices"
	"time"
)

// setPlatformMode makes the platform faulty for a time.
func (w *World) setPlatformMode(mode string, d time.Duration) {
	w.platformMode, w.staleList = mode, slices.Clone(w.listedWorkers)
	for i := range w.staleList {
		w.staleList[i].Age = w.Now.Sub(w.workers[w.staleList[i].ID].startedAt)
	}
	w.After(d/2, w.drainWorker) // the faulty platform hides that the worker is draining
	w.After(d, func() { w.platformMode = "" })
}

// cutPlatformFromLeaseHolder makes the platform unreachable for the controller that holds the lease to query it.
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

// fillDisks makes all disks full, where the deployment allows it.
func (w *World) fillDisks(d time.Duration) {
	for _, h := range w.controllerHosts {
		if w.DisksCanFill {
			h.Disk.Full = true
			w.After(d, func() { h.Disk.Full = false })
		}
	}
}

// restartWorker restarts a worker at the same address. It warms up again and its runs are lost.
func (w *World) restartWorker() {
	restarted := w.workers[pick(w, w.listedWorkers).ID]
	if restarted.drainingSince > 0 || !restarted.running {
		return
	}
	restarted.startedAt, restarted.restartKnownAt = w.Now, w.Now.Add(restartVisibleWithin)
	for r := range restarted.runs {
		delete(restarted.runs, r)
		w.After(50*time.Millisecond, func() {
			if r.router.Host.generation == r.generation && !r.router.Host.Paused {
				w.finishRun(r.router, r.tag, false)
			}
		})
	}
}

// drainAndRejoinWorker drains a worker, removes it from the list and later lists it again as newly started.
func (w *World) drainAndRejoinWorker(d time.Duration) {
	i := w.Rng.IntN(len(w.listedWorkers))
	rejoining := w.workers[w.listedWorkers[i].ID]
	if rejoining.drainingSince > 0 || !rejoining.running {
		return
	}
	w.listedWorkers[i].Draining = true
	rejoining.drainingSince = w.Now
	w.After(d, func() { w.removeWorker(rejoining) })
	w.After(d+time.Second, func() {
		rejoining.running, rejoining.drainingSince, rejoining.startedAt, rejoining.restartKnownAt = true, 0, w.Now,
			w.Now.Add(restartVisibleWithin)
		w.listedWorkers = append(w.listedWorkers, listedWorker(rejoining))
	})
}

// removeWorker removes a worker from the list and ends it.
func (w *World) removeWorker(removed *worker) {
	for i, listed := range w.listedWorkers {
		if listed.ID == removed.id {
			removed.running = false
			w.listedWorkers = slices.Delete(w.listedWorkers, i, i+1)
			return
		}
	}
}

// replaceAllWorkers replaces all workers one by one. Each is marked as draining four seconds before it ends.
func (w *World) replaceAllWorkers() {
	for i, listed := range slices.Clone(w.listedWorkers) {
		w.After(time.Duration(i)*time.Second, func() {
			replaced := w.workers[listed.ID]
			for i := range w.listedWorkers {
				if w.listedWorkers[i].ID == listed.ID && replaced.drainingSince == 0 {
					w.listedWorkers[i].Draining = true
					replaced.drainingSince = w.Now
					w.addWorker(replaced.zone, 0)
					w.After(4*time.Second, func() { w.removeWorker(replaced) })
					return
				}
			}
		})
	}
}

// restartVisibleWithin is how long routers may take to learn that a worker was restarted at the same address.
const restartVisibleWithin = 3 * time.Second
