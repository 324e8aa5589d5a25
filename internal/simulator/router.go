package simulator

import (
	"strings"

	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// Router is a simulated router: the state machines of the router program.
type Router struct {
	process
	*Proc
	Host              *Host
	Config            *config.Config
	ConfigVersion     units.Version
	Ready             bool
	Pools             map[string][]config.Worker
	Evacuated         map[string]bool
	catalog           *discovery.Catalog
	quorum            register.QuorumSet
	queue             *admission.Queue
	ledger            *capacity.Ledger
	tracker           *capacity.RouterTracker
	claimant          *idempotency.Claimant
	claimCallbacks    map[uint64]func(resultcode.Code, bool)
	placer            placement.Placer
	peers             []capacity.Peer
	startedAt         units.Time
	decisionCallbacks map[uint64]func(admission.Decision)
	lastTag           uint64
	Draining          bool
}

// AddRouter adds a host without a disk.
func (s *Sim) AddRouter(addr, zone string, seeds []string, routers map[*Host]*Router) *Host {
	return s.Add(addr, zone, nil, func(h *Host) *Proc {
		self := units.NodeID(s.Rng.Uint64() | 1)
		e := &Router{process: s.newProcess(h, self, membership.Router, seeds), Host: h, Pools: map[string][]config.Worker{},
			Evacuated: map[string]bool{},
			catalog:   discovery.New(), queue: admission.New(self), ledger: capacity.New(self),
			tracker: capacity.NewRouterTracker(), claimant: idempotency.New(self, s.Now),
			claimCallbacks: map[uint64]func(resultcode.Code, bool){}, startedAt: s.Now,
			decisionCallbacks: map[uint64]func(admission.Decision){}, lastTag: s.Rng.Uint64() >> 8}
		e.Proc = &Proc{Self: self, Step: e.step, Tick: e.tick, OnResume: func(now units.Time) {
			e.markNotReady()
			e.queue.ProcessResumed(now)
			e.ledger = capacity.New(self)
		}, OnConnectionRefused: func(now units.Time, a string) {
			for _, n := range e.gossip.ConnectionRefused(now, a) {
				e.ledger.ProcessEnded(now, n)
				e.tracker.ProcessEnded(now, n)
			}
		}}
		routers[h] = e
		return e.Proc
	})
}

func (e *Router) markNotReady() {
	e.Ready = false
	e.gossip.SetFlag(membership.Ready, false)
	clear(e.configFeed.Confirmations)
}

func (e *Router) step(now units.Time, m message.Message) (out message.Effects) {
	switch m.Kind &^ 15 {
	case message.KindMembership:
		return e.gossip.Step(now, m)
	case message.KindConfigPush:
		return e.configFeed.Step(now, m)
	case message.KindCapacity:
		if m.Kind != capacity.Acquire && m.Kind != capacity.Release && m.Kind != capacity.Report {
			out = e.queue.Step(now, m)
		}
		if m.Kind == capacity.Acquire || m.Kind == capacity.Release || m.Kind == capacity.Report ||
			m.Kind == capacity.ReportRequest {
			out.Append(e.ledger.Step(now, m))
		}
		e.deliverResults()
	case message.KindClaim:
		out = e.claimant.Step(now, m)
		e.deliverResults()
	}
	return out
}

func (e *Router) deliverResults() {
	decisions := e.queue.Decisions
	e.queue.Decisions = nil
	for _, v := range decisions {
		if f := e.decisionCallbacks[v.Tag]; f != nil {
			delete(e.decisionCallbacks, v.Tag)
			f(v)
		}
	}
	results := e.claimant.Results
	e.claimant.Results = nil
	for _, r := range results {
		if f := e.claimCallbacks[r.Token]; f != nil {
			delete(e.claimCallbacks, r.Token)
			f(r.Code, r.Durable)
		}
	}
}

func (e *Router) tick(now units.Time) message.Effects {
	all, out := e.heartbeat(now, e.Self)
	e.gossip.SetFlag(membership.Draining, e.Draining)
	changes := e.configFeed.Changes
	e.configFeed.Changes = nil
	for _, it := range changes {
		e.applyChange(now, it)
	}
	peers, _ := e.tracker.Update(now, all)
	e.peers = peers
	if e.Config != nil {
		e.ledger.SetWorkers(e.Config.CapacityWorkers(e.Pools, e.catalog.StartTimes(), e.Evacuated))
		e.ledger.SetRouters(peers, e.tracker.RunDeadlines(e.Config.MaxDeadline(false)))
	}
	var others []units.NodeID
	for _, m := range all {
		if m.Role == membership.Router && m.State <= membership.Suspect && m.Node != e.Self {
			others = append(others, m.Node)
		}
	}
	if e.Config != nil {
		e.claimant.SetVoters(e.quorum)
		out.Append(e.claimant.Tick(now, others, e.Config.MaxDeadline(true)))
	}
	out.Append(e.queue.Tick(now))
	out.Append(e.ledger.Tick(now))
	e.deliverResults()
	e.confirmReady(now, all, &out)
	return out
}

func (e *Router) applyChange(now units.Time, item configpush.Item) {
	kind, name, _ := strings.Cut(item.Key, "/")
	switch kind {
	case "config":
		if parsed, faults := config.Parse(item.Data); len(faults) == 0 {
			e.Config, e.ConfigVersion = parsed, item.Version
		}
	case "zone":
		e.Evacuated[name] = fastjson.GetBool(item.Data, "evacuated")
	case "workers":
		if pool, err := e.catalog.Apply(now, item.Key, item.Version, item.Data); err == nil {
			e.Pools[pool] = e.catalog.List(pool)
		}
	case register.KeyQuorum:
		if v, err := register.UnpackQuorumSet(item.Data); err == nil {
			e.quorum = v
		}
	}
}

func (e *Router) confirmReady(now units.Time, all []membership.Member, out *message.Effects) {
	if e.Ready || e.Draining || e.Config == nil {
		return
	}
	ok, requests := e.configFeed.Confirm(now, all, e.Self, e.quorum.Members, e.startedAt)
	if ok {
		e.Ready = true
		e.gossip.SetFlag(membership.Ready, true)
	}
	out.Append(requests)
}
