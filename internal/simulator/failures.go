package simulator

import (
	"fmt"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// replaceController loses a core machine with its disk and brings an empty one at a new address.
func (w *World) replaceController(i int) {
	h := w.controllerHosts[i]
	// The deployments bear the loss of one disk: the next is lost only once the voters are whole again.
	disks := map[units.NodeID]bool{}
	for _, o := range w.controllerHosts {
		disks[o.Disk.ID] = true
	}
	quorum := w.newestQuorum()
	fullSize := len(w.controllerHosts)
	if w.GrowsFromSeeds {
		fullSize = quorumSize(fullSize - len(w.NonVoting))
	}
	for _, n := range quorum.Members {
		if !disks[n] || len(quorum.Members) != fullSize || quorum.Joint() {
			return
		}
	}
	if h.Proc == nil || !w.hasHealthyMajority() {
		return
	}
	w.Kill(h)
	h.Disk.Wipe()
	w.lastSerial++
	h.Addr = fmt.Sprintf("core%d.%d", i+1, w.lastSerial)
	w.After(time.Second, func() {
		if h.Proc == nil {
			w.Start(h)
		}
	})
}

// restartEverything ends everything at once and starts it again, but for one machine that comes later.
func (w *World) restartEverything(delayed *Host, delay time.Duration) {
	all := append(slices.Clone(w.controllerHosts), w.routerHosts...)
	w.allLostAt = w.Now
	for _, h := range all {
		if h.Proc != nil {
			w.Kill(h)
		}
	}
	w.After(time.Second, func() {
		for _, h := range all {
			if h.Proc == nil && h != delayed {
				w.Start(h)
			}
		}
		if delayed != nil {
			w.After(delay, func() {
				if delayed.Proc == nil {
					w.Start(delayed)
				}
			})
		}
		if w.recoveryLimitApplies(delayed) {
			w.recoveringSince = w.Now
		}
	})
}

// recoveryLimitApplies says whether nothing that the limit of 12 s does not bear is broken just now.
func (w *World) recoveryLimitApplies(delayed *Host) bool {
	for _, h := range append(slices.Clone(w.controllerHosts), w.routerHosts...) {
		if h != delayed && !w.alive(h) || h.Disk != nil && (h.Disk.Stalled || h.Disk.Full) {
			return false
		}
	}
	disks := map[units.NodeID]bool{}
	for _, h := range w.controllerHosts {
		disks[h.Disk.ID] = true
	}
	for _, n := range w.newestQuorum().Members {
		if !disks[n] {
			return false // one was lost before, and is not replaced yet
		}
	}
	return w.LossRate == 0 && w.platformMode == "" && len(w.partitions) == 0 && len(w.platformUnreachable) == 0
}

// newestQuorum is the newest set that any core machine knows.
func (w *World) newestQuorum() (quorum register.QuorumSet) {
	for _, h := range w.controllerHosts {
		if c := w.controllers[h]; c != nil && c.Replica.Quorum().Version > quorum.Version {
			quorum = c.Replica.Quorum()
		}
	}
	return quorum
}

// faultFree says whether nothing else is broken just now, so that limits count.
func (w *World) faultFree() bool {
	for _, h := range append(slices.Clone(w.controllerHosts), w.routerHosts...) {
		if !w.alive(h) || h.Disk != nil && (h.Disk.Stalled || h.Disk.Full || h.Disk.Delay > 10*time.Millisecond) {
			return false
		}
	}
	return w.LossRate == 0 && w.platformMode == "" && len(w.platformUnreachable) == 0 && len(w.partitions) == 0
}

// rollingRestart restarts every process of the product, one by one.
func (w *World) rollingRestart() {
	for i, h := range append(slices.Clone(w.routerHosts), w.controllerHosts...) {
		w.After(time.Duration(i)*1500*time.Millisecond, func() { w.restart(h, 500*time.Millisecond, true) })
	}
}

// drainAndRestart warns a router: it takes nothing new, its streams end, then it leaves and is started again.
func (w *World) drainAndRestart(h *Host) {
	router := w.routers[h]
	if !w.alive(h) {
		return
	}
	router.Draining = true
	router.markNotReady()
	generation, deadline := h.generation, w.Now.Add(20*time.Second)
	var check func()
	check = func() {
		if h.generation != generation {
			return
		}
		if len(router.queue.InFlight)+router.queue.Pending() > 0 && w.Now < deadline {
			w.After(50*time.Millisecond, check)
			return
		}
		w.Inject(h, func(units.Time) message.Effects { return router.gossip.Leave() })
		w.After(100*time.Millisecond, func() { w.restart(h, 500*time.Millisecond, true) })
	}
	check()
}

func (w *World) drainWorker() {
	i := w.Rng.IntN(len(w.listedWorkers))
	if w.listedWorkers[i].Draining {
		return
	}
	w.listedWorkers[i].Draining = true
	w.workers[w.listedWorkers[i].ID].drainingSince = w.Now
	w.addWorker(w.listedWorkers[i].Zone, 0)
}

func (w *World) loseWorker(d time.Duration) {
	i := w.Rng.IntN(len(w.listedWorkers))
	x := w.workers[w.listedWorkers[i].ID]
	x.running = false
	w.After(d, func() {
		for i, y := range w.listedWorkers {
			if y.ID == x.id {
				w.listedWorkers = slices.Delete(w.listedWorkers, i, i+1)
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
