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
func ScaledSite(n int, seed uint64) SiteSize {
	part := func(x int) int { return max(1, x*n/FullSite.Routers) }
	return SiteSize{Routers: n, Workers: part(FullSite.Workers), Models: part(FullSite.Models), Tenants: part(FullSite.Tenants), Rate: FullSite.Rate * float64(n) / float64(FullSite.Routers), Seed: seed}
}

// NewSimulation founds the control state among its voters and writes the first configuration; no router runs yet.
func NewSimulation(s SiteSize) (*Simulation, error) {
	w := &Simulation{SiteSize: s, rng: rand.New(rand.NewPCG(s.Seed, 17)), byID: map[units.NodeID]*node{}, byAddr: map[string]*node{}, slots: map[int64][]event{},
		counts: map[partKey]*count{}, load: newLoad(s)}
	for i := range VoterCount {
		w.add(i*3, membership.Controller) // zones of all regions
	}
	if !w.until(30*time.Second, w.calm) {
		return nil, errors.New("hollow: the voters did not found a fleet")
	}
	for i := VoterCount; i < ControllerCount; i++ {
		w.add(i*3, membership.Controller)
	}
	w.Advance(3 * time.Second)
	w.WriteConfig()
	w.Advance(2 * time.Second)
	return w, nil
}

// StartRouters starts all routers at once, and says how long it takes until all serve and all know all.
func (w *Simulation) StartRouters() (time.Duration, error) {
	from := w.Now
	for i := range w.Routers {
		w.add(i, membership.Router)
	}
	if !w.until(2*time.Minute, func() bool { return w.calm() && w.agree() }) {
		return 0, fmt.Errorf("hollow: %d routers did not all come to serve in 2 minutes", w.Routers)
	}
	return w.Now.Sub(from), nil
}

func (w *Simulation) until(most time.Duration, ok func() bool) bool {
	for end := w.Now.Add(most); w.Now < end; {
		if w.Advance(100 * time.Millisecond); ok() {
			return true
		}
	}
	return false
}

func (w *Simulation) calm() bool {
	for _, n := range w.nodes {
		if n.up && !n.prog.calm(w.Now) {
			return false
		}
	}
	return true
}

// agree says whether every node knows every live one, and none that is not.
func (w *Simulation) agree() bool {
	up := 0
	for _, n := range w.nodes {
		if n.up {
			up++
		}
	}
	for _, n := range w.nodes {
		if n.up && len(n.membership.Live(membership.Router))+len(n.membership.Live(membership.Controller)) != up {
			return false
		}
	}
	return true
}

// each does a thing to every router that runs.
func (w *Simulation) each(f func(*router)) {
	for _, n := range w.nodes {
		if v, ok := n.prog.(*router); ok && n.up {
			f(v)
		}
	}
}

// serve opens the doors.
func (w *Simulation) serve(traffic, claims bool) {
	w.traffic, w.claims = traffic, claims
	w.each((*router).prompts)
}

// every does a thing again and again while a span lasts, first after half a gap.
func (w *Simulation) every(gap, span time.Duration, f func()) {
	for t := gap / 2; t < span; t += gap {
		w.Schedule(t, f)
	}
}

// restart stops one router with its goodbye; the next process starts on its machine a second later.
func (w *Simulation) restart() {
	n := w.nodes[ControllerCount+w.serial%w.Routers]
	w.serial += 7
	if !n.up {
		return
	}
	n.stop()
	w.Schedule(time.Second, n.start)
}

// turnover lists one new worker and takes the oldest of its pool off the list.
func (w *Simulation) turnover() {
	i := len(w.workers)
	w.join(i)
	p := w.poolNames[i%len(w.poolNames)]
	w.pool[p] = w.pool[p][1:]
}
