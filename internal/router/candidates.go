package router

import (
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// candidates returns the workers in the order of the placement policy, and each one's coordinator.
func (v *Router) candidates(now units.Time, service *config.Service, prefix uint64) ([]string, map[string]units.NodeID) {
	query := placement.Query{Prefix: prefix, Zone: v.Settings.Zone, PreferredCount: service.PreferredCount}
	coordinators := map[string]units.NodeID{}
	var fallbacks []placement.Candidate // workers in an outage, used only if there is no other
	v.viewMu.Lock()
	for _, worker := range v.view.workersByPool[service.Pool] {
		name := service.Name + "/" + worker.ID
		if worker.Draining || v.view.evacuatedZones[worker.Zone] || worker.Service != "" && worker.Service != service.Name {
			continue
		}
		coordinators[name] = capacity.Coordinator(v.view.peers, name, worker.Zone)
		if spot := (placement.Candidate{Name: name, Zone: worker.Zone}); now < v.view.outages[name].until {
			fallbacks = append(fallbacks, spot)
		} else {
			query.Candidates = append(query.Candidates, spot)
		}
	}
	v.viewMu.Unlock()
	if len(query.Candidates) == 0 {
		query.Candidates = fallbacks
	}
	v.queueMu.Lock()
	for i := range query.Candidates {
		if load, ok := v.queue.Loads[query.Candidates[i].Name]; ok && now.Sub(load.UpdatedAt) < 2*time.Second {
			query.Candidates[i].Load = float64(load.InUse+load.Waiting)/float64(load.Capacity) +
				float64(max(0, load.PrefillBacklog-now.Sub(load.UpdatedAt)))/float64(time.Second)
		}
	}
	v.queueMu.Unlock()
	return v.placer.Rank(service.PlacementPolicy, query), coordinators
}

// releaseAborted returns the permit of a run that this node aborted, or withdraws its admission request.
func (v *Router) releaseAborted(tag uint64) {
	v.queueMu.Lock()
	delete(v.pendingAdmissions, tag)
	out := v.queue.Abort(v.Tasks.Now(), tag)
	v.deliverDecisions(v.Tasks.Now())
	v.queueMu.Unlock()
	v.Deliver(out)
}

// release returns the permit of an attempt that has ended. If the outcome is unknown, the worker may still be running it.
func (v *Router) release(tag uint64, outcomeUnknown bool) {
	v.queueMu.Lock()
	delete(v.pendingAdmissions, tag)
	out := v.queue.Done(v.Tasks.Now(), tag, outcomeUnknown)
	v.deliverDecisions(v.Tasks.Now())
	v.queueMu.Unlock()
	v.Deliver(out)
}
