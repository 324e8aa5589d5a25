package vaned

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"seamshunt/internal/barograph"
	"seamshunt/internal/bulletin"
	"seamshunt/internal/forecast"
	"seamshunt/internal/gauge"
	"seamshunt/internal/mast"
	"seamshunt/internal/units"
)

// rules is one configuration in force; a request keeps the ones that it began with.
type rules struct {
	*forecast.Config
	num units.Num
}

type worker struct {
	forecast.Worker
	start units.Time
}

// table is what news and membership say, under tableMu.
type table struct {
	pools  map[string][]worker
	first  map[string]units.Time // when a worker id was first seen, less its age then
	out    map[string]bool       // zones evacuated
	down   map[string]units.Time // workers found dead here, until when they are passed over
	watch  *gauge.Watch
	peers  []gauge.Peer
	voters barograph.Voters
	fresh  bool
}

func newTable() table {
	return table{pools: map[string][]worker{}, first: map[string]units.Time{}, out: map[string]bool{}, down: map[string]units.Time{}, watch: gauge.NewWatch()}
}

// refresh brings news and membership into the tables and from there to the keeper.
func (v *Vane) refresh(now units.Time) {
	v.BullMu.Lock()
	fresh := v.Bull.Fresh
	v.Bull.Fresh = nil
	v.BullMu.Unlock()
	for _, it := range fresh {
		v.news(now, it)
	}
	all := v.Members()
	v.tableMu.Lock()
	defer v.tableMu.Unlock()
	t := &v.table
	t.fresh = t.fresh || len(fresh) > 0
	peers, silent := t.watch.See(now, all)
	t.fresh = t.fresh || silent
	if !t.fresh && slices.Equal(peers, t.peers) {
		return
	}
	t.peers, t.fresh = peers, false
	ws := v.wanted()
	longest := time.Duration(0)
	if r := v.rules.Load(); r != nil {
		for _, p := range r.Promises {
			longest = max(longest, p.Longest)
		}
	}
	v.gaugeMu.Lock()
	v.gauge.Workers(ws)
	v.gauge.View(peers, t.watch.Holds(longest))
	v.gaugeMu.Unlock()
}

// wanted is what the keeper must know of every worker; tableMu is held.
func (v *Vane) wanted() map[string]gauge.Worker {
	ws := map[string]gauge.Worker{}
	r := v.rules.Load()
	if r == nil {
		return ws
	}
	for _, s := range r.Services {
		for _, w := range v.table.pools[s.Pool] {
			ws[s.Name+"/"+w.ID] = gauge.Worker{Zone: w.Zone, Cap: s.Cap, Bound: s.Waitlist, Warm: s.Warm, Start: w.start,
				Closed: w.Leaving || v.table.out[w.Zone], Adapt: s.Adapt, Floor: s.Floor, Aim: s.WaitAim, First: s.First}
		}
	}
	return ws
}

// news applies one change whole.
func (v *Vane) news(now units.Time, it bulletin.Item) {
	kind, name, _ := strings.Cut(it.Key, "/")
	switch kind {
	case "config":
		c, faults := forecast.Read(it.Data)
		if len(faults) > 0 {
			v.Log.WithError(faults[0]).Error("a configuration that control took does not compile here")
			return
		}
		v.rules.Store(&rules{Config: c, num: it.Num})
	case "zone":
		v.tableMu.Lock()
		v.table.out[name] = fastjson.GetBool(it.Data, "evacuated")
		v.tableMu.Unlock()
	case "workers":
		l, err := forecast.ReadWorkers(it.Data)
		if err != nil {
			v.Log.WithError(err).Error("a worker list that control took can't be read here")
			return
		}
		v.tableMu.Lock()
		var ws []worker
		for _, w := range l {
			at, ok := v.table.first[w.ID]
			if !ok {
				at = now.Add(-w.Age)
				v.table.first[w.ID] = at
			}
			ws = append(ws, worker{w, at})
		}
		v.table.pools[name] = ws
		v.tableMu.Unlock()
	case "voters":
		if s, err := barograph.UnpackVoters(it.Data); err == nil {
			v.tableMu.Lock()
			v.table.voters = s
			v.tableMu.Unlock()
		}
	}
}

// confirm makes a starting or woken vane ready once nothing newer than its news stands anywhere (design 4).
func (v *Vane) confirm(now units.Time) {
	all := v.Members()
	var core, peers []units.Node
	for _, m := range all {
		if m.State > mast.Suspect || m.Node == v.Self {
			continue
		}
		if m.Role == mast.Barometer {
			core = append(core, m.Node)
		} else if m.Flags&mast.Ready != 0 {
			peers = append(peers, m.Node)
		}
	}
	switch {
	case len(core) > 0:
		v.static.Store(0)
	case v.static.Load() == 0:
		v.static.Store(int64(now))
	}
	if v.ready.Load() || v.leaving.Load() || v.rules.Load() == nil {
		return
	}
	v.tableMu.Lock()
	voters := v.table.voters.IDs
	v.tableMu.Unlock()
	v.BullMu.Lock()
	ok := len(voters) > 0 && v.Bull.Confirmed(voters, len(voters)/2+1)
	if !ok && len(core) == 0 && now.Sub(v.began) > 3*time.Second && len(peers) > 0 {
		ok = v.Bull.Confirmed(peers, len(peers)/2+1)
	}
	ask := !ok && now.Sub(v.asked) > 100*time.Millisecond
	v.BullMu.Unlock()
	if ok {
		v.ready.Store(true)
		v.Flag(mast.Ready, true)
		v.Log.Info("news confirmed: serving")
		return
	}
	if ask {
		v.asked = now
		for _, n := range append(core, peers...) {
			v.Deliver(vouchNote(n))
		}
	}
}

func (v *Vane) unready() {
	v.ready.Store(false)
	v.Flag(mast.Ready, false)
	v.BullMu.Lock()
	clear(v.Bull.Vouch)
	v.BullMu.Unlock()
}
