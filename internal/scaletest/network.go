// Package scaletest runs many nodes in one process to measure what each role costs at a size: the daemons' own step
// machines for membership, news, keepers, claims and control state, with no engine behind and frames counted instead
// of sent (docs/CAPACITY.md).
package scaletest

import (
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

const frameHeaderBytes = 24 // of a frame, as package transport lays it out

// event is a note that arrives, or a thing to do, at one millisecond of virtual time.
type event struct {
	to         *node
	generation int
	message    message.Message
	run        func()
}

// program is what a node runs on top of membership and news.
type program interface {
	step(now units.Time, n message.Message) message.Effects
	tick(now units.Time, all []membership.Member) message.Effects
	processesEnded(now units.Time, l []units.NodeID)
	operational(now units.Time) bool // it serves, or votes, or stands by
}

// usage is what one part of one role did.
type usage struct {
	Messages, BytesOut, BytesIn int
	CallTime                    time.Duration
}

type partKey struct {
	role membership.Role
	kind message.Kind // zero for ticks of the program, and for disk work
}

// Simulation is one site of hollow nodes, on a virtual clock.
type Simulation struct {
	Now               units.Time
	rng               *rand.Rand
	nodes             []*node
	byID              map[units.NodeID]*node
	byAddr            map[string]*node
	events            map[int64][]event
	usageByPart       map[partKey]*usage
	partitionedRegion string // a region that nothing gets into or out of
	DiskSyncs         int
	SyncedBytes       int // bytes of records
	SiteSize
	*workload
}

// SiteSize says how large a site is.
type SiteSize struct {
	Routers, Workers, Models, Tenants int
	Rate                              float64 // requests a second
	Seed                              uint64
}

// siteZones lays a zone out: eleven zones in three regions.
var siteZones = []struct{ zone, region string }{
	{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}, {"b1", "b"}, {"b2", "b"}, {"b3", "b"}, {"b4", "b"}, {"c1", "c"}, {"c2", "c"}, {"c3", "c"},
}

func (s *Simulation) enqueue(due units.Time, e event) {
	ms := max(int64(due)/1e6, int64(s.Now)/1e6+1)
	s.events[ms] = append(s.events[ms], e)
}

// Schedule plans a thing for a span from now.
func (s *Simulation) Schedule(delay time.Duration, run func()) {
	s.enqueue(s.Now.Add(delay), event{run: run})
}

// Advance lets virtual time go on for a span.
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

// send counts one frame and brings it to where it goes.
func (s *Simulation) send(from *node, msg message.Message) {
	msg.From = from.id
	to := s.byID[msg.To]
	if msg.Addr != "" {
		to = s.byAddr[msg.Addr]
	}
	size := frameHeaderBytes + len(msg.Body)
	if to != from { // a note to oneself never leaves the process
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

// refuseConnection tells a sender that nobody listens at an address, as the kernel does when its wire is dialled.
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
