package simulator

import (
	"slices"
	"time"
)

// Fault is a fault that can be injected. Each ends by itself.
type Fault struct {
	Name   string
	Inject func(w *World, duration time.Duration)
}

func pick[T any](w *World, list []T) T { return list[w.Rng.IntN(len(list))] }

// Faults lists all faults. Seeds pick from it by index, so a new order changes the run of every seed.
var Faults = []Fault{
	{"kill router", func(w *World, d time.Duration) { w.restart(pick(w, w.routerHosts), d, true) }},
	{"kill controller", func(w *World, d time.Duration) { w.restart(pick(w, w.controllerHosts), d, true) }},
	{"power loss of a controller", func(w *World, d time.Duration) { w.restart(pick(w, w.controllerHosts), d, false) }},
	{"power loss of a router", func(w *World, d time.Duration) { w.restart(pick(w, w.routerHosts), d, false) }},
	{"pause router", func(w *World, d time.Duration) { w.pause(pick(w, w.routerHosts), d) }},
	{"pause router until all permits expire", func(w *World, d time.Duration) {
		w.pause(pick(w, w.routerHosts), 22*time.Second)
	}},
	{"pause controller", func(w *World, d time.Duration) { w.pause(pick(w, w.controllerHosts), d) }},
	{"router isolated", func(w *World, d time.Duration) { w.isolate(pick(w, w.routerHosts), d) }},
	{"controller isolated", func(w *World, d time.Duration) { w.isolate(pick(w, w.controllerHosts), d) }},
	{"slow disk", func(w *World, d time.Duration) { w.slowDisk(pick(w, w.controllerHosts), 150*time.Millisecond, d) }},
	{"stalled disk", func(w *World, d time.Duration) {
		h := pick(w, w.controllerHosts)
		h.Disk.Stalled = true
		w.After(d, func() { h.Disk.Stalled = false })
	}},
	{"full disk", func(w *World, d time.Duration) {
		if !w.DisksCanFill {
			return
		}
		h := pick(w, w.controllerHosts)
		h.Disk.Full = true
		w.After(d, func() { h.Disk.Full = false })
	}},
	{"controllers partitioned", func(w *World, d time.Duration) { w.partitionControllers(d, false) }},
	{"one-way partition", func(w *World, d time.Duration) { w.partitionControllers(d, true) }},
	{"controllers cut off from routers", func(w *World, d time.Duration) {
		w.partition(d, func(a, b *Host) bool { return (a.Disk != nil) != (b.Disk != nil) })
	}},
	{"zone partitioned", func(w *World, d time.Duration) {
		z := pick(w, w.ControllerZones)
		w.partition(d, func(a, b *Host) bool { return (a.Zone == z) != (b.Zone == z) })
	}},
	{"packet loss", func(w *World, d time.Duration) {
		w.LossRate = 0.1
		w.After(d, func() { w.LossRate = 0 })
	}},
	{"zone lost", func(w *World, d time.Duration) {
		z := pick(w, w.ControllerZones)
		for _, h := range append(slices.Clone(w.controllerHosts), w.routerHosts...) {
			if h.Zone == z {
				w.restart(h, d, false)
			}
		}
	}},
	{"controller replaced with an empty disk",
		func(w *World, _ time.Duration) { w.replaceController(w.Rng.IntN(len(w.controllerHosts))) }},
	{"everything lost", func(w *World, _ time.Duration) { w.restartEverything(nil, 0) }},
	{"rolling restart", func(w *World, _ time.Duration) { w.rollingRestart() }},
	{"seeds moved to other hosts", func(w *World, _ time.Duration) {
		for i := range w.seeds {
			w.seeds[i] = w.routerHosts[i].Addr // settings are read only when a process starts
		}
		w.rollingRestart()
	}},
	{"router drained and restarted", func(w *World, d time.Duration) { w.drainAndRestart(pick(w, w.routerHosts)) }},
	{"worker drained", func(w *World, _ time.Duration) { w.drainWorker() }},
	{"worker lost and replaced", func(w *World, d time.Duration) { w.loseWorker(d) }},
	{"evacuation and withdrawal", func(w *World, d time.Duration) {
		z := pick(w, w.ControllerZones)
		w.Evacuate(z, true)
		w.After(max(d, 8*time.Second), func() { w.Evacuate(z, false) })
	}},
	{"rapid configuration changes", func(w *World, _ time.Duration) {
		w.RunOperators(w.Now.Add(3*time.Second), 60*time.Millisecond)
	}},
	{"platform fails", func(w *World, d time.Duration) { w.setPlatformMode("refuse", d) }},
	{"platform returns an empty list", func(w *World, d time.Duration) { w.setPlatformMode("empty", d) }},
	{"platform unreachable", func(w *World, d time.Duration) { w.setPlatformMode("gone", d) }},
	{"platform slow", func(w *World, d time.Duration) { w.setPlatformMode("slow", d) }},
	{"platform returns a stale list", func(w *World, d time.Duration) { w.setPlatformMode("old", d) }},
	{"platform unreachable for the lease holder", (*World).cutPlatformFromLeaseHolder},
	{"worker drained while controllers are partitioned", func(w *World, d time.Duration) {
		w.partitionControllers(d+4*time.Second, false)
		w.After(2*time.Second, w.drainWorker)
	}},
	{"worker drained while every disk is full", func(w *World, d time.Duration) {
		w.fillDisks(d + 4*time.Second)
		w.After(time.Second, w.drainWorker)
	}},
	{"worker restarted at the same address", func(w *World, _ time.Duration) { w.restartWorker() }},
	{"drained worker joins again", func(w *World, d time.Duration) { w.drainAndRejoinWorker(d) }},
	{"worker unresponsive", func(w *World, d time.Duration) {
		x := w.workers[pick(w, w.listedWorkers).ID]
		x.unresponsive = true // it accepts requests and neither answers nor notices disconnects
		w.After(d, func() { x.unresponsive = false })
	}},
	{"release", func(w *World, _ time.Duration) { w.replaceAllWorkers() }},
	{"most requests have one prefix", func(w *World, d time.Duration) {
		w.hotPrefixShare, w.requestRate = 0.8, w.requestRate*2
		w.After(d, func() { w.hotPrefixShare, w.requestRate = 0, w.requestRate/2 })
	}},
	{"controller lost while another's disk is full", func(w *World, d time.Duration) {
		if i := w.Rng.IntN(len(w.controllerHosts)); w.DisksCanFill {
			h := w.controllerHosts[(i+1)%len(w.controllerHosts)]
			h.Disk.Full = true
			w.After(d, func() { h.Disk.Full = false })
			w.restart(w.controllerHosts[i], d, false)
		}
	}},
	{"everything lost, one controller for longer", func(w *World, _ time.Duration) {
		w.restartEverything(pick(w, w.controllerHosts), 15*time.Second)
	}},
	{"everything lost, one disk slow", func(w *World, d time.Duration) {
		w.slowDisk(pick(w, w.controllerHosts), 150*time.Millisecond, d+10*time.Second)
		w.restartEverything(nil, 0)
	}},
	{"killed during a rolling restart", func(w *World, d time.Duration) {
		w.rollingRestart()
		w.After(2*time.Second, func() { w.restart(pick(w, w.routerHosts), d, true) })
		w.After(4*time.Second, func() { w.restart(pick(w, w.controllerHosts), d, false) })
	}},
	{"crowd", func(w *World, d time.Duration) {
		w.requestRate *= 5
		w.After(d, func() { w.requestRate /= 5 })
	}},
}

func (w *World) restart(h *Host, d time.Duration, refused bool) {
	if h.Proc == nil {
		return
	}
	w.recoveringSince = 0 // the recovery limit does not cover further faults
	w.Kill(h)
	if refused {
		w.RefuseConnections(h)
	}
	w.After(d, func() {
		if h.Proc == nil {
			w.Start(h)
		}
	})
}

func (w *World) pause(h *Host, d time.Duration) {
	if h.Proc == nil || h.Paused {
		return
	}
	w.recoveringSince = 0 // the recovery limit does not cover further faults
	w.Pause(h)
	generation := h.generation
	w.After(d, func() {
		if h.generation == generation {
			w.Resume(h)
		}
	})
}

func (w *World) isolate(h *Host, d time.Duration) {
	h.Isolated, w.recoveringSince = true, 0
	w.After(d, func() { h.Isolated = false })
}

func (w *World) slowDisk(h *Host, delay, d time.Duration) {
	previous := h.Disk.Delay
	h.Disk.Delay = delay
	w.After(d, func() { h.Disk.Delay = previous })
}

func (w *World) partition(d time.Duration, blocks func(a, b *Host) bool) {
	added := &blocks
	w.recoveringSince = 0
	w.partitions = append(w.partitions, added)
	w.After(d, func() {
		w.partitions = slices.DeleteFunc(w.partitions, func(x *func(a, b *Host) bool) bool { return x == added })
	})
}

// partitionControllers splits the controllers into two groups. oneWay drops messages from the first group only.
func (w *World) partitionControllers(d time.Duration, oneWay bool) {
	firstHalf := map[*Host]bool{}
	for i, h := range w.controllerHosts {
		firstHalf[h] = i < len(w.controllerHosts)/2
	}
	w.partition(d, func(a, b *Host) bool {
		if a.Disk == nil || b.Disk == nil {
			return false
		}
		return firstHalf[a] && !firstHalf[b] || !oneWay && firstHalf[b] && !firstHalf[a]
	})
}
