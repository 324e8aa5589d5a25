package main

import (
	"math/rand/v2"
	"time"
)

// Spans of troubles that don't take a whole machine.
const (
	partialGapMost = 1500 * time.Millisecond
	slowLeast      = 2 * time.Second
	slowMost       = 6 * time.Second
)

// partialTroubles draws troubles by a generator of their own, so that a plan without them stays as it is: one program of a machine
// stands still, a machine runs slow, a controller is killed as an order is under way, or one more zone is evacuated.
type partialTroubles struct {
	plan *randomPlan
	rng  *rand.Rand
	next time.Duration
}

// upTo draws what begins before a time.
func (x *partialTroubles) upTo(at time.Duration) {
	for ; x.next < at; x.next += time.Duration(x.rng.Int64N(int64(partialGapMost))) {
		x.draw(x.next)
	}
}

func (x *partialTroubles) draw(at time.Duration) {
	m := x.plan.machines[x.rng.IntN(len(x.plan.machines))]
	kind := x.rng.IntN(4)
	lasts := troubleLeast + time.Duration(x.rng.Int64N(int64(freezeMost-troubleLeast)))
	switch kind {
	case 0:
		x.plan.partial(at, lasts, m.Name, m.Name+".router", "freeze", "thaw")
	case 1:
		if m.Disk {
			x.plan.partial(at, lasts, m.Name, m.Name+".controller", "freeze", "thaw")
		}
	case 2:
		lasts = slowLeast + time.Duration(x.rng.Int64N(int64(slowMost-slowLeast)))
		x.plan.partial(at, lasts, m.Name, m.Name, "slow", "fast")
	case 3:
		if m.Disk {
			x.plan.partial(at, min(lasts, troubleMost), m.Name, m.Name+".controller", "kill", "start")
		}
	}
}

// partial has a trouble come over a machine, or over one of its programs, unless it is in one already or the core doesn't bear it.
func (p *randomPlan) partial(at, lasts time.Duration, machine, on, begin, end string) {
	core := on != machine+".router" && p.isCore(machine)
	if p.busy[machine] > at || at+lasts > p.length-lastWithdrawal || core && !p.coreBears(at) {
		return
	}
	p.pair(at, lasts, on, begin, end)
	p.busy[machine] = at + lasts
	if core {
		p.coreLost = append(p.coreLost, at+lasts+catchUp)
	}
}

// isCore says whether a machine has a disk.
func (p *randomPlan) isCore(name string) bool {
	for _, m := range p.machines {
		if m.Name == name {
			return m.Disk
		}
	}
	return false
}

// roll restarts a machine, if it runs and the core bears it, and has two operators race.
func (p *randomPlan) roll(at time.Duration) {
	p.add(at, "storm", "")
	m := p.machines[p.rng.IntN(len(p.machines))]
	if p.busy[m.Name] > at || m.Disk && !p.coreBears(at) {
		return
	}
	p.busy[m.Name] = at + restartMost
	p.add(at, "restart", m.Name)
	if m.Disk {
		p.coreLost = append(p.coreLost, at+restartMost+catchUp)
	}
}
