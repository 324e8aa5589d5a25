package simulator

import (
	"fmt"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// replaceController wipes a controller and starts it with an uninitialized disk at a new address.
func (w *World) replaceController(i int) {
	h := w.controllerHosts[i]
	// The deployments tolerate the loss of one disk, so the next is lost only once the quorum set is complete again.
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

// restartEverything kills all processes at once and restarts them a second later; delayed, if not nil, restarts later.
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

// recoveryLimitApplies reports whether no other fault is active that the recovery limit of 12 s does not allow for.
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
			return false // a lost disk is not replaced yet
		}
	}
	return w.LossRate == 0 && w.platformMode == "" && len(w.partitions) == 0 && len(w.platformUnreachable) == 0
}

// newestQuorum returns the newest quorum set that any controller knows.
func (w *World) newestQuorum() (quorum register.QuorumSet) {
	for _, h := range w.controllerHosts {
		if c := w.controllers[h]; c != nil && c.Replica.Quorum().Version > quorum.Version {
			quorum = c.Replica.Quorum()
		}
	}
	return quorum
}

// faultFree reports whether no fault is active, so that all limits apply.
func (w *World) faultFree() bool {
	for _, h := range append(slices.Clone(w.controllerHosts), w.routerHosts...) {
		if !w.alive(h) || h.Disk != nil && (h.Disk.Stalled || h.Disk.Full || h.Disk.Delay > 10*time.Millisecond) {
			return false
		}
	}
	return w.LossRate == 0 && w.platformMode == "" && len(w.platformUnreachable) == 0 && len(w.partitions) == 0
}

// rollingRestart restarts all processes one after the other.
func (w *World) rollingRestart() {
	for i, host := range append(slices.Clone(w.routerHosts), w.controllerHosts...) {
		w.After(time.Duration(i)*1500*time.Millisecond, func() { w.restart(host, 500*time.Millisecond, true) })
	}
}

// drainAndRestart drains a router: it takes no new requests, finishes the others, leaves the membership and is restarted.
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
	lost := w.workers[w.listedWorkers[i].ID]
	lost.running = false
	w.After(d, func() {
		for i, listed := range w.listedWorkers {
			if listed.ID == lost.id {
				w.listedWorkers = slices.Delete(w.listedWorkers, i, i+1)
				w.addWorker(lost.zone, 0)
				return
			}
		}
	})
}

// quorumSize returns the size of the quorum set for a number of voting disks: the largest odd number, or two of two.
func quorumSize(disks int) int {
	if disks > 2 && disks%2 == 0 {
		return disks - 1
	}
	return disks
}
