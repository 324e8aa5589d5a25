package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/localfleet"
	"seamshunt/platform/standin"
)

// Durations in a random fault schedule.
const (
	maxFaultGap      = 1200 * time.Millisecond // from the start of one fault to that of the next
	minFaultDuration = 300 * time.Millisecond  // of one fault
	maxFaultDuration = 3500 * time.Millisecond
	maxPause         = 5200 * time.Millisecond
	catchUpTime      = 4 * time.Second // for which a controller still counts as lost after it is back
	settleTime       = 6 * time.Second // before the end of the traffic; no fault begins in it
)

// Durations of an evacuation. Its last part is longer than the rules allow until the zone gets no new request. Before that it
// may be reversed several times: readmitted and evacuated again at once.
const (
	maxReversals    = 3
	maxReversalGap  = 1500 * time.Millisecond
	pauseLead       = 200 * time.Millisecond // a pause that is to delay a readmission begins this long before it
	minEvacuation   = 7 * time.Second
	maxEvacuation   = 12 * time.Second
	lastReadmission = 500 * time.Millisecond // before the end of the traffic
)

// faultSchedule draws faults at random, one after the other and overlapping. So many controllers are lost at a time that a
// majority remains; routers, workers and zones may be lost at any time.
type faultSchedule struct {
	rng                  *rand.Rand
	machines             []standin.Machine
	workers              []string
	disks                int
	controllersLostUntil []time.Duration          // for each lost controller, until when it counts as lost
	faultedUntil         map[string]time.Duration // until when a machine, worker or zone is affected by a fault
	duration             time.Duration
	evacuatedUntil       []time.Duration // end of each evacuation
	reversals            bool
	multipleZones        bool // several zones may be evacuated at a time
	events               []localfleet.Event
}

// scheduleOptions select what a random schedule contains besides the usual faults.
type scheduleOptions struct {
	reversals     bool // evacuations are reversed as often as possible, while a controller is paused
	restartsOnly  bool // only graceful restarts, besides changes of the configuration
	partialFaults bool // also faults of a part of a machine, and evacuations of several zones at a time
	seed          uint64
}

// newFaultSchedule draws a schedule for a run of the given duration.
func newFaultSchedule(rng *rand.Rand, machines []standin.Machine, disks int, workers []string, duration time.Duration, options scheduleOptions) []localfleet.Event {
	p := &faultSchedule{rng: rng, machines: machines, workers: workers, disks: disks, duration: duration,
		reversals: options.reversals, multipleZones: options.partialFaults, faultedUntil: map[string]time.Duration{}}
	partialFaults := &partialFaultSource{schedule: p, rng: rand.New(rand.NewPCG(options.seed, 13))}
	for at := time.Duration(0); at < duration-settleTime; at += time.Duration(rng.Int64N(int64(maxFaultGap))) {
		if options.partialFaults {
			partialFaults.drawUntil(at)
		}
		if options.restartsOnly {
			p.addRestart(at)
		} else {
			p.addFault(at)
		}
	}
	slices.SortStableFunc(p.events, func(a, b localfleet.Event) int { return cmp.Compare(a.At, b.At) })
	return p.events
}

// addFault adds one fault.
func (p *faultSchedule) addFault(at time.Duration) {
	if p.reversals && p.toleratesControllerLoss(at) {
		p.addEvacuation(at, p.randomZone())
	}
	duration := minFaultDuration + time.Duration(p.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	switch p.rng.IntN(8) {
	case 0, 1:
		p.addWorkerFault(at, duration)
	case 2:
		p.addEvacuation(at, p.randomZone())
	case 3:
		p.add(at, "storm", "")
	default:
		p.addMachineFault(at, duration)
	}
}

func (p *faultSchedule) add(at time.Duration, verb, target string) {
	p.events = append(p.events, localfleet.Event{At: at, Verb: verb, Target: target})
}

// addPair adds the begin and end events of a fault, unless its target is already affected by one.
func (p *faultSchedule) addPair(at, duration time.Duration, target, begin, end string) bool {
	if p.faultedUntil[target] > at {
		return false
	}
	p.faultedUntil[target] = at + duration
	p.add(at, begin, target)
	p.add(at+duration, end, target)
	return true
}

// addEvacuation evacuates a zone, unless too many others are evacuated: with all zones evacuated no request could be served.
func (p *faultSchedule) addEvacuation(at time.Duration, zone string) {
	limit := 1
	if p.multipleZones && p.silentCount(at) == 0 {
		limit = p.zoneCount() - 1
	}
	if p.evacuatedCount(at) >= limit || p.faultedUntil[zone] > at {
		return
	}
	p.add(at, "evacuate", zone)
	reversals := p.rng.IntN(maxReversals + 1)
	if p.reversals {
		reversals = max(1, reversals)
	}
	for range reversals {
		at += pauseLead + time.Duration(p.rng.Int64N(int64(maxReversalGap)))
		if p.reversals || p.rng.IntN(2) == 0 {
			p.pauseController(at - pauseLead)
		}
		p.add(at, "readmit", zone)
		p.add(at, "evacuate", zone)
	}
	end := at + minEvacuation + time.Duration(p.rng.Int64N(int64(maxEvacuation-minEvacuation)))
	until := max(at, min(end, p.duration-lastReadmission))
	p.evacuatedUntil = append(p.evacuatedUntil, until)
	p.faultedUntil[zone] = until
	p.add(until, "readmit", zone)
}

// evacuatedCount returns the number of zones that are evacuated at a time.
func (p *faultSchedule) evacuatedCount(at time.Duration) int {
	n := 0
	for _, until := range p.evacuatedUntil {
		if until > at {
			n++
		}
	}
	return n
}

// zoneCount returns the number of zones.
func (p *faultSchedule) zoneCount() int {
	all := map[string]bool{}
	for _, m := range p.machines {
		all[m.Zone] = true
	}
	return len(all)
}

// pauseController pauses a controller, if a majority remains, for longer than a caller waits for its answer.
func (p *faultSchedule) pauseController(at time.Duration) {
	duration := maxPause - time.Duration(p.rng.Int64N(int64(maxPause/2)))
	i := p.rng.IntN(p.disks)
	if at+duration > p.duration-lastReadmission {
		return
	}
	for _, m := range p.machines {
		if !m.Disk {
			continue
		}
		if i--; i < 0 && p.faultedUntil[m.Name] <= at && p.toleratesControllerLoss(at) {
			p.addPair(at, duration, m.Name, "freeze", "thaw")
			p.controllersLostUntil = append(p.controllersLostUntil, at+duration+catchUpTime)
			return
		}
	}
}

// randomZone returns a random machine's zone.
func (p *faultSchedule) randomZone() string { return p.machines[p.rng.IntN(len(p.machines))].Zone }

// addWorkerFault makes a worker stop answering, unless half of the workers are affected or the workers of several zones get
// no requests.
func (p *faultSchedule) addWorkerFault(at, duration time.Duration) {
	if 2*(p.silentCount(at)+1) <= len(p.workers) && p.evacuatedCount(at) <= 1 {
		p.addPair(at, duration, p.workers[p.rng.IntN(len(p.workers))], "silence", "wake")
	}
}

// silentCount returns the number of workers that don't answer at a time.
func (p *faultSchedule) silentCount(at time.Duration) int {
	n := 0
	for _, w := range p.workers {
		if p.faultedUntil[w] > at {
			n++
		}
	}
	return n
}

// addMachineFault kills, pauses or restarts a machine.
func (p *faultSchedule) addMachineFault(at, duration time.Duration) {
	m := p.machines[p.rng.IntN(len(p.machines))]
	if m.Disk && (p.reversals || !p.toleratesControllerLoss(at)) || p.faultedUntil[m.Name] > at {
		return
	}
	until := at + duration
	switch p.rng.IntN(3) {
	case 0:
		p.addPair(at, duration, m.Name, "kill", "start")
	case 1:
		until = at + minFaultDuration + time.Duration(p.rng.Int64N(int64(maxPause-minFaultDuration)))
		p.addPair(at, until-at, m.Name, "freeze", "thaw")
	case 2:
		until = at + maxRestart
		p.faultedUntil[m.Name] = until
		p.add(at, "restart", m.Name)
	}
	if m.Disk {
		p.controllersLostUntil = append(p.controllersLostUntil, until+catchUpTime)
	}
}

// maxRestart is the maximum duration of a graceful restart: the grace period and the start.
const maxRestart = 10 * time.Second

// toleratesControllerLoss reports whether another controller may be lost.
func (p *faultSchedule) toleratesControllerLoss(at time.Duration) bool {
	lost := 0
	for _, until := range p.controllersLostUntil {
		if until > at {
			lost++
		}
	}
	return lost < (p.disks-1)/2
}
