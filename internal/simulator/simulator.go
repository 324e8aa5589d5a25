// Package simulator runs the state machines of both programs on a virtual clock, network and disks. A seed determines
// the whole run (docs/design.md, section 1).
package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

type event struct {
	at       units.Time
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

// Proc is a running process: the functions that drive its state machines.
type Proc struct {
	Self                units.NodeID
	Step                func(units.Time, message.Message) message.Effects
	Tick                func(units.Time) message.Effects
	OnConnectionRefused func(units.Time, string)
	OnResume            func(units.Time)
	Reload              func() // restores the state machines from the disk after a failed write
}

// Host is a simulated machine.
type Host struct {
	Addr         string
	Zone         string
	Disk         *Disk
	Proc         *Proc
	Isolated     bool // no network: connections to it time out instead of being refused
	Paused       bool
	generation   int
	Bootstrap    *BootstrapSettings // nil if the quorum set has a fixed size
	heldMessages []message.Message
	startProcess func(h *Host) *Proc
}

// BootstrapSettings holds the settings for bootstrap from seeds (docs/design.md, section 13).
type BootstrapSettings struct {
	MayVote    bool
	FirstStart bool
	Seeds      []string
	// ToleratedLosses is how many controllers may be lost at once.
	ToleratedLosses int
}

// Sim is the event loop with the simulated hosts and network.
type Sim struct {
	Now        units.Time
	Rng        *rand.Rand
	Hosts      []*Host
	LossRate   float64
	partitions []*func(from, to *Host) bool
	Sent       int
	// InterZoneBytes counts the bytes of messages between zones, by range of message kinds.
	InterZoneBytes map[message.Kind]int
	PollPlatform   func(*Controller, units.Time) // sends a query of a controller to the simulated platform
	Trace          uint64
	events         events
	lastSequence   uint64
}

const tickInterval = 25 * time.Millisecond

// New returns a simulation without hosts.
func New(seed uint64) *Sim {
	return &Sim{InterZoneBytes: map[message.Kind]int{}, Rng: rand.New(rand.NewPCG(seed, 11))}
}

// Partitioned reports whether a network partition drops messages from one host to the other.
func (s *Sim) Partitioned(from, to *Host) bool {
	for _, f := range s.partitions {
		if (*f)(from, to) {
			return true
		}
	}
	return false
}

// At schedules a function for time t, or for now if t has passed.
func (s *Sim) At(t units.Time, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{max(t, s.Now), s.lastSequence, run})
}

// After schedules a function to run after d.
func (s *Sim) After(d time.Duration, run func()) { s.At(s.Now.Add(d), run) }

// Run processes events until t.
func (s *Sim) Run(t units.Time) {
	for len(s.events) > 0 && s.events[0].at <= t {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = t
}

// Add adds a host and starts its process.
func (s *Sim) Add(addr, zone string, disk *Disk, start func(h *Host) *Proc) *Host {
	h := &Host{Addr: addr, Zone: zone, Disk: disk, startProcess: start}
	s.Hosts = append(s.Hosts, h)
	s.Start(h)
	return h
}

// Start starts a new process on a host, with the state that its disk holds.
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

// Kill ends a process. Writes in progress stay in the page cache, which the next process reads.
func (s *Sim) Kill(h *Host) {
	h.generation++
	h.Proc, h.Paused, h.heldMessages = nil, false, nil
	if h.Disk != nil {
		h.Disk.processKilled()
	}
}

// Pause suspends a process. Messages to it are held until Resume.
func (s *Sim) Pause(h *Host) { h.Paused = h.Proc != nil }

// Resume continues a paused process: it first detects the pause, then receives the held messages.
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
	for _, m := range messages {
		s.apply(h, h.Proc.Step(s.Now, m))
	}
}

// Inject calls a running process outside the network, such as with an operator's request, and applies the effects.
func (s *Sim) Inject(h *Host, handle func(now units.Time) message.Effects) {
	if h.Proc != nil && !h.Paused {
		s.apply(h, handle(s.Now))
	}
}
