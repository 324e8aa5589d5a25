package scaletest

import (
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// frameHeaderBytes is the size of the header that package transport sends before each frame.
const frameHeaderBytes = 24

// event is a message that arrives or a function to run at one millisecond of virtual time. A message is discarded if its
// node has been restarted since it was sent.
type event struct {
	to         *node
	generation int
	message    message.Message
	run        func()
}

// program is the part of a node above membership and configuration push: a router or a controller.
type program interface {
	step(now units.Time, msg message.Message) message.Effects
	tick(now units.Time, all []membership.Member) message.Effects
	processesEnded(now units.Time, ended []units.NodeID)
	operational(now units.Time) bool // reports whether it serves, votes or is on standby
}

// usage sums up the traffic and the call time of one part of all nodes of one role.
type usage struct {
	Messages, BytesOut, BytesIn int
	CallTime                    time.Duration
}

type partKey struct {
	role membership.Role
	kind message.Kind // zero for ticks of the program and for disk work
}

// Simulation is one site of simulated nodes on a virtual clock.
type Simulation struct {
	Now               units.Time
	rng               *rand.Rand
	nodes             []*node
	byID              map[units.NodeID]*node
	byAddr            map[string]*node
	events            map[int64][]event // by millisecond of virtual time
	usageByPart       map[partKey]*usage
	partitionedRegion string // the region without traffic to or from the others; empty for none
	DiskSyncs         int
	SyncedBytes       int // of records
	SiteSize
	*workload
}

// SiteSize is the size and the load of a site.
type SiteSize struct {
	Routers, Workers, Models, Tenants int
	Rate                              float64 // requests per second
	Seed                              uint64
}

// siteZones are the eleven zones of a site, in three regions.
var siteZones = []struct{ zone, region string }{
	{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}, {"b1", "b"}, {"b2", "b"}, {"b3", "b"}, {"b4", "b"},
	{"c1", "c"}, {"c2", "c"}, {"c3", "c"},
}

func (s *Simulation) enqueue(due units.Time, e event) {
	ms := max(int64(due)/1e6, int64(s.Now)/1e6+1)
	s.events[ms] = append(s.events[ms], e)
}

// Schedule runs a function after a delay of virtual time.
func (s *Simulation) Schedule(delay time.Duration, run func()) {
	s.enqueue(s.Now.Add(delay), event{run: run})
}

// Advance advances the virtual clock by a duration and processes the events that fall due.
func (s *Simulation) Advance(d time.Duration) {
	for end := s.Now.Add(d); s.Now < end; {
		ms := int64(s.Now)/1e6 + 1
		s.Now = units.Time(ms * 1e6)
		due := s.events[ms]
		delete(s.events, ms)
		for i := range due {
			switch e := &due[i]; {
			case e.run != nil:
				e.run()
			case e.generation == e.to.generation && e.to.running:
				e.to.receive(e.message)
			}
		}
	}
}

func (s *Simulation) usage(role membership.Role, kind message.Kind) *usage {
	u := s.usageByPart[partKey{role, kind}]
	if u == nil {
		u = &usage{}
		s.usageByPart[partKey{role, kind}] = u
	}
	return u
}

// send counts one frame and schedules its arrival. Like a real frame it is lost during a partition, and refused if the
// receiving process has stopped.
func (s *Simulation) send(from *node, msg message.Message) {
	msg.From = from.id
	to := s.byID[msg.To]
	if msg.Addr != "" {
		to = s.byAddr[msg.Addr]
	}
	size := frameHeaderBytes + len(msg.Body)
	if to != from { // a message to the node itself does not leave the process
		sent := s.usage(from.role, msg.Kind&^15)
		sent.Messages++
		sent.BytesOut += size
		from.bytesOut += size
	}
	switch {
	case to == nil || s.partitionedRegion != "" && (from.region == s.partitionedRegion) != (to.region == s.partitionedRegion):
		return
	case !to.running || msg.To != 0 && msg.To != to.id:
		if !to.running {
			s.refuseConnection(from, to.addr)
		}
		return
	case to != from:
		s.usage(to.role, msg.Kind&^15).BytesIn += size
		to.bytesIn += size
	}
	s.enqueue(s.Now.Add(s.latency(from, to)), event{to: to, generation: to.generation, message: msg})
}

// refuseConnection reports to a sender that nothing listens at an address, as the kernel does when it dials.
func (s *Simulation) refuseConnection(from *node, addr string) {
	generation := from.generation
	s.Schedule(time.Millisecond, func() {
		if from.running && from.generation == generation {
			if ended := from.membership.ConnectionRefused(s.Now, addr); len(ended) > 0 {
				from.program.processesEnded(s.Now, ended)
			}
		}
	})
}

func (s *Simulation) latency(from, to *node) time.Duration {
	d := time.Duration(s.rng.Int64N(int64(time.Millisecond)))
	switch {
	case from.region != to.region:
		return d + 40*time.Millisecond
	case from.zone != to.zone:
		return d + 2*time.Millisecond
	}
	return d
}
