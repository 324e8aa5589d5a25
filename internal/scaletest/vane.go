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

// router is package router without its web side, its streams and its locks.
type router struct {
	n        *node
	config   *config.Config
	ready    bool
	pools    map[string][]config.Worker
	out      map[string]bool
	sky      *discovery.Catalog
	voters   register.QuorumSet
	queue    *admission.Queue
	ledger   *capacity.Ledger
	watch    *capacity.RouterTracker
	claimant *idempotency.Claimant
	placer   placement.Placer
	peers    []capacity.Peer
	fresh    bool
	began    units.Time
	tag      uint64
}

func newRouter(n *node) *router {
	return &router{n: n, pools: map[string][]config.Worker{}, out: map[string]bool{}, sky: discovery.New(), queue: admission.New(n.self),
		ledger: capacity.New(n.self), watch: capacity.NewRouterTracker(), claimant: idempotency.New(n.self, n.w.Now), began: n.w.Now, tag: n.w.rng.Uint64() >> 1}
}

func (v *router) step(now units.Time, n message.Message) (out message.Effects) {
	switch n.Kind &^ 15 {
	case message.KindCapacity:
		if n.Kind != capacity.Acquire && n.Kind != capacity.Release && n.Kind != capacity.Report {
			out = v.queue.Step(now, n)
			v.tell()
		}
		if n.Kind == capacity.Acquire || n.Kind == capacity.Release || n.Kind == capacity.Report || n.Kind == capacity.ReportRequest {
			out.Append(v.ledger.Step(now, n))
		}
	case message.KindClaim:
		out = v.claimant.Step(now, n)
		v.tell()
	}
	return out
}

func (v *router) gone(now units.Time, l []units.NodeID) {
	for _, n := range l {
		v.ledger.ProcessEnded(now, n)
		v.watch.ProcessEnded(now, n)
	}
	v.fresh = true
}

func (v *router) calm(units.Time) bool { return v.ready }

// beat is the router's loop; like the daemon's it takes membership's table anew for each of its three looks.
func (v *router) beat(now units.Time, _ []membership.Member) message.Effects {
	v.refresh(now)
	out := v.queue.Tick(now)
	v.tell()
	out.Append(v.ledger.Tick(now))
	var longest time.Duration
	if v.config != nil {
		longest = max(time.Second, v.config.MaxDeadline(true))
	}
	var peers []units.NodeID
	for _, m := range v.n.membership.All() {
		if m.Role == membership.Router && m.State <= membership.Suspect && m.Node != v.n.self {
			peers = append(peers, m.Node)
		}
	}
	v.claimant.SetVoters(v.voters)
	out.Append(v.claimant.Tick(now, peers, longest))
	v.tell()
	v.confirm(now, &out)
	return out
}

// refresh brings news and membership into the tables and, when they changed, to the keeper.
func (v *router) refresh(now units.Time) {
	fresh := v.n.bull.Changes
	v.n.bull.Changes = nil
	for _, it := range fresh {
		v.news(now, it)
	}
	v.fresh = v.fresh || len(fresh) > 0
	peers, silent := v.watch.Update(now, v.n.membership.All())
	v.fresh = v.fresh || silent
	if !v.fresh && slices.Equal(peers, v.peers) {
		return
	}
	v.peers, v.fresh = peers, false
	if v.config == nil {
		return
	}
	v.ledger.SetWorkers(v.config.CapacityWorkers(v.pools, v.sky.StartTimes(), v.out))
	v.ledger.SetRouters(peers, v.watch.RunDeadlines(v.config.MaxDeadline(false)))
}

func (v *router) news(now units.Time, it configpush.Item) {
	switch kind, _, _ := strings.Cut(it.Key, "/"); kind {
	case "config":
		if c, faults := config.Parse(it.Data); len(faults) == 0 {
			v.config = c
			v.n.w.inForce(it.Version, now)
		}
	case "workers":
		if pool, err := v.sky.Apply(now, it.Key, it.Version, it.Data); err == nil {
			v.pools[pool] = v.sky.List(pool)
		}
	case register.KeyQuorum:
		if s, err := register.UnpackQuorumSet(it.Data); err == nil {
			v.voters = s
		}
	}
}

func (v *router) confirm(now units.Time, out *message.Effects) {
	all := v.n.membership.All()
	configpush.LivePeers(all, v.n.self)
	if v.ready || v.config == nil {
		return
	}
	ok, asks := v.n.bull.Confirm(now, all, v.n.self, v.voters.Members, v.began)
	if ok {
		v.ready = true
		v.n.membership.SetFlag(membership.Ready, true)
	}
	out.Append(asks)
}

// cands is the daemon's own search for a prompt's workers and their keepers.
func (v *router) cands(now units.Time, s *config.Service, prefix uint64) ([]string, map[string]units.NodeID) {
	q := placement.Query{Prefix: prefix, Zone: v.n.zone, PreferredCount: s.PreferredCount}
	keepers := map[string]units.NodeID{}
	for _, x := range v.pools[s.Pool] {
		name := s.Name + "/" + x.ID
		if x.Draining || v.out[x.Zone] || x.Service != "" && x.Service != s.Name {
			continue
		}
		keepers[name] = capacity.Coordinator(v.peers, name, x.Zone)
		spot := placement.Candidate{Name: name, Zone: x.Zone}
		if l, ok := v.queue.Loads[name]; ok && now.Sub(l.UpdatedAt) < 2*time.Second {
			spot.Load = float64(l.InUse+l.Waiting) / float64(l.Capacity)
		}
		q.Candidates = append(q.Candidates, spot)
	}
	return v.placer.Rank(s.PlacementPolicy, q), keepers
}
