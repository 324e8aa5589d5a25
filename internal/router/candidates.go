package router

import (
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// candidates asks the placement policy for the workers' order, and finds each one's keeper.
func (v *Router) candidates(now units.Time, s *config.Service, prefix uint64) ([]string, map[string]units.NodeID) {
	q := placement.Query{Prefix: prefix, Zone: v.Settings.Zone, PreferredCount: s.PreferredCount}
	keepers := map[string]units.NodeID{}
	var over []placement.Candidate // passed over, but better than none
	v.tableMu.Lock()
	for _, x := range v.table.pools[s.Pool] {
		name := s.Name + "/" + x.ID
		if x.Draining || v.table.evacuated[x.Zone] || x.Service != "" && x.Service != s.Name {
			continue
		}
		keepers[name] = capacity.Coordinator(v.table.peers, name, x.Zone)
		if spot := (placement.Candidate{Name: name, Zone: x.Zone}); now < v.table.down[name].until {
			over = append(over, spot)
		} else {
			q.Candidates = append(q.Candidates, spot)
		}
	}
	v.tableMu.Unlock()
	if len(q.Candidates) == 0 {
		q.Candidates = over
	}
	v.queueMu.Lock()
	for i := range q.Candidates {
		if l, ok := v.queue.Loads[q.Candidates[i].Name]; ok && now.Sub(l.UpdatedAt) < 2*time.Second {
			q.Candidates[i].Load = float64(l.InUse+l.Waiting)/float64(l.Capacity) + float64(max(0, l.PrefillBacklog-now.Sub(l.UpdatedAt)))/float64(time.Second)
		}
	}
	v.queueMu.Unlock()
	return v.placer.Rank(s.PlacementPolicy, q), keepers
}

// cut gives a permit back whose run this node broke off.
func (v *Router) cut(tag uint64) {
	v.queueMu.Lock()
	delete(v.waiting, tag)
	out := v.queue.Abort(v.Tasks.Now(), tag)
	v.deliverVerdicts(v.Tasks.Now())
	v.queueMu.Unlock()
	v.Deliver(out)
}

func (v *Router) done(tag uint64, unsure bool) {
	v.queueMu.Lock()
	delete(v.waiting, tag)
	out := v.queue.Done(v.Tasks.Now(), tag, unsure)
	v.deliverVerdicts(v.Tasks.Now())
	v.queueMu.Unlock()
	v.Deliver(out)
}
