package main

import (
	"math/rand/v2"
	"time"
)

// Durations of faults that affect a part of a machine.
const (
	maxPartialGap = 1500 * time.Millisecond
	minSlow       = 2 * time.Second
	maxSlow       = 6 * time.Second
)

// partialFaultSource draws faults with a random generator of its own, so that a schedule without them stays the same: one program
// of a machine is paused, a machine runs slowly, or a controller is killed during an operation.
type partialFaultSource struct {
	schedule *faultSchedule
	rng      *rand.Rand
	next     time.Duration
}

// drawUntil draws the faults that begin before a time.
func (x *partialFaultSource) drawUntil(at time.Duration) {
	for ; x.next < at; x.next += time.Duration(x.rng.Int64N(int64(maxPartialGap))) {
		x.draw(x.next)
	}
}

func (x *partialFaultSource) draw(at time.Duration) {
	m := x.schedule.machines[x.rng.IntN(len(x.schedule.machines))]
	kind := x.rng.IntN(4)
	duration := minFaultDuration + time.Duration(x.rng.Int64N(int64(maxPause-minFaultDuration)))
	switch kind {
	case 0:
		x.schedule.addPartialFault(at, duration, m.Name, m.Name+".router", "freeze", "thaw")
	case 1:
		if m.Disk {
			x.schedule.addPartialFault(at, duration, m.Name, m.Name+".controller", "freeze", "thaw")
		}
	case 2:
		duration = minSlow + time.Duration(x.rng.Int64N(int64(maxSlow-minSlow)))
		x.schedule.addPartialFault(at, duration, m.Name, m.Name, "slow", "fast")
	case 3:
		if m.Disk {
			x.schedule.addPartialFault(at, min(duration, maxFaultDuration), m.Name, m.Name+".controller", "kill", "start")
		}
	}
}

// addPartialFault adds a fault of a machine or of one of its programs, unless the machine is already affected by a fault or too
// few controllers would remain.
func (p *faultSchedule) addPartialFault(at, duration time.Duration, machine, target, begin, end string) {
	controllerAffected := target != machine+".router" && p.isController(machine)
	if p.faultedUntil[machine] > at || at+duration > p.duration-lastReadmission || controllerAffected && !p.toleratesControllerLoss(at) {
		return
	}
	p.addPair(at, duration, target, begin, end)
	p.faultedUntil[machine] = at + duration
	if controllerAffected {
		p.controllersLostUntil = append(p.controllersLostUntil, at+duration+catchUpTime)
	}
}

// isController reports whether a machine has a disk and so runs a controller.
func (p *faultSchedule) isController(name string) bool {
	for _, m := range p.machines {
		if m.Name == name {
			return m.Disk
		}
	}
	return false
}

// addRestart has two operators race, and restarts a machine if it is running and enough controllers remain.
func (p *faultSchedule) addRestart(at time.Duration) {
	p.add(at, "storm", "")
	m := p.machines[p.rng.IntN(len(p.machines))]
	if p.faultedUntil[m.Name] > at || m.Disk && !p.toleratesControllerLoss(at) {
		return
	}
	p.faultedUntil[m.Name] = at + maxRestart
	p.add(at, "restart", m.Name)
	if m.Disk {
		p.controllersLostUntil = append(p.controllersLostUntil, at+maxRestart+catchUpTime)
	}
}
