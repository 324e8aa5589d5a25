package router

import (
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// candidates asks the placement policy for the workers' order, and finds each one's keeper.
func (v *Router) candidates(now units.Time, s *config.Service, prefix uint64) ([]string, map[string]units.Node) {
	q := placement.Query{Prefix: prefix, Zone: v.Boot.Zone, Spread: s.Spread}
	keepers := map[string]units.Node{}
	var over []placement.Spot // passed over, but better than none
	v.tableMu.Lock()
	for _, x := range v.table.pools[s.Pool] {
		name := s.Name + "/" + x.ID
		if x.Leaving || v.table.evacuated[x.Zone] || x.Service != "" && x.Service != s.Name {
			continue
		}
		keepers[name] = capacity.Keeper(v.table.peers, name, x.Zone)
		if spot := (placement.Spot{Name: name, Zone: x.Zone}); now < v.table.down[name].until {
			over = append(over, spot)
		} else {
			q.Spots = append(q.Spots, spot)
		}
	}
	v.tableMu.Unlock()
	if len(q.Spots) == 0 {
		q.Spots = over
	}
	v.queueMu.Lock()
	for i := range q.Spots {
		if l, ok := v.queue.Loads[q.Spots[i].Name]; ok && now.Sub(l.At) < 2*time.Second {
			q.Spots[i].Load = float64(l.Lent+l.Wait)/float64(l.Cap) + float64(max(0, l.Reads-now.Sub(l.At)))/float64(time.Second)
		}
	}
	v.queueMu.Unlock()
	return v.placer.Order(s.Place, q), keepers
}

// cut gives a permit back whose run this node broke off.
func (v *Router) cut(tag uint64) {
	v.queueMu.Lock()
	delete(v.waiting, tag)
	out := v.queue.Cut(v.Tasks.Now(), tag)
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
