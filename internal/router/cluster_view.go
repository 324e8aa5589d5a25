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

// activeConfig is the configuration in force. A request keeps the one that it started with.
type activeConfig struct {
	*config.Config
	updateVersion units.Version
}

// clusterView is the state known from updates and membership, guarded by viewMu.
type clusterView struct {
	workersByPool  map[string][]config.Worker
	catalog        *discovery.Catalog // the workers that the platform lists
	evacuatedZones map[string]bool    // by zone
	outages        map[string]outage  // workers that this node found unreachable or unresponsive, by name
	peerWatch      *capacity.RouterTracker
	peers          []capacity.Peer
	voters         register.QuorumSet
	changed        bool // since the coordinator was last updated
}

func newClusterView() clusterView {
	return clusterView{workersByPool: map[string][]config.Worker{}, catalog: discovery.New(), evacuatedZones: map[string]bool{},
		outages: map[string]outage{}, peerWatch: capacity.NewRouterTracker()}
}

// refresh applies updates and membership to the cluster view and passes changes on to the coordinator.
func (v *Router) refresh(now units.Time) {
	v.FeedMu.Lock()
	updates := v.Feed.Changes
	v.Feed.Changes = nil
	v.FeedMu.Unlock()
	for _, update := range updates {
		v.applyUpdate(now, update)
	}
	members := v.Members()
	v.viewMu.Lock()
	defer v.viewMu.Unlock()
	view := &v.view
	view.changed = view.changed || len(updates) > 0
	peers, silent := view.peerWatch.Update(now, members)
	view.changed = view.changed || silent
	if !view.changed && slices.Equal(peers, view.peers) {
		return
	}
	view.peers, view.changed = peers, false
	active := v.activeConfig.Load()
	if active == nil {
		return
	}
	workers := active.CapacityWorkers(view.workersByPool, view.catalog.StartTimes(), view.evacuatedZones)
	v.coordinatorMu.Lock()
	v.coordinator.SetWorkers(workers)
	v.coordinator.SetRateLimits(v.Settings.Bounds.WarmUpFactor, v.Settings.Bounds.WarmUpSlack, view.peerWatch.RateShare(now, len(peers)))
	v.coordinator.SetRouters(peers, view.peerWatch.RunDeadlines(active.MaxDeadline(false)))
	v.coordinatorMu.Unlock()
}

// applyUpdate applies one configuration or state update.
func (v *Router) applyUpdate(now units.Time, update configpush.Item) {
	kind, name, _ := strings.Cut(update.Key, "/")
	switch kind {
	case "config":
		parsed, faults := v.parseConfig(update.Data)
		if len(faults) > 0 {
			v.Log.WithError(faults[0]).Error("a configuration that the controllers accepted does not compile here")
			return
		}
		v.activeConfig.Store(&activeConfig{Config: parsed, updateVersion: update.Version})
	case "zone":
		v.applyZoneState(name, update)
	case "workers":
		v.viewMu.Lock()
		pool, err := v.view.catalog.Apply(now, update.Key, update.Version, update.Data)
		v.view.workersByPool[pool] = v.view.catalog.List(pool)
		v.viewMu.Unlock()
		if err != nil {
			v.Errors.Add(1)
			v.Log.WithError(err).Error("cannot decode worker list")
		}
	case "voters":
		if s, err := register.UnpackQuorumSet(update.Data); err == nil {
			v.viewMu.Lock()
			v.view.voters = s
			v.viewMu.Unlock()
		}
	}
}

// applyZoneState applies a zone's state. A change is logged with the update's version, which identifies it.
func (v *Router) applyZoneState(zone string, update configpush.Item) {
	evacuated := node.ZoneEvacuated(update.Data)
	v.viewMu.Lock()
	changed := v.view.evacuatedZones[zone] != evacuated
	v.view.evacuatedZones[zone] = evacuated
	v.viewMu.Unlock()
	if changed {
		v.Log.WithFields(log.Fields{"zone": zone, "evacuated": evacuated, "number": update.Version}).Warn("zone state changed")
	}
}

// confirmUpToDate makes a starting or resumed router ready once no newer update than its own is known anywhere
// (docs/design.md, section 4).
func (v *Router) confirmUpToDate(now units.Time) {
	members := v.Members()
	switch controllers, _ := configpush.LivePeers(members, v.Self); {
	case len(controllers) > 0:
		v.noControllerSince.Store(0)
	case v.noControllerSince.Load() == 0:
		v.noControllerSince.Store(int64(now))
	}
	if v.ready.Load() || v.activeConfig.Load() == nil {
		return
	}
	v.viewMu.Lock()
	voters, known := v.view.voters.Members, len(v.view.workersByPool) > 0
	v.viewMu.Unlock()
	if v.Adapter != nil && !known {
		return // no worker is known yet
	}
	v.FeedMu.Lock()
	ok, out := v.Feed.Confirm(now, members, v.Self, voters, v.startedAt)
	v.FeedMu.Unlock()
	if ok {
		v.ready.Store(true)
		v.SetFlag(membership.Ready, !v.draining())
		v.Log.Info("configuration confirmed up to date; serving")
	}
	v.Deliver(out)
}

// markNotReady requires the updates to be confirmed again before requests are accepted.
func (v *Router) markNotReady() {
	v.ready.Store(false)
	v.SetFlag(membership.Ready, false)
	v.FeedMu.Lock()
	clear(v.Feed.Confirmations)
	v.FeedMu.Unlock()
}
