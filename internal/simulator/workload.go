package simulator

import (
	"fmt"
	"strings"
	"time"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// worker is a simulated worker. It records the requests that actually run on it.
type worker struct {
	unresponsive         bool // accepts requests and neither answers nor notices disconnects
	id                   string
	zone                 string
	running              bool
	startedAt            units.Time
	drainingSince        units.Time
	lastRunAfterDraining time.Duration // delay of the last run that started after it was marked as draining
	restartKnownAt       units.Time    // until then routers may not know of its restart at the same address
	runs                 map[*run]bool
}

type run struct {
	router     *Router
	tag        uint64
	generation int
	end        units.Time
}

// GenerateLoad sends client requests at the current rate from now on.
func (w *World) GenerateLoad() {
	if w.requestRate > 0 {
		w.sendRequest()
		w.After(time.Duration(w.Rng.ExpFloat64()/w.requestRate*1e9), w.GenerateLoad)
		return
	}
	w.After(100*time.Millisecond, w.GenerateLoad)
}

// sendRequest sends one request to a random ready router.
func (w *World) sendRequest() {
	var ready []*Router
	for _, h := range w.routerHosts {
		if router := w.routers[h]; w.alive(h) && router.Ready && !router.Draining && !router.Evacuated[h.Zone] {
			ready = append(ready, router)
		}
	}
	if len(ready) == 0 {
		w.Stats.Unroutable++
		return
	}
	router := ready[w.Rng.IntN(len(ready))]
	w.checkConfigIsCurrent(router)
	timeLimit := []time.Duration{6 * time.Second, 4 * time.Second, 20 * time.Second}[w.Rng.IntN(3)]
	if timeLimit != 4*time.Second {
		w.admit(router, w.Now.Add(timeLimit), w.drawPrefix(), "")
		return
	}
	w.lastSerial++
	key := fmt.Sprintf("key%d", w.lastSerial)
	w.submitNonRepeatable(router, key)
	if copyKind := w.Rng.IntN(3); copyKind < 2 {
		// The client sends a copy through another router, at once or later; its process may have been restarted by then.
		h := pick(w, ready).Host
		w.After(time.Duration(w.Rng.Int64N(int64(5+40*copyKind)*int64(time.Second))), func() {
			if o := w.routers[h]; w.alive(h) && o.Ready && !o.Draining {
				w.submitNonRepeatable(o, key)
			}
		})
	}
}

// drawPrefix picks the prefix of a request.
func (w *World) drawPrefix() int {
	if w.hotPrefixShare > 0 && w.Rng.Float64() < w.hotPrefixShare {
		return 0
	}
	return w.Rng.IntN(40)
}

// submitNonRepeatable claims the idempotency key of a request that must not run twice, then admits the request.
func (w *World) submitNonRepeatable(router *Router, key string) {
	router.lastTag++
	token := router.lastTag<<8 ^ uint64(router.Self)
	deadline := w.Now.Add(4 * time.Second)
	holders := idempotency.Holders(router.gossip.All(), key)
	router.claimCallbacks[token] = func(c resultcode.Code, durable bool) {
		if w.Stats.Claims++; c == resultcode.ClaimFailed {
			w.Stats.FailedClaims++
		}
		if c == resultcode.OK && !durable {
			if _, ok := w.nonDurableClaimAt[key]; !ok { // the claim of the first copy is the one that may be lost
				w.nonDurableClaimAt[key] = w.Now
			}
			w.Stats.NonDurableClaims++
		}
		switch {
		case c == resultcode.OK && w.Now < deadline:
			w.admit(router, deadline, w.drawPrefix(), key)
		case c == resultcode.OK || c == resultcode.KeySpent:
			w.reportNotRun(router, key)
		}
	}
	out := router.claimant.Claim(w.Now, token, key, holders)
	router.deliverResults()
	w.apply(router.Host, out)
}

// reportNotRun handles a refusal: the client learns that the request did not run, and the key is marked spent.
func (w *World) reportNotRun(router *Router, key string) {
	w.Stats.Refused++
	if key == "" {
		return
	}
	if w.runsByKey[key] > 0 && !w.claimMayBeLost(key) {
		w.reportViolation("%s was reported as not run, but had run", key)
	}
	w.reportedNotRun[key] = true
	w.apply(router.Host, router.claimant.Spend(key, idempotency.Holders(router.gossip.All(), key)))
}

func (w *World) admit(router *Router, deadline units.Time, prefix int, key string) {
	service := router.Config.Services["advice"]
	query := placement.Query{Prefix: units.Mix("topic", fmt.Sprint(prefix)), Zone: router.Host.Zone,
		PreferredCount: service.PreferredCount}
	coordinators := map[string]units.NodeID{}
	for _, candidate := range router.Pools[service.Pool] {
		name := service.Name + "/" + candidate.ID
		if candidate.Draining || router.Evacuated[candidate.Zone] || candidate.Service != "" &&
			candidate.Service != service.Name {
			continue
		}
		load := 0.0
		if l, ok := router.queue.Loads[name]; ok && w.Now.Sub(l.UpdatedAt) < 2*time.Second {
			load = float64(l.InUse+l.Waiting) / float64(l.Capacity)
		}
		query.Candidates = append(query.Candidates, placement.Candidate{Name: name, Zone: candidate.Zone, Load: load})
		coordinators[name] = capacity.Coordinator(router.peers, name, candidate.Zone)
	}
	router.lastTag++
	tag := router.lastTag
	router.decisionCallbacks[tag] = func(decision admission.Decision) {
		w.handleDecision(router, tag, deadline, key,
			decision)
	}
	out := router.queue.Submit(w.Now, admission.Request{Tag: tag, Policy: service.AdmissionPolicy,
		Candidates: router.placer.Rank(service.PlacementPolicy, query), MaxCandidates: service.PreferredCount + 4,
		Deadline:       deadline,
		FirstTokenTime: service.FirstTokenTime, Coordinator: func(n string) units.NodeID { return coordinators[n] }})
	router.deliverResults()
	w.apply(router.Host, out)
}

func (w *World) handleDecision(router *Router, tag uint64, deadline units.Time, key string, decision admission.Decision) {
	if decision.Code != resultcode.OK {
		w.reportNotRun(router, key)
		return
	}
	_, workerID, _ := strings.Cut(decision.Worker, "/")
	target := w.workers[workerID]
	if target == nil || !target.running || !w.alive(router.Host) {
		w.finishRun(router, tag, false)
		return
	}
	if workerClosed(router, workerID) {
		w.finishRun(router, tag, false) // the router program checks once more before the dispatch
		return
	}
	if key != "" {
		w.runsByKey[key]++
		if (w.runsByKey[key] > 1 || w.reportedNotRun[key]) && !w.claimMayBeLost(key) {
			w.reportViolation("%s ran %d times, reported as not run: %v", key, w.runsByKey[key], w.reportedNotRun[key])
		}
	}
	w.startRun(router, tag, deadline, target)
}

func workerClosed(router *Router, id string) bool {
	for _, listed := range router.Pools["main"] {
		if listed.ID == id {
			return listed.Draining || router.Evacuated[listed.Zone]
		}
	}
	return true
}

// startRun starts a run on a worker and checks the worker's limits.
func (w *World) startRun(router *Router, tag uint64, deadline units.Time, target *worker) {
	duration := 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(1800*time.Millisecond)))
	if target.unresponsive {
		duration = time.Hour
	}
	r := &run{router: router, tag: tag, generation: router.Host.generation, end: min(w.Now.Add(duration), deadline)}
	target.runs[r] = true
	w.Stats.Runs++
	if router.Host.Zone != target.zone {
		w.Stats.CrossZone++
	}
	w.checkRunStart(router, target)
	generation := router.Host.generation
	var finish func()
	finish = func() {
		switch {
		case router.Host.generation != generation:
			// The router ended: the worker notices the closed connection.
			delete(target.runs, r)
		case router.Host.Paused:
			delete(target.runs, r) // the worker has finished; the router learns of it when it resumes
			w.After(50*time.Millisecond, finish)
		default:
			delete(target.runs, r)
			w.finishRun(router, tag, !target.running && router.Host.Isolated)
		}
	}
	w.At(r.end, finish)
	var watchRouter func()
	watchRouter = func() {
		if target.runs[r] && router.Host.generation != generation {
			w.After(100*time.Millisecond, func() { delete(target.runs, r) })
		} else if target.runs[r] {
			w.After(100*time.Millisecond, watchRouter)
		}
	}
	w.After(100*time.Millisecond, watchRouter)
}

func (w *World) finishRun(router *Router, tag uint64, outcomeUnknown bool) {
	out := router.queue.Done(w.Now, tag, outcomeUnknown)
	router.deliverResults()
	w.apply(router.Host, out)
}

// claimMayBeLost reports whether a key was claimed without the controllers' disks and all processes were lost after that.
func (w *World) claimMayBeLost(key string) bool {
	at, ok := w.nonDurableClaimAt[key]
	return ok && w.allLostAt > at
}
