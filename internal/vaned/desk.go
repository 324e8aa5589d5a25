package vaned

import (
	"time"

	"seamshunt/internal/forecast"
	"seamshunt/internal/gauge"
	"seamshunt/internal/units"
	"seamshunt/internal/windvane"
)

// cands asks the placement policy for the workers' order, and finds each one's keeper.
func (v *Vane) cands(now units.Time, s *forecast.Service, prefix uint64) ([]string, map[string]units.Node) {
	q := windvane.Query{Prefix: prefix, Zone: v.Boot.Zone, Spread: s.Spread}
	keepers := map[string]units.Node{}
	var over []windvane.Spot // passed over, but better than none
	v.tableMu.Lock()
	for _, x := range v.table.pools[s.Pool] {
		name := s.Name + "/" + x.ID
		if x.Leaving || v.table.out[x.Zone] || x.Service != "" && x.Service != s.Name {
			continue
		}
		keepers[name] = gauge.Keeper(v.table.peers, name, x.Zone)
		if spot := (windvane.Spot{Name: name, Zone: x.Zone}); now < v.table.down[name].until {
			over = append(over, spot)
		} else {
			q.Spots = append(q.Spots, spot)
		}
	}
	v.tableMu.Unlock()
	if len(q.Spots) == 0 {
		q.Spots = over
	}
	v.deskMu.Lock()
	for i := range q.Spots {
		if l, ok := v.desk.Loads[q.Spots[i].Name]; ok && now.Sub(l.At) < 2*time.Second {
			q.Spots[i].Load = float64(l.Lent+l.Wait)/float64(l.Cap) + float64(max(0, l.Reads-now.Sub(l.At)))/float64(time.Second)
		}
	}
	v.deskMu.Unlock()
	return v.wind.Order(s.Place, q), keepers
}

// cut gives a permit back whose run this node broke off.
func (v *Vane) cut(tag uint64) {
	v.deskMu.Lock()
	delete(v.doors, tag)
	out := v.desk.Cut(v.Crew.Now(), tag)
	v.tell(v.Crew.Now())
	v.deskMu.Unlock()
	v.Deliver(out)
}

func (v *Vane) done(tag uint64, unsure bool) {
	v.deskMu.Lock()
	delete(v.doors, tag)
	out := v.desk.Done(v.Crew.Now(), tag, unsure)
	v.tell(v.Crew.Now())
	v.deskMu.Unlock()
	v.Deliver(out)
}
