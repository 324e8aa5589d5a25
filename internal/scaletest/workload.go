package scaletest

import (
	"fmt"
	"strings"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// The properties of prompts. At 1,700 requests per second the mean stream time keeps 30,870 streams open, which is 48 per
// worker (490,000 tokens per second, one per stream in 63 ms).
const (
	meanStreamTime  = 18200 * time.Millisecond
	requestDeadline = 60 * time.Second
	workerSlots     = 64
	prefixCount     = 1_100_000
)

// workload is the load on the nodes of a simulation, with the results.
type workload struct {
	workers       []config.Worker
	workersByPool map[string][]int // indices in workers
	poolNames     []string
	sendRequests  bool
	claimKeys     bool
	Polls         int
	ChangeResults map[resultcode.Code]int // configuration changes by result code
	Decisions     map[resultcode.Code]int
	ClaimResults  map[resultcode.Code]int
	writtenAt     map[units.Version]units.Time
	appliedBy     map[units.Version]int // the number of routers
	MaxApplyTime  time.Duration         // the longest time from a change until the last router applied it
	configWrites  int
	nextRestart   int
}

func newWorkload(size SiteSize) *workload {
	w := &workload{workersByPool: map[string][]int{}, ChangeResults: map[resultcode.Code]int{}, Decisions: map[resultcode.Code]int{},
		ClaimResults: map[resultcode.Code]int{}, writtenAt: map[units.Version]units.Time{}, appliedBy: map[units.Version]int{}}
	for i := range size.Models {
		w.poolNames = append(w.poolNames, fmt.Sprintf("pool%02d", i))
	}
	for i := range size.Workers {
		w.addWorker(i)
	}
	return w
}

func (w *workload) addWorker(i int) {
	zone := siteZones[(i/len(w.poolNames)+i)%len(siteZones)].zone
	w.workers = append(w.workers, config.Worker{ID: fmt.Sprintf("w%04d", i), Addr: fmt.Sprintf("w%04d.%s.site.example:8000", i, zone),
		Zone: zone, Age: time.Hour})
	pool := w.poolNames[i%len(w.poolNames)]
	w.workersByPool[pool] = append(w.workersByPool[pool], i)
}

// listWorkers returns the platform's answer for one pool.
func (s *Simulation) listWorkers(pool string) []config.Worker {
	workers := make([]config.Worker, len(s.workersByPool[pool]))
	for i, index := range s.workersByPool[pool] {
		workers[i] = s.workers[index]
		workers[i].Age += time.Duration(s.Now)
	}
	return workers
}

// ConfigDocument returns a configuration document with a service for each model and a mapping for each tenant.
func ConfigDocument(models, tenants int, comment string) []byte {
	var services, mappings []string
	for i := range models {
		services = append(services, fmt.Sprintf(`{"name":"m%02d","pool":"pool%02d","cap":%d,"waitlist":%d,"warm_ms":0,"spread":4,"first_ms":160}`,
			i, i, workerSlots, 2*workerSlots))
	}
	for i := range tenants {
		mappings = append(mappings, fmt.Sprintf(`"mapping t%03d { when path = \"/v1/chat\" and header \"Tenant\" = \"tenant-%03d\" to m%02d promise talk repeat }"`, i, i, i%models))
	}
	return []byte(fmt.Sprintf("{\"services\":[%s],\n\"promises\":[{\"name\":\"talk\",\"first_ms\":710,\"deadline_ms\":%d}],\n\"layout\":[\"# %s\",\n%s]}",
		strings.Join(services, ",\n"), requestDeadline.Milliseconds(), comment, strings.Join(mappings, ",\n")))
}

// WriteConfig writes a new configuration at the first controller.
func (s *Simulation) WriteConfig() {
	s.configWrites++
	s.writtenAt[units.Version(s.configWrites)] = s.Now
	for _, n := range s.nodes {
		if n.role == membership.Controller {
			n.program.(*controller).writeConfig(ConfigDocument(s.Models, s.Tenants, fmt.Sprintf("change %d", s.configWrites)))
			return
		}
	}
}

// recordApplied records that one more router has applied a version of the configuration.
func (s *Simulation) recordApplied(version units.Version, now units.Time) {
	if s.appliedBy[version]++; s.appliedBy[version] == s.Routers {
		s.MaxApplyTime = max(s.MaxApplyTime, now.Sub(s.writtenAt[version]))
	}
}

// scheduleRequests sends requests to a router at its share of the site's request rate, as long as traffic is on.
func (r *router) scheduleRequests() {
	sim, generation := r.node.sim, r.node.generation
	meanGap := float64(sim.Routers) / sim.Rate * 1e9
	sim.Schedule(time.Duration(sim.rng.ExpFloat64()*meanGap), func() {
		if !r.node.running || r.node.generation != generation || !(sim.sendRequests || sim.claimKeys) {
			return
		}
		if sim.sendRequests && r.ready {
			r.node.runTimed(message.KindCapacity, r.submitRequest)
		}
		if sim.claimKeys && r.ready {
			r.node.runTimed(message.KindClaim, r.claimKey)
		}
		r.scheduleRequests()
	})
}

// submitRequest submits one prompt to the admission queue. No worker runs it: its permit is released after the time that
// its stream would take.
func (r *router) submitRequest() message.Effects {
	sim, now := r.node.sim, r.node.sim.Now
	service := r.config.Services[fmt.Sprintf("m%02d", sim.rng.IntN(sim.Models))]
	candidates, coordinators := r.candidates(now, service, units.Mix("prefix", fmt.Sprint(sim.rng.IntN(prefixCount))))
	r.lastTag++
	out := r.queue.Submit(now, admission.Request{Tag: r.lastTag, Policy: service.AdmissionPolicy, Candidates: candidates,
		MaxCandidates: service.PreferredCount + 4, Deadline: now.Add(requestDeadline), FirstTokenTime: service.FirstTokenTime,
		Coordinator: func(worker string) units.NodeID { return coordinators[worker] }})
	r.collectResults()
	return out
}

// claimKey claims a new idempotency key, as the router does before a prompt that must not be repeated.
func (r *router) claimKey() message.Effects {
	r.lastTag++
	key := "notice/" + units.Hex(r.lastTag)
	return r.claimant.Claim(r.node.sim.Now, r.lastTag<<8^uint64(r.node.id), key, idempotency.Holders(r.node.membership.All(), key))
}

// collectResults counts the queue's decisions and the claimant's results, and schedules the release of granted permits.
func (r *router) collectResults() {
	sim, generation := r.node.sim, r.node.generation
	for _, decision := range r.queue.Decisions {
		sim.Decisions[decision.Code]++
		if decision.Code != resultcode.OK {
			continue
		}
		streamTime := min(time.Duration(sim.rng.ExpFloat64()*float64(meanStreamTime)), requestDeadline-time.Second)
		sim.Schedule(streamTime, func() {
			if r.node.running && r.node.generation == generation {
				r.node.runTimed(message.KindCapacity, func() message.Effects { return r.queue.Done(sim.Now, decision.Tag, false) })
			}
		})
	}
	r.queue.Decisions = r.queue.Decisions[:0]
	for _, result := range r.claimant.Results {
		sim.ClaimResults[result.Code]++
	}
	r.claimant.Results = r.claimant.Results[:0]
}
