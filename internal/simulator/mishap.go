package simulator

import (
	"fmt"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// replace loses a core machine with its disk and brings an empty one at a new address.
func (w *World) replace(i int) {
	h := w.coreH[i]
	// The deployments bear the loss of one disk: the next is lost only once the voters are whole again.
	disks := map[units.NodeID]bool{}
	for _, o := range w.coreH {
		disks[o.Disk.ID] = true
	}
	v := w.voters()
	full := len(w.coreH)
	if w.GrowsFromSeeds {
		full = quorumSize(full - len(w.NonVoting))
	}
	for _, n := range v.Members {
		if !disks[n] || len(v.Members) != full || v.Joint() {
			return
		}
	}
	if h.Proc == nil || !w.healthy() {
		return
	}
	w.Kill(h)
	h.Disk.Wipe()
	w.serial++
	h.Addr = fmt.Sprintf("core%d.%d", i+1, w.serial)
	w.After(time.Second, func() {
		if h.Proc == nil {
			w.Start(h)
		}
	})
}

// loseAll ends everything at once and starts it again, but for one machine that comes later.
func (w *World) loseAll(late *Host, by time.Duration) {
	all := append(slices.Clone(w.coreH), w.edgeH...)
	w.lost = w.Now
	for _, h := range all {
		if h.Proc != nil {
			w.Kill(h)
		}
	}
	w.After(time.Second, func() {
		for _, h := range all {
			if h.Proc == nil && h != late {
				w.Start(h)
			}
		}
		if late != nil {
			w.After(by, func() {
				if late.Proc == nil {
					w.Start(late)
				}
			})
		}
		if w.restable(late) {
			w.full = w.Now
		}
	})
}

// restable says whether nothing that the limit of 12 s does not bear is broken just now.
func (w *World) restable(late *Host) bool {
	for _, h := range append(slices.Clone(w.coreH), w.edgeH...) {
		if h != late && !w.alive(h) || h.Disk != nil && (h.Disk.Stalled || h.Disk.Full) {
			return false
		}
	}
	disks := map[units.NodeID]bool{}
	for _, h := range w.coreH {
		disks[h.Disk.ID] = true
	}
	for _, n := range w.voters().Members {
		if !disks[n] {
			return false // one was lost before, and is not replaced yet
		}
	}
	return w.LossRate == 0 && w.mood == "" && len(w.cuts) == 0 && len(w.shut) == 0
}

// voters is the newest set that any core machine knows.
func (w *World) voters() (v register.QuorumSet) {
	for _, h := range w.coreH {
		if c := w.cores[h]; c != nil && c.Replica.Quorum().Version > v.Version {
			v = c.Replica.Quorum()
		}
	}
	return v
}

// whole says whether nothing else is broken just now, so that limits count.
func (w *World) whole() bool {
	for _, h := range append(slices.Clone(w.coreH), w.edgeH...) {
		if !w.alive(h) || h.Disk != nil && (h.Disk.Stalled || h.Disk.Full || h.Disk.Delay > 10*time.Millisecond) {
			return false
		}
	}
	return w.LossRate == 0 && w.mood == "" && len(w.shut) == 0 && len(w.cuts) == 0
}

// roll restarts every process of the product, one by one.
func (w *World) roll() {
	for i, h := range append(slices.Clone(w.edgeH), w.coreH...) {
		w.After(time.Duration(i)*1500*time.Millisecond, func() { w.bounce(h, 500*time.Millisecond, true) })
	}
}

// drain warns a router: it takes nothing new, its streams end, then it leaves and is started again.
func (w *World) drain(h *Host) {
	e := w.edges[h]
	if !w.alive(h) {
		return
	}
	e.Draining = true
	e.unready()
	life, end := h.life, w.Now.Add(20*time.Second)
	var look func()
	look = func() {
		if h.life != life {
			return
		}
		if len(e.queue.InFlight)+e.queue.Pending() > 0 && w.Now < end {
			w.After(50*time.Millisecond, look)
			return
		}
		w.Inject(h, func(units.Time) message.Effects { return e.gossip.Leave() })
		w.After(100*time.Millisecond, func() { w.bounce(h, 500*time.Millisecond, true) })
	}
	look()
}

func (w *World) leave() {
	i := w.Rng.IntN(len(w.listed))
	if w.listed[i].Draining {
		return
	}
	w.listed[i].Draining = true
	w.workers[w.listed[i].ID].leaving = w.Now
	w.addWorker(w.listed[i].Zone, 0)
}

func (w *World) crash(d time.Duration) {
	i := w.Rng.IntN(len(w.listed))
	x := w.workers[w.listed[i].ID]
	x.up = false
	w.After(d, func() {
		for i, y := range w.listed {
			if y.ID == x.id {
				w.listed = slices.Delete(w.listed, i, i+1)
				w.addWorker(x.zone, 0)
				return
			}
		}
	})
}

// quorumSize is how many of so many disks that count are to decide: the largest odd number, or both of two.
func quorumSize(disks int) int {
	if disks > 2 && disks%2 == 0 {
		return disks - 1
	}
	return disks
}
