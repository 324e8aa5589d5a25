package simulator

import (
	"slices"
	"time"
)

// platform changes how the platform answers, for a while.
func (w *World) platform(mood string, d time.Duration) {
	w.mood, w.before = mood, slices.Clone(w.listed)
	for i := range w.before {
		w.before[i].Age = w.Now.Sub(w.workers[w.before[i].ID].start)
	}
	w.After(d/2, w.leave) // a mark that it hides
	w.After(d, func() { w.mood = "" })
}

// shutHolder takes the platform out of the reach of whoever asks it now.
func (w *World) shutHolder(d time.Duration) {
	for _, h := range w.coreH {
		if w.alive(h) && w.cores[h].Lease.Holds(w.Now) {
			w.shut[h] = true
			w.After(d, func() { delete(w.shut, h) })
			w.After(100*time.Millisecond, w.leave)
			return
		}
	}
}

// fill fills every disk that can fill.
func (w *World) fill(d time.Duration) {
	for _, h := range w.coreH {
		if w.DisksCanFill {
			h.Disk.Full = true
			w.After(d, func() { h.Disk.Full = false })
		}
	}
}

// reboot starts a worker again in its place: cold, at the same address, and its runs are gone.
func (w *World) reboot() {
	x := w.workers[pick(w, w.listed).ID]
	if x.leaving > 0 || !x.up {
		return
	}
	x.start, x.seen = w.Now, w.Now.Add(warmSeen)
	for r := range x.runs {
		delete(x.runs, r)
		w.After(50*time.Millisecond, func() {
			if r.edge.Host.life == r.life && !r.edge.Host.Paused {
				w.done(r.edge, r.tag, false)
			}
		})
	}
}

// rejoin marks a worker, takes it off the list, and later lists the same one again, cold.
func (w *World) rejoin(d time.Duration) {
	i := w.Rng.IntN(len(w.listed))
	x := w.workers[w.listed[i].ID]
	if x.leaving > 0 || !x.up {
		return
	}
	w.listed[i].Draining = true
	x.leaving = w.Now
	w.After(d, func() { w.drop(x) })
	w.After(d+time.Second, func() {
		x.up, x.leaving, x.start, x.seen = true, 0, w.Now, w.Now.Add(warmSeen)
		w.listed = append(w.listed, listing(x))
	})
}

// drop takes a worker off the list and ends it.
func (w *World) drop(x *work) {
	for i, y := range w.listed {
		if y.ID == x.id {
			x.up = false
			w.listed = slices.Delete(w.listed, i, i+1)
			return
		}
	}
}

// release replaces all workers one by one, each marked three seconds before it goes.
func (w *World) release() {
	for i, y := range slices.Clone(w.listed) {
		w.After(time.Duration(i)*time.Second, func() {
			x := w.workers[y.ID]
			for i := range w.listed {
				if w.listed[i].ID == y.ID && x.leaving == 0 {
					w.listed[i].Draining = true
					x.leaving = w.Now
					w.addWorker(x.zone, 0)
					w.After(4*time.Second, func() { w.drop(x) })
					return
				}
			}
		})
	}
}

// warmSeen is how long it may take until a worker's start in its place is known everywhere.
const warmSeen = 3 * time.Second
