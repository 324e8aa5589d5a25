package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/localfleet"
	"seamshunt/platform/standin"
)

// Spans of a random plan.
const (
	troubleGapMost  = 1200 * time.Millisecond // between the beginnings of two troubles
	troubleLeast    = 300 * time.Millisecond  // how long one lasts
	troubleMost     = 3500 * time.Millisecond
	freezeMost      = 5200 * time.Millisecond
	catchUp         = 4 * time.Second // how long a core machine counts as lost after it is back
	settleBeforeEnd = 6 * time.Second // nothing begins so shortly before the traffic's end
)

// Spans of an evacuation. It stays for longer than the rules allow until the zone gets nothing new; before, it may be withdrawn and
// given again, as by an operator who can't make up his mind.
const (
	swingsMost     = 3
	swingGapMost   = 1500 * time.Millisecond
	freezeAhead    = 200 * time.Millisecond // a freeze that is to hold a withdrawal up begins so long before it
	evacuatedLeast = 7 * time.Second
	evacuatedMost  = 12 * time.Second
	lastWithdrawal = 500 * time.Millisecond // before the traffic's end
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
	length   time.Duration
	out      []time.Duration // until when each zone that was evacuated is so
	orders   bool
	several  bool // more than one zone may be evacuated at a time
	events   []localfleet.Event
}

// planOptions say what a random plan holds beside its usual troubles.
type planOptions struct {
	orders  bool // evacuations are withdrawn and given again while a machine of the core stands still, as often as can be
	rolls   bool // nothing but restarts in order beside changes of the configuration
	partial bool // troubles that don't take a whole machine come too, and several zones are evacuated at a time
	seed    uint64
}

// newRandomPlan draws a plan for a run of a length.
func newRandomPlan(rng *rand.Rand, machines []standin.Machine, disks int, workers []string, length time.Duration, options planOptions) []localfleet.Event {
	p := &randomPlan{rng: rng, machines: machines, workers: workers, disks: disks, length: length, orders: options.orders, several: options.partial, busy: map[string]time.Duration{}}
	more := &partialTroubles{plan: p, rng: rand.New(rand.NewPCG(options.seed, 13))}
	for at := time.Duration(0); at < length-settleBeforeEnd; at += time.Duration(rng.Int64N(int64(troubleGapMost))) {
		if options.partial {
			more.upTo(at)
		}
		if options.rolls {
			p.roll(at)
		} else {
			p.draw(at)
		}
	}
	slices.SortStableFunc(p.events, func(a, b localfleet.Event) int { return cmp.Compare(a.At, b.At) })
	return p.events
}

// draw adds one trouble.
func (p *randomPlan) draw(at time.Duration) {
	if p.orders && p.coreBears(at) {
		p.evacuation(at, p.zone())
	}
	lasts := troubleLeast + time.Duration(p.rng.Int64N(int64(troubleMost-troubleLeast)))
	switch p.rng.IntN(8) {
	case 0, 1:
		p.workerTrouble(at, lasts)
	case 2:
		p.evacuation(at, p.zone())
	case 3:
		p.add(at, "storm", "")
	default:
		p.machineTrouble(at, lasts)
	}
}

func (p *randomPlan) add(at time.Duration, verb, on string) {
	p.events = append(p.events, localfleet.Event{At: at, Verb: verb, Target: on})
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

// evacuation empties a zone, unless too many others are empty: with all of them evacuated nobody could be served.
func (p *randomPlan) evacuation(at time.Duration, zone string) {
	most := 1
	if p.several && p.silent(at) == 0 {
		most = p.zones() - 1
	}
	if p.evacuated(at) >= most || p.busy[zone] > at {
		return
	}
	p.add(at, "evacuate", zone)
	swings := p.rng.IntN(swingsMost + 1)
	if p.orders {
		swings = max(1, swings)
	}
	for range swings {
		at += freezeAhead + time.Duration(p.rng.Int64N(int64(swingGapMost)))
		if p.orders || p.rng.IntN(2) == 0 {
			p.freezeCore(at - freezeAhead)
		}
		p.add(at, "readmit", zone)
		p.add(at, "evacuate", zone)
	}
	end := at + evacuatedLeast + time.Duration(p.rng.Int64N(int64(evacuatedMost-evacuatedLeast)))
	until := max(at, min(end, p.length-lastWithdrawal))
	p.out = append(p.out, until)
	p.busy[zone] = until
	p.add(until, "readmit", zone)
}

// evacuated counts the zones that are so at a time.
func (p *randomPlan) evacuated(at time.Duration) int {
	n := 0
	for _, until := range p.out {
		if until > at {
			n++
		}
	}
	return n
}

// zones counts the zones.
func (p *randomPlan) zones() int {
	all := map[string]bool{}
	for _, m := range p.machines {
		all[m.Zone] = true
	}
	return len(all)
}

// freezeCore freezes a machine of the core, if that bears it, for longer than callers wait for an answer.
func (p *randomPlan) freezeCore(at time.Duration) {
	lasts := freezeMost - time.Duration(p.rng.Int64N(int64(freezeMost/2)))
	i := p.rng.IntN(p.disks)
	if at+lasts > p.length-lastWithdrawal {
		return
	}
	for _, m := range p.machines {
		if !m.Disk {
			continue
		}
		if i--; i < 0 && p.busy[m.Name] <= at && p.coreBears(at) {
			p.pair(at, lasts, m.Name, "freeze", "thaw")
			p.coreLost = append(p.coreLost, at+lasts+catchUp)
			return
		}
	}
}

// zone draws one.
func (p *randomPlan) zone() string { return p.machines[p.rng.IntN(len(p.machines))].Zone }

// workerTrouble has a worker fall silent, unless half of them are in a trouble or several zones' workers get nothing.
func (p *randomPlan) workerTrouble(at, lasts time.Duration) {
	if 2*(p.silent(at)+1) <= len(p.workers) && p.evacuated(at) <= 1 {
		p.pair(at, lasts, p.workers[p.rng.IntN(len(p.workers))], "silence", "wake")
	}
}

// silent counts the workers that are so at a time.
func (p *randomPlan) silent(at time.Duration) int {
	n := 0
	for _, w := range p.workers {
		if p.busy[w] > at {
			n++
		}
	}
	return n
}

// machineTrouble kills, freezes or restarts a machine.
func (p *randomPlan) machineTrouble(at, lasts time.Duration) {
	m := p.machines[p.rng.IntN(len(p.machines))]
	if m.Disk && (p.orders || !p.coreBears(at)) || p.busy[m.Name] > at {
		return
	}
	until := at + lasts
	switch p.rng.IntN(3) {
	case 0:
		p.pair(at, lasts, m.Name, "kill", "start")
	case 1:
		until = at + troubleLeast + time.Duration(p.rng.Int64N(int64(freezeMost-troubleLeast)))
		p.pair(at, until-at, m.Name, "freeze", "thaw")
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
	lost := 0
	for _, until := range p.coreLost {
		if until > at {
			lost++
		}
	}
	return lost < (p.disks-1)/2
}
