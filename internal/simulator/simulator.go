// Package simulator is the seeded simulator: virtual clock, network, disks and processes, running the
// daemons' own step machines (design 1).
package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

type event struct {
	at  units.Time
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

// Proc is one process: its step machines behind two functions.
type Proc struct {
	Self                units.NodeID
	Step                func(units.Time, message.Message) message.Effects
	Tick                func(units.Time) message.Effects
	OnConnectionRefused func(units.Time, string)
	OnResume            func(units.Time)
	Reload              func() // the disk refused a write: the machines begin again from what it holds
}

// Host is one machine.
type Host struct {
	Addr         string
	Zone         string
	Disk         *Disk
	Proc         *Proc
	Isolated     bool // its network is gone: no refusal comes back either
	Paused       bool
	generation   int
	Bootstrap    *BootstrapSettings // where voters grow: what its boot file says
	heldMessages []message.Message
	startProcess func(h *Host) *Proc
}

// BootstrapSettings is the part of a boot file that founding from seeds goes by (design 13).
type BootstrapSettings struct {
	MayVote    bool
	FirstStart bool
	Seeds      []string
	// ToleratedLosses is how many machines with a disk may be lost at once.
	ToleratedLosses int
}

// Sim is one world.
type Sim struct {
	Now        units.Time
	Rng        *rand.Rand
	Hosts      []*Host
	LossRate   float64
	partitions []*func(from, to *Host) bool
	Sent       int
	// InterZoneBytes counts the bytes of notes between zones, by range of kinds.
	InterZoneBytes map[message.Kind]int
	PollPlatform   func(*Controller, units.Time) // the world's platform, for cores that may ask it
	Trace          uint64
	events         events
	lastSequence   uint64
}

const tickInterval = 25 * time.Millisecond

// New gives an empty world for a seed.
func New(seed uint64) *Sim {
	return &Sim{InterZoneBytes: map[message.Kind]int{}, Rng: rand.New(rand.NewPCG(seed, 11))}
}

// Partitioned says whether nothing gets from one machine to the other.
func (s *Sim) Partitioned(from, to *Host) bool {
	for _, f := range s.partitions {
		if (*f)(from, to) {
			return true
		}
	}
	return false
}

// At plans a thing for later.
func (s *Sim) At(t units.Time, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{max(t, s.Now), s.lastSequence, run})
}

// After plans a thing for a span from now.
func (s *Sim) After(d time.Duration, run func()) { s.At(s.Now.Add(d), run) }

// Run lets the world go on until t.
func (s *Sim) Run(t units.Time) {
	for len(s.events) > 0 && s.events[0].at <= t {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = t
}

// Add puts a machine into the world and starts its process.
func (s *Sim) Add(addr, zone string, disk *Disk, start func(h *Host) *Proc) *Host {
	h := &Host{Addr: addr, Zone: zone, Disk: disk, startProcess: start}
	s.Hosts = append(s.Hosts, h)
	s.Start(h)
	return h
}

// Start runs a fresh process on a machine, from what its disk holds.
func (s *Sim) Start(h *Host) {
	h.generation++
	h.heldMessages, h.Paused = nil, false
	h.Proc = h.startProcess(h)
	generation := h.generation
	var tick func()
	tick = func() {
		if h.generation != generation || h.Proc == nil {
			return
		}
		if !h.Paused {
			s.apply(h, h.Proc.Tick(s.Now))
		}
		s.After(tickInterval, tick)
	}
	s.After(time.Duration(s.Rng.Int64N(int64(tickInterval))), tick)
}

// Kill ends a process; what its disk has not synced is lost.
func (s *Sim) Kill(h *Host) {
	h.generation++
	h.Proc, h.Paused, h.heldMessages = nil, false, nil
	if h.Disk != nil {
		h.Disk.processKilled()
	}
}

// Pause stops a process; the wires keep what comes.
func (s *Sim) Pause(h *Host) { h.Paused = h.Proc != nil }

// Resume wakes it: it first notices the gap, then finds all that came.
func (s *Sim) Resume(h *Host) {
	if !h.Paused || h.Proc == nil {
		return
	}
	h.Paused = false
	if h.Proc.OnResume != nil {
		h.Proc.OnResume(s.Now)
	}
	messages := h.heldMessages
	h.heldMessages = nil
	for _, n := range messages {
		s.apply(h, h.Proc.Step(s.Now, n))
	}
}

// Inject gives a host's machines something from outside the net, such as an operator's wish.
func (s *Sim) Inject(h *Host, handle func(now units.Time) message.Effects) {
	if h.Proc != nil && !h.Paused {
		s.apply(h, handle(s.Now))
	}
}
