package simulator

import (
	"slices"
	"time"
)

// Fault is one failure that can be brought about; each heals itself.
type Fault struct {
	Name   string
	Inject func(w *World, span time.Duration)
}

func pick[T any](w *World, l []T) T { return l[w.Rng.IntN(len(l))] }

// Faults are all of them, for scripts drawn from a seed.
var Faults = []Fault{
	{"kill router", func(w *World, d time.Duration) { w.bounce(pick(w, w.edgeH), d, true) }},
	{"kill controller", func(w *World, d time.Duration) { w.bounce(pick(w, w.coreH), d, true) }},
	{"power lost on a controller", func(w *World, d time.Duration) { w.bounce(pick(w, w.coreH), d, false) }},
	{"power lost on a router", func(w *World, d time.Duration) { w.bounce(pick(w, w.edgeH), d, false) }},
	{"freeze router", func(w *World, d time.Duration) { w.freeze(pick(w, w.edgeH), d) }},
	{"freeze router past every permit", func(w *World, d time.Duration) { w.freeze(pick(w, w.edgeH), 22*time.Second) }},
	{"freeze controller", func(w *World, d time.Duration) { w.freeze(pick(w, w.coreH), d) }},
	{"router cut off", func(w *World, d time.Duration) { w.dark(pick(w, w.edgeH), d) }},
	{"controller cut off", func(w *World, d time.Duration) { w.dark(pick(w, w.coreH), d) }},
	{"slow disk", func(w *World, d time.Duration) { w.slow(pick(w, w.coreH), 150*time.Millisecond, d) }},
	{"stalled disk", func(w *World, d time.Duration) {
		h := pick(w, w.coreH)
		h.Disk.Stalled = true
		w.After(d, func() { h.Disk.Stalled = false })
	}},
	{"full disk", func(w *World, d time.Duration) {
		if !w.DisksCanFill {
			return
		}
		h := pick(w, w.coreH)
		h.Disk.Full = true
		w.After(d, func() { h.Disk.Full = false })
	}},
	{"core cut in two", func(w *World, d time.Duration) { w.cutCore(d, false) }},
	{"one-way cut", func(w *World, d time.Duration) { w.cutCore(d, true) }},
	{"core cut off", func(w *World, d time.Duration) {
		w.cut(d, func(a, b *Host) bool { return (a.Disk != nil) != (b.Disk != nil) })
	}},
	{"zone cut", func(w *World, d time.Duration) {
		z := pick(w, w.ControllerZones)
		w.cut(d, func(a, b *Host) bool { return (a.Zone == z) != (b.Zone == z) })
	}},
	{"lossy net", func(w *World, d time.Duration) {
		w.LossRate = 0.1
		w.After(d, func() { w.LossRate = 0 })
	}},
	{"zone lost", func(w *World, d time.Duration) {
		z := pick(w, w.ControllerZones)
		for _, h := range append(slices.Clone(w.coreH), w.edgeH...) {
			if h.Zone == z {
				w.bounce(h, d, false)
			}
		}
	}},
	{"core machine replaced by an empty one", func(w *World, _ time.Duration) { w.replace(w.Rng.IntN(len(w.coreH))) }},
	{"everything lost", func(w *World, _ time.Duration) { w.loseAll(nil, 0) }},
	{"rolling restart", func(w *World, _ time.Duration) { w.roll() }},
	{"seeds moved to other machines", func(w *World, _ time.Duration) {
		for i := range w.seeds {
			w.seeds[i] = w.edgeH[i].Addr // what boot files name is read at a start only
		}
		w.roll()
	}},
	{"router drained and restarted", func(w *World, d time.Duration) { w.drain(pick(w, w.edgeH)) }},
	{"worker leaves", func(w *World, _ time.Duration) { w.leave() }},
	{"worker lost and replaced", func(w *World, d time.Duration) { w.crash(d) }},
	{"evacuation and withdrawal", func(w *World, d time.Duration) {
		z := pick(w, w.ControllerZones)
		w.Evacuate(z, true)
		w.After(max(d, 8*time.Second), func() { w.Evacuate(z, false) })
	}},
	{"storm of configurations", func(w *World, _ time.Duration) { w.RunOperators(w.Now.Add(3*time.Second), 60*time.Millisecond) }},
	{"platform fails", func(w *World, d time.Duration) { w.platform("refuse", d) }},
	{"platform answers empty", func(w *World, d time.Duration) { w.platform("empty", d) }},
	{"platform can't be reached", func(w *World, d time.Duration) { w.platform("gone", d) }},
	{"platform is slow", func(w *World, d time.Duration) { w.platform("slow", d) }},
	{"platform answers from before", func(w *World, d time.Duration) { w.platform("old", d) }},
	{"platform out of its asker's reach", (*World).shutHolder},
	{"worker marked in a cut core", func(w *World, d time.Duration) {
		w.cutCore(d+4*time.Second, false)
		w.After(2*time.Second, w.leave)
	}},
	{"worker marked while every disk is full", func(w *World, d time.Duration) {
		w.fill(d + 4*time.Second)
		w.After(time.Second, w.leave)
	}},
	{"worker started again in place", func(w *World, _ time.Duration) { w.reboot() }},
	{"worker that left joins again", func(w *World, d time.Duration) { w.rejoin(d) }},
	{"worker goes dark", func(w *World, d time.Duration) {
		x := w.workers[pick(w, w.listed).ID]
		x.dark = true // it takes prompts, says nothing, and notices nothing
		w.After(d, func() { x.dark = false })
	}},
	{"release", func(w *World, _ time.Duration) { w.release() }},
	{"one prefix draws most of the traffic", func(w *World, d time.Duration) {
		w.hot, w.rate = 0.8, w.rate*2
		w.After(d, func() { w.hot, w.rate = 0, w.rate/2 })
	}},
	{"core machine lost while another's disk is full", func(w *World, d time.Duration) {
		if i := w.Rng.IntN(len(w.coreH)); w.DisksCanFill {
			h := w.coreH[(i+1)%len(w.coreH)]
			h.Disk.Full = true
			w.After(d, func() { h.Disk.Full = false })
			w.bounce(w.coreH[i], d, false)
		}
	}},
	{"everything lost, one core machine for longer", func(w *World, _ time.Duration) { w.loseAll(pick(w, w.coreH), 15*time.Second) }},
	{"everything lost, one disk slow", func(w *World, d time.Duration) {
		w.slow(pick(w, w.coreH), 150*time.Millisecond, d+10*time.Second)
		w.loseAll(nil, 0)
	}},
	{"killed in the middle of a roll-out", func(w *World, d time.Duration) {
		w.roll()
		w.After(2*time.Second, func() { w.bounce(pick(w, w.edgeH), d, true) })
		w.After(4*time.Second, func() { w.bounce(pick(w, w.coreH), d, false) })
	}},
	{"crowd", func(w *World, d time.Duration) {
		w.rate *= 5
		w.After(d, func() { w.rate /= 5 })
	}},
}

func (w *World) bounce(h *Host, d time.Duration, refused bool) {
	if h.Proc == nil {
		return
	}
	w.full = 0 // the limit after a full loss is not for one with more losses behind it
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

func (w *World) freeze(h *Host, d time.Duration) {
	if h.Proc == nil || h.Paused {
		return
	}
	w.full = 0 // the limit after a full loss is not for one with more losses behind it
	w.Pause(h)
	life := h.life
	w.After(d, func() {
		if h.life == life {
			w.Resume(h)
		}
	})
}

func (w *World) dark(h *Host, d time.Duration) {
	h.Isolated, w.full = true, 0
	w.After(d, func() { h.Isolated = false })
}

func (w *World) slow(h *Host, by, d time.Duration) {
	old := h.Disk.Delay
	h.Disk.Delay = by
	w.After(d, func() { h.Disk.Delay = old })
}

func (w *World) cut(d time.Duration, f func(a, b *Host) bool) {
	c := &f
	w.full = 0
	w.cuts = append(w.cuts, c)
	w.After(d, func() { w.cuts = slices.DeleteFunc(w.cuts, func(x *func(a, b *Host) bool) bool { return x == c }) })
}

// cutCore parts the core in two; one way only if so wished.
func (w *World) cutCore(d time.Duration, oneWay bool) {
	side := map[*Host]bool{}
	for i, h := range w.coreH {
		side[h] = i < len(w.coreH)/2
	}
	w.cut(d, func(a, b *Host) bool {
		if a.Disk == nil || b.Disk == nil {
			return false
		}
		return side[a] && !side[b] || !oneWay && side[b] && !side[a]
	})
}
