package scaletest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// FullSite is the size that the system is designed for.
var FullSite = SiteSize{Routers: 400, Workers: 640, Models: 21, Tenants: 870, Rate: 1700}

// ScaledSite returns a site with this number of routers, and workers, models, tenants and requests in proportion.
func ScaledSite(routers int, seed uint64) SiteSize {
	scaled := func(x int) int { return max(1, x*routers/FullSite.Routers) }
	return SiteSize{Routers: routers, Workers: scaled(FullSite.Workers), Models: scaled(FullSite.Models), Tenants: scaled(FullSite.Tenants),
		Rate: FullSite.Rate * float64(routers) / float64(FullSite.Routers), Seed: seed}
}

// NewSimulation starts the controllers, bootstraps the control state among the voters and writes the first
// configuration. No router runs yet.
func NewSimulation(size SiteSize) (*Simulation, error) {
	s := &Simulation{SiteSize: size, rng: rand.New(rand.NewPCG(size.Seed, 17)), byID: map[units.NodeID]*node{},
		byAddr: map[string]*node{}, events: map[int64][]event{}, usageByPart: map[partKey]*usage{}, workload: newWorkload(size)}
	for i := range VoterCount {
		s.addNode(i*3, membership.Controller) // so that the controllers are spread over all regions
	}
	if !s.advanceUntil(30*time.Second, s.allOperational) {
		return nil, errors.New("scaletest: the voters did not bootstrap the control state")
	}
	for i := VoterCount; i < ControllerCount; i++ {
		s.addNode(i*3, membership.Controller)
	}
	s.Advance(3 * time.Second)
	s.WriteConfig()
	s.Advance(2 * time.Second)
	return s, nil
}

// StartRouters starts all routers at once, and returns how long it takes until all of them serve and every node has
// all others in its membership.
func (s *Simulation) StartRouters() (time.Duration, error) {
	startedAt := s.Now
	for i := range s.Routers {
		s.addNode(i, membership.Router)
	}
	if !s.advanceUntil(2*time.Minute, func() bool { return s.allOperational() && s.membershipAgrees() }) {
		return 0, fmt.Errorf("scaletest: %d routers did not all become ready in 2 minutes", s.Routers)
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

// membershipAgrees reports whether the membership of every node has exactly as many live nodes as are running.
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

// forEachRouter calls f for every running router.
func (s *Simulation) forEachRouter(f func(*router)) {
	for _, n := range s.nodes {
		if r, ok := n.program.(*router); ok && n.running {
			f(r)
		}
	}
}

// startTraffic starts requests, claims of idempotency keys or both at all routers.
func (s *Simulation) startTraffic(sendRequests, claimKeys bool) {
	s.sendRequests, s.claimKeys = sendRequests, claimKeys
	s.forEachRouter((*router).scheduleRequests)
}

// repeat schedules f at an interval for a duration, the first time after half an interval.
func (s *Simulation) repeat(interval, duration time.Duration, f func()) {
	for t := interval / 2; t < duration; t += interval {
		s.Schedule(t, f)
	}
}

// restartRouter stops one router, which announces that it leaves. A new process starts on its machine a second later.
func (s *Simulation) restartRouter() {
	n := s.nodes[ControllerCount+s.nextRestart%s.Routers]
	s.nextRestart += 7
	if !n.running {
		return
	}
	n.stop()
	s.Schedule(time.Second, n.start)
}

// replaceWorker adds one new worker to the platform's list and removes the oldest of the same pool.
func (s *Simulation) replaceWorker() {
	index := len(s.workers)
	s.addWorker(index)
	pool := s.poolNames[index%len(s.poolNames)]
	s.workersByPool[pool] = s.workersByPool[pool][1:]
}
