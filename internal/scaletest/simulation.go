package scaletest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// FullSite is the size to design for.
var FullSite = SiteSize{Routers: 400, Workers: 640, Models: 21, Tenants: 870, Rate: 1700}

// ScaledSite is a site of n routers with its share of all that grows with a site: workers, models, tenants and requests.
func ScaledSite(routers int, seed uint64) SiteSize {
	scaled := func(x int) int { return max(1, x*routers/FullSite.Routers) }
	return SiteSize{Routers: routers, Workers: scaled(FullSite.Workers), Models: scaled(FullSite.Models), Tenants: scaled(FullSite.Tenants), Rate: FullSite.Rate * float64(routers) / float64(FullSite.Routers), Seed: seed}
}

// NewSimulation founds the control state among its voters and writes the first configuration; no router runs yet.
func NewSimulation(size SiteSize) (*Simulation, error) {
	s := &Simulation{SiteSize: size, rng: rand.New(rand.NewPCG(size.Seed, 17)), byID: map[units.NodeID]*node{}, byAddr: map[string]*node{}, events: map[int64][]event{},
		usageByPart: map[partKey]*usage{}, workload: newWorkload(size)}
	for i := range VoterCount {
		s.addNode(i*3, membership.Controller) // zones of all regions
	}
	if !s.advanceUntil(30*time.Second, s.allOperational) {
		return nil, errors.New("hollow: the voters did not found a fleet")
	}
	for i := VoterCount; i < ControllerCount; i++ {
		s.addNode(i*3, membership.Controller)
	}
	s.Advance(3 * time.Second)
	s.WriteConfig()
	s.Advance(2 * time.Second)
	return s, nil
}

// StartRouters starts all routers at once, and says how long it takes until all serve and all know all.
func (s *Simulation) StartRouters() (time.Duration, error) {
	startedAt := s.Now
	for i := range s.Routers {
		s.addNode(i, membership.Router)
	}
	if !s.advanceUntil(2*time.Minute, func() bool { return s.allOperational() && s.membershipAgrees() }) {
		return 0, fmt.Errorf("hollow: %d routers did not all come to serve in 2 minutes", s.Routers)
	}
	return s.Now.Sub(startedAt), nil
}

func (s *Simulation) advanceUntil(limit time.Duration, done func() bool) bool {
	for end := s.Now.Add(limit); s.Now < end; {
		if s.Advance(100 * time.Millisecond); done() {
			return true
		}
	}
	return false
}

func (s *Simulation) allOperational() bool {
	for _, n := range s.nodes {
		if n.running && !n.program.operational(s.Now) {
			return false
		}
	}
	return true
}

// membershipAgrees says whether every node knows every live one, and none that is not.
func (s *Simulation) membershipAgrees() bool {
	running := 0
	for _, n := range s.nodes {
		if n.running {
			running++
		}
	}
	for _, n := range s.nodes {
		if n.running && len(n.membership.Live(membership.Router))+len(n.membership.Live(membership.Controller)) != running {
			return false
		}
	}
	return true
}

// forEachRouter does a thing to every router that runs.
func (s *Simulation) forEachRouter(f func(*router)) {
	for _, n := range s.nodes {
		if r, ok := n.program.(*router); ok && n.running {
			f(r)
		}
	}
}

// startTraffic opens the doors.
func (s *Simulation) startTraffic(sendRequests, claimKeys bool) {
	s.sendRequests, s.claimKeys = sendRequests, claimKeys
	s.forEachRouter((*router).scheduleRequests)
}

// repeat does a thing again and again while a span lasts, first after half a gap.
func (s *Simulation) repeat(interval, duration time.Duration, f func()) {
	for t := interval / 2; t < duration; t += interval {
		s.Schedule(t, f)
	}
}

// restartRouter stops one router with its goodbye; the next process starts on its machine a second later.
func (s *Simulation) restartRouter() {
	n := s.nodes[ControllerCount+s.nextRestart%s.Routers]
	s.nextRestart += 7
	if !n.running {
		return
	}
	n.stop()
	s.Schedule(time.Second, n.start)
}

// replaceWorker lists one new worker and takes the oldest of its pool off the list.
func (s *Simulation) replaceWorker() {
	index := len(s.workers)
	s.addWorker(index)
	pool := s.poolNames[index%len(s.poolNames)]
	s.workersByPool[pool] = s.workersByPool[pool][1:]
}
