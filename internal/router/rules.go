package router

import (
	"slices"
	"strings"

	"github.com/apex/log"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// rules is one configuration in force; a request keeps the ones that it began with.
type rules struct {
	*config.Config
	num units.Version
}

// table is what news and membership say, under tableMu.
type table struct {
	pools     map[string][]config.Worker
	catalog   *discovery.Catalog // what the platform was seen to list
	evacuated map[string]bool    // zones
	down      map[string]outage  // workers found dead or dark here
	watch     *capacity.RouterTracker
	peers     []capacity.Peer
	voters    register.QuorumSet
	fresh     bool
}

func newTable() table {
	return table{pools: map[string][]config.Worker{}, catalog: discovery.New(), evacuated: map[string]bool{}, down: map[string]outage{}, watch: capacity.NewRouterTracker()}
}

// refresh brings news and membership into the tables and from there to the keeper.
func (v *Router) refresh(now units.Time) {
	v.FeedMu.Lock()
	fresh := v.Feed.Changes
	v.Feed.Changes = nil
	v.FeedMu.Unlock()
	for _, it := range fresh {
		v.news(now, it)
	}
	all := v.Members()
	v.tableMu.Lock()
	defer v.tableMu.Unlock()
	t := &v.table
	t.fresh = t.fresh || len(fresh) > 0
	peers, silent := t.watch.Update(now, all)
	t.fresh = t.fresh || silent
	if !t.fresh && slices.Equal(peers, t.peers) {
		return
	}
	t.peers, t.fresh = peers, false
	r := v.rules.Load()
	if r == nil {
		return
	}
	ws := r.CapacityWorkers(t.pools, t.catalog.StartTimes(), t.evacuated)
	v.ledgerMu.Lock()
	v.ledger.SetWorkers(ws)
	v.ledger.SetRateLimits(v.Settings.Bounds.WarmUpFactor, v.Settings.Bounds.WarmUpSlack, t.watch.RateShare(now, len(peers)))
	v.ledger.SetRouters(peers, t.watch.RunDeadlines(r.MaxDeadline(false)))
	v.ledgerMu.Unlock()
}

// news applies one change whole.
func (v *Router) news(now units.Time, it configpush.Item) {
	kind, name, _ := strings.Cut(it.Key, "/")
	switch kind {
	case "config":
		c, faults := v.compile(it.Data)
		if len(faults) > 0 {
			v.Log.WithError(faults[0]).Error("a configuration that control took does not compile here")
			return
		}
		v.rules.Store(&rules{Config: c, num: it.Version})
	case "zone":
		v.zoneNews(name, it)
	case "workers":
		v.tableMu.Lock()
		pool, err := v.table.catalog.Apply(now, it.Key, it.Version, it.Data)
		v.table.pools[pool] = v.table.catalog.List(pool)
		v.tableMu.Unlock()
		if err != nil {
			v.Errors.Add(1)
			v.Log.WithError(err).Error("a worker list can't be read here")
		}
	case "voters":
		if s, err := register.UnpackQuorumSet(it.Data); err == nil {
			v.tableMu.Lock()
			v.table.voters = s
			v.tableMu.Unlock()
		}
	}
}

// zoneNews takes a zone's state. A change of it is logged with the number by which it can be told from others.
func (v *Router) zoneNews(zone string, it configpush.Item) {
	evacuated := node.ZoneEvacuated(it.Data)
	v.tableMu.Lock()
	changed := v.table.evacuated[zone] != evacuated
	v.table.evacuated[zone] = evacuated
	v.tableMu.Unlock()
	if changed {
		v.Log.WithFields(log.Fields{"zone": zone, "evacuated": evacuated, "number": it.Version}).Warn("a zone's state has changed")
	}
}

// confirm makes a starting or woken router ready once nothing newer than its news stands anywhere (design 4).
func (v *Router) confirm(now units.Time) {
	all := v.Members()
	switch core, _ := configpush.LivePeers(all, v.Self); {
	case len(core) > 0:
		v.static.Store(0)
	case v.static.Load() == 0:
		v.static.Store(int64(now))
	}
	if v.ready.Load() || v.rules.Load() == nil {
		return
	}
	v.tableMu.Lock()
	voters, known := v.table.voters.Members, len(v.table.pools) > 0
	v.tableMu.Unlock()
	if v.Adapter != nil && !known {
		return // no worker is known yet
	}
	v.FeedMu.Lock()
	ok, out := v.Feed.Confirm(now, all, v.Self, voters, v.began)
	v.FeedMu.Unlock()
	if ok {
		v.ready.Store(true)
		v.SetFlag(membership.Ready, !v.leaving())
		v.Log.Info("news confirmed: serving")
	}
	v.Deliver(out)
}

func (v *Router) unready() {
	v.ready.Store(false)
	v.SetFlag(membership.Ready, false)
	v.FeedMu.Lock()
	clear(v.Feed.Confirmations)
	v.FeedMu.Unlock()
}
