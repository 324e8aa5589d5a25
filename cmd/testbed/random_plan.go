package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/fleet"
	"seamshunt/platform/standin"
)

// Spans of a random plan.
const (
	troubleGapMost  = 1200 * time.Millisecond // between the beginnings of two troubles
	troubleLeast    = 300 * time.Millisecond  // how long one lasts
	troubleMost     = 3500 * time.Millisecond
	catchUp         = 4 * time.Second // how long a core machine counts as lost after it is back
	settleBeforeEnd = 6 * time.Second // nothing begins so shortly before the traffic's end
)

// randomPlan draws troubles that come in series and overlap. Of the machines with a disk only as many are lost at one time as a
// majority bears; others, workers and zones go at any time.
type randomPlan struct {
	rng      *rand.Rand
	machines []standin.Machine
	workers  []string
	disks    int
	coreLost []time.Duration          // until when a core machine each counts as lost
	busy     map[string]time.Duration // until when a machine, worker or zone is in a trouble of its own
	events   []fleet.Event
}

// newRandomPlan draws a plan for a run of a length.
func newRandomPlan(rng *rand.Rand, machines []standin.Machine, disks int, workers []string, length time.Duration) []fleet.Event {
	p := &randomPlan{rng: rng, machines: machines, workers: workers, disks: disks, busy: map[string]time.Duration{}}
	for at := time.Duration(0); at < length-settleBeforeEnd; at += time.Duration(rng.Int64N(int64(troubleGapMost))) {
		p.draw(at)
	}
	slices.SortStableFunc(p.events, func(a, b fleet.Event) int { return cmp.Compare(a.At, b.At) })
	return p.events
}

// draw adds one trouble.
func (p *randomPlan) draw(at time.Duration) {
	lasts := troubleLeast + time.Duration(p.rng.Int64N(int64(troubleMost-troubleLeast)))
	switch p.rng.IntN(8) {
	case 0, 1:
		p.workerTrouble(at, lasts)
	case 2:
		p.pair(at, lasts, p.zone(), "evacuate", "readmit")
	case 3:
		p.add(at, "storm", "")
	default:
		p.machineTrouble(at, lasts)
	}
}

func (p *randomPlan) add(at time.Duration, verb, on string) {
	p.events = append(p.events, fleet.Event{At: at, Verb: verb, On: on})
}

// pair has something begin and end, unless it is in a trouble already.
func (p *randomPlan) pair(at, lasts time.Duration, on, begin, end string) bool {
	if p.busy[on] > at {
		return false
	}
	p.busy[on] = at + lasts
	p.add(at, begin, on)
	p.add(at+lasts, end, on)
	return true
}

// zone draws one; with all of them evacuated nobody could be served.
func (p *randomPlan) zone() string { return p.machines[p.rng.IntN(len(p.machines))].Zone }

// workerTrouble has a worker fall silent, unless half of them are in a trouble.
func (p *randomPlan) workerTrouble(at, lasts time.Duration) {
	n := 0
	for _, w := range p.workers {
		if p.busy[w] > at {
			n++
		}
	}
	if 2*(n+1) <= len(p.workers) {
		p.pair(at, lasts, p.workers[p.rng.IntN(len(p.workers))], "silence", "wake")
	}
}

// machineTrouble kills, freezes or restarts a machine.
func (p *randomPlan) machineTrouble(at, lasts time.Duration) {
	m := p.machines[p.rng.IntN(len(p.machines))]
	if m.Disk && !p.coreBears(at) || p.busy[m.Name] > at {
		return
	}
	until := at + lasts
	switch p.rng.IntN(3) {
	case 0:
		p.pair(at, lasts, m.Name, "kill", "start")
	case 1:
		p.pair(at, lasts, m.Name, "freeze", "thaw")
	case 2:
		until = at + restartMost
		p.busy[m.Name] = until
		p.add(at, "restart", m.Name)
	}
	if m.Disk {
		p.coreLost = append(p.coreLost, until+catchUp)
	}
}

// restartMost is how long a restart in order takes at the most: the grace, and the start.
const restartMost = 10 * time.Second

// coreBears says whether one more machine of the core may be lost.
func (p *randomPlan) coreBears(at time.Duration) bool {
	p.coreLost = slices.DeleteFunc(p.coreLost, func(until time.Duration) bool { return until <= at })
	return len(p.coreLost) < (p.disks-1)/2
}
