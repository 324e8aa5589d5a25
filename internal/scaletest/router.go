package scaletest

import (
	"slices"
	"strings"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// router is package router without its HTTP interface, its streams and its locks.
type router struct {
	node           *node
	config         *config.Config
	ready          bool
	pools          map[string][]config.Worker
	evacuatedZones map[string]bool
	catalog        *discovery.Catalog
	voters         register.QuorumSet
	queue          *admission.Queue
	ledger         *capacity.Ledger
	tracker        *capacity.RouterTracker
	claimant       *idempotency.Claimant
	placer         placement.Placer
	peers          []capacity.Peer
	changed        bool // since the ledger was refreshed last
	startedAt      units.Time
	lastTag        uint64
}

func newRouter(n *node) *router {
	return &router{node: n, pools: map[string][]config.Worker{}, evacuatedZones: map[string]bool{}, catalog: discovery.New(),
		queue: admission.New(n.id), ledger: capacity.New(n.id), tracker: capacity.NewRouterTracker(),
		claimant: idempotency.New(n.id, n.sim.Now), startedAt: n.sim.Now, lastTag: n.sim.rng.Uint64() >> 1}
}

func (r *router) step(now units.Time, msg message.Message) (out message.Effects) {
	switch msg.Kind &^ 15 {
	case message.KindCapacity:
		if msg.Kind != capacity.Acquire && msg.Kind != capacity.Release && msg.Kind != capacity.Report {
			out = r.queue.Step(now, msg)
			r.collectResults()
		}
		if msg.Kind == capacity.Acquire || msg.Kind == capacity.Release || msg.Kind == capacity.Report || msg.Kind == capacity.ReportRequest {
			out.Append(r.ledger.Step(now, msg))
		}
	case message.KindClaim:
		out = r.claimant.Step(now, msg)
		r.collectResults()
	}
	return out
}

func (r *router) processesEnded(now units.Time, ended []units.NodeID) {
	for _, id := range ended {
		r.ledger.ProcessEnded(now, id)
		r.tracker.ProcessEnded(now, id)
	}
	r.changed = true
}

func (r *router) operational(units.Time) bool { return r.ready }

// tick is the router's loop. Like the daemon's it copies the membership table once for each of its three uses.
func (r *router) tick(now units.Time, _ []membership.Member) message.Effects {
	r.refreshLedger(now)
	out := r.queue.Tick(now)
	r.collectResults()
	out.Append(r.ledger.Tick(now))
	var longest time.Duration
	if r.config != nil {
		longest = max(time.Second, r.config.MaxDeadline(true))
	}
	var peers []units.NodeID
	for _, member := range r.node.membership.All() {
		if member.Role == membership.Router && member.State <= membership.Suspect && member.Node != r.node.id {
			peers = append(peers, member.Node)
		}
	}
	r.claimant.SetVoters(r.voters)
	out.Append(r.claimant.Tick(now, peers, longest))
	r.collectResults()
	r.confirmReadiness(now, &out)
	return out
}

// refreshLedger applies configuration updates and membership changes and, if anything changed, passes them on to the
// ledger of the workers that this router coordinates.
func (r *router) refreshLedger(now units.Time) {
	updates := r.node.feed.Changes
	r.node.feed.Changes = nil
	for _, item := range updates {
		r.applyUpdate(now, item)
	}
	r.changed = r.changed || len(updates) > 0
	peers, silenceChanged := r.tracker.Update(now, r.node.membership.All())
	r.changed = r.changed || silenceChanged
	if !r.changed && slices.Equal(peers, r.peers) {
		return
	}
	r.peers, r.changed = peers, false
	if r.config == nil {
		return
	}
	r.ledger.SetWorkers(r.config.CapacityWorkers(r.pools, r.catalog.StartTimes(), r.evacuatedZones))
	r.ledger.SetRouters(peers, r.tracker.RunDeadlines(r.config.MaxDeadline(false)))
}

func (r *router) applyUpdate(now units.Time, item configpush.Item) {
	switch kind, _, _ := strings.Cut(item.Key, "/"); kind {
	case "config":
		if parsed, faults := config.Parse(item.Data); len(faults) == 0 {
			r.config = parsed
			r.node.sim.recordApplied(item.Version, now)
		}
	case "workers":
		if pool, err := r.catalog.Apply(now, item.Key, item.Version, item.Data); err == nil {
			r.pools[pool] = r.catalog.List(pool)
		}
	case register.KeyQuorum:
		if voters, err := register.UnpackQuorumSet(item.Data); err == nil {
			r.voters = voters
		}
	}
}

func (r *router) confirmReadiness(now units.Time, out *message.Effects) {
	all := r.node.membership.All()
	configpush.LivePeers(all, r.node.id)
	if r.ready || r.config == nil {
		return
	}
	ready, requests := r.node.feed.Confirm(now, all, r.node.id, r.voters.Members, r.startedAt)
	if ready {
		r.ready = true
		r.node.membership.SetFlag(membership.Ready, true)
	}
	out.Append(requests)
}

// candidates returns the ranked workers for a prompt and their coordinators, found as the daemon does it.
func (r *router) candidates(now units.Time, service *config.Service, prefix uint64) ([]string, map[string]units.NodeID) {
	query := placement.Query{Prefix: prefix, Zone: r.node.zone, PreferredCount: service.PreferredCount}
	coordinators := map[string]units.NodeID{}
	for _, worker := range r.pools[service.Pool] {
		name := service.Name + "/" + worker.ID
		if worker.Draining || r.evacuatedZones[worker.Zone] || worker.Service != "" && worker.Service != service.Name {
			continue
		}
		coordinators[name] = capacity.Coordinator(r.peers, name, worker.Zone)
		candidate := placement.Candidate{Name: name, Zone: worker.Zone}
		if load, ok := r.queue.Loads[name]; ok && now.Sub(load.UpdatedAt) < 2*time.Second {
			candidate.Load = float64(load.InUse+load.Waiting) / float64(load.Capacity)
		}
		query.Candidates = append(query.Candidates, candidate)
	}
	return r.placer.Rank(service.PlacementPolicy, query), coordinators
}
