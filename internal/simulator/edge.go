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

// Router is a simulated router.
type Router struct {
	common
	*Proc
	Host          *Host
	Config        *config.Config
	ConfigVersion units.Version
	Ready         bool
	Pools         map[string][]config.Worker
	Evacuated     map[string]bool
	sky           *discovery.Catalog
	voters        register.QuorumSet
	queue         *admission.Queue
	ledger        *capacity.Ledger
	watch         *capacity.RouterTracker
	claimant      *idempotency.Claimant
	claims        map[uint64]func(resultcode.Code, bool)
	placer        placement.Placer
	peers         []capacity.Peer
	began         units.Time
	verdict       map[uint64]func(admission.Decision)
	tag           uint64
	Draining      bool
}

// AddRouter adds a machine without a disk.
func (s *Sim) AddRouter(addr, zone string, seeds []string, edges map[*Host]*Router) *Host {
	return s.Add(addr, zone, nil, func(h *Host) *Proc {
		self := units.NodeID(s.Rng.Uint64() | 1)
		e := &Router{common: s.common(h, self, membership.Router, seeds), Host: h, Pools: map[string][]config.Worker{}, Evacuated: map[string]bool{},
			sky: discovery.New(), queue: admission.New(self), ledger: capacity.New(self), watch: capacity.NewRouterTracker(), claimant: idempotency.New(self, s.Now), claims: map[uint64]func(resultcode.Code, bool){}, began: s.Now,
			verdict: map[uint64]func(admission.Decision){}, tag: s.Rng.Uint64() >> 8}
		e.Proc = &Proc{Self: self, Step: e.step, Tick: e.tick, OnResume: func(now units.Time) {
			e.unready()
			e.queue.ProcessResumed(now)
			e.ledger = capacity.New(self)
		}, OnConnectionRefused: func(now units.Time, a string) {
			for _, n := range e.gossip.ConnectionRefused(now, a) {
				e.ledger.ProcessEnded(now, n)
				e.watch.ProcessEnded(now, n)
			}
		}}
		edges[h] = e
		return e.Proc
	})
}

func (e *Router) unready() {
	e.Ready = false
	e.gossip.SetFlag(membership.Ready, false)
	clear(e.feed.Confirmations)
}

func (e *Router) step(now units.Time, n message.Message) (out message.Effects) {
	switch n.Kind &^ 15 {
	case message.KindMembership:
		return e.gossip.Step(now, n)
	case message.KindConfigPush:
		return e.feed.Step(now, n)
	case message.KindCapacity:
		if n.Kind != capacity.Acquire && n.Kind != capacity.Release && n.Kind != capacity.Report {
			out = e.queue.Step(now, n)
		}
		if n.Kind == capacity.Acquire || n.Kind == capacity.Release || n.Kind == capacity.Report || n.Kind == capacity.ReportRequest {
			out.Append(e.ledger.Step(now, n))
		}
		e.tell()
	case message.KindClaim:
		out = e.claimant.Step(now, n)
		e.tell()
	}
	return out
}

func (e *Router) tell() {
	l := e.queue.Decisions
	e.queue.Decisions = nil
	for _, v := range l {
		if f := e.verdict[v.Tag]; f != nil {
			delete(e.verdict, v.Tag)
			f(v)
		}
	}
	results := e.claimant.Results
	e.claimant.Results = nil
	for _, r := range results {
		if f := e.claims[r.Token]; f != nil {
			delete(e.claims, r.Token)
			f(r.Code, r.Durable)
		}
	}
}

func (e *Router) tick(now units.Time) message.Effects {
	all, out := e.beat(now, e.Self)
	e.gossip.SetFlag(membership.Draining, e.Draining)
	fresh := e.feed.Changes
	e.feed.Changes = nil
	for _, it := range fresh {
		e.news(now, it)
	}
	peers, _ := e.watch.Update(now, all)
	e.peers = peers
	if e.Config != nil {
		e.ledger.SetWorkers(e.Config.CapacityWorkers(e.Pools, e.sky.StartTimes(), e.Evacuated))
		e.ledger.SetRouters(peers, e.watch.RunDeadlines(e.Config.MaxDeadline(false)))
	}
	var others []units.NodeID
	for _, m := range all {
		if m.Role == membership.Router && m.State <= membership.Suspect && m.Node != e.Self {
			others = append(others, m.Node)
		}
	}
	if e.Config != nil {
		e.claimant.SetVoters(e.voters)
		out.Append(e.claimant.Tick(now, others, e.Config.MaxDeadline(true)))
	}
	out.Append(e.queue.Tick(now))
	out.Append(e.ledger.Tick(now))
	e.tell()
	e.confirm(now, all, &out)
	return out
}

func (e *Router) news(now units.Time, it configpush.Item) {
	kind, name, _ := strings.Cut(it.Key, "/")
	switch kind {
	case "config":
		if c, faults := config.Parse(it.Data); len(faults) == 0 {
			e.Config, e.ConfigVersion = c, it.Version
		}
	case "zone":
		e.Evacuated[name] = fastjson.GetBool(it.Data, "evacuated")
	case "workers":
		if pool, err := e.sky.Apply(now, it.Key, it.Version, it.Data); err == nil {
			e.Pools[pool] = e.sky.List(pool)
		}
	case register.KeyQuorum:
		if v, err := register.UnpackQuorumSet(it.Data); err == nil {
			e.voters = v
		}
	}
}

func (e *Router) confirm(now units.Time, all []membership.Member, out *message.Effects) {
	if e.Ready || e.Draining || e.Config == nil {
		return
	}
	ok, asks := e.feed.Confirm(now, all, e.Self, e.voters.Members, e.began)
	if ok {
		e.Ready = true
		e.gossip.SetFlag(membership.Ready, true)
	}
	out.Append(asks)
}
