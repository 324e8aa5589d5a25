package simulator

import (
	"math/rand/v2"
	"slices"
	"strings"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/antientropy"
	"seamshunt/internal/control/lease"
	"seamshunt/internal/control/register"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// process is the part common to controllers and routers, like package node in the programs.
type process struct {
	gossip     *membership.Gossip
	configFeed *configpush.Feed
}

func (s *Sim) newProcess(h *Host, self units.NodeID, role membership.Role, seeds []string) process {
	me := membership.Member{Node: self, Incarnation: uint64(s.Now) + 1, Role: role, Addr: h.Addr, Zone: h.Zone}
	return process{membership.New(me, seeds, rand.New(rand.NewPCG(s.Rng.Uint64(), 3))), configpush.New(self)}
}

func (c *process) heartbeat(now units.Time, self units.NodeID) ([]membership.Member, message.Effects) {
	c.gossip.FeedDigest = c.configFeed.Digest
	out := c.gossip.Tick(now)
	all := c.gossip.All()
	out.Append(c.configFeed.PushAndPull(now, all, self))
	return all, out
}

// Controller is a simulated controller.
type Controller struct {
	process
	*Proc
	Host            *Host
	Replica         *register.Replica
	Lease           *lease.Lease
	seedBootstrap   register.SeedBootstrap
	planner         register.Planner
	fixedQuorumSize int
	Syncer          *antientropy.Syncer
	ClaimRegistry   *idempotency.Registry
	catalog         *discovery.Catalog
	pollSchedule    discovery.Schedule
	pollPlatform    func(*Controller, units.Time) // queries the simulated platform
	pendingRequests map[uint64]func(register.Result)
	lastTag         uint64
	Draining        bool
}

// AddController adds a host with a disk. controllers maps it to the controller that runs there. The quorum set is
// bootstrapped from seeds if bootstrap is not nil.
func (s *Sim) AddController(addr, zone string, fixedQuorumSize int, seeds []string, bootstrap *BootstrapSettings,
	controllers map[*Host]*Controller) *Host {
	return s.Add(addr, zone, NewDisk(), func(h *Host) *Proc {
		h.Bootstrap = bootstrap
		if g := h.Bootstrap; h.Disk.ID == 0 {
			h.Disk.ID = units.NodeID(s.Rng.Uint64() | 1)
			if g != nil && g.FirstStart && g.MayVote {
				h.Disk.InitialSeeds = slices.Clone(g.Seeds)
			}
		}
		self, seeds := h.Disk.ID, seeds
		if h.Bootstrap != nil {
			seeds = h.Bootstrap.Seeds
		}
		c := &Controller{process: s.newProcess(h, self, membership.Controller, seeds), Host: h,
			fixedQuorumSize: fixedQuorumSize, planner: quorumPlanner(h.Bootstrap, fixedQuorumSize),
			catalog: discovery.New(), pollPlatform: s.PollPlatform, pendingRequests: map[uint64]func(register.Result){}}
		c.gossip.SetFlag(membership.MayVote, h.Bootstrap == nil || h.Bootstrap.MayVote)
		if g := h.Bootstrap; g != nil {
			c.seedBootstrap = register.SeedBootstrap{Addr: h.Addr, SeedAddrs: h.Disk.InitialSeeds,
				Participates: h.Disk.InitialSeeds != nil}
			if !g.MayVote {
				c.seedBootstrap.SeedAddrs, c.seedBootstrap.Participates = slices.Clone(g.Seeds), g.FirstStart
			}
			c.gossip.SetFlag(membership.Bootstrap, c.seedBootstrap.Participates)
			g.FirstStart = false
		}
		c.Proc = &Proc{Self: self, Step: c.step, Tick: c.tick, OnConnectionRefused: func(now units.Time, a string) {
			for _, n := range c.gossip.ConnectionRefused(now, a) {
				c.Lease.HolderStopped(now, n)
			}
		},
			OnResume: func(now units.Time) {
				c.Lease.Resign()
				c.Replica.Resume(now)
				c.Syncer.StartCatchUp()
			}}
		c.Reload = func() {
			c.Replica = register.New(self, units.NodeID(s.Rng.Uint64()))
			if err := c.Replica.Load(h.Disk.Records()); err != nil {
				panic(err)
			}
			c.ClaimRegistry = idempotency.LoadRegistry(self, s.Now, h.Disk.Records())
			if c.Syncer != nil {
				c.Syncer.StartCatchUp()
			}
		}
		h.Disk.syncOnStart()
		c.Reload()
		c.Lease = lease.New(self, "platform", func() []units.NodeID { return c.Replica.Quorum().Members }, s.Now,
			rand.New(rand.NewPCG(s.Rng.Uint64(), 5)))
		c.Syncer = antientropy.New(self, s.Now, rand.New(rand.NewPCG(s.Rng.Uint64(), 6)))
		c.configFeed.StoredVersions = func() map[string]units.Version { return c.Replica.KnownVersions() }
		controllers[h] = c
		return c.Proc
	})
}

// quorumPlanner returns the planner that package controller derives from the settings.
func quorumPlanner(bootstrap *BootstrapSettings, fixedSize int) register.Planner {
	if bootstrap == nil {
		return register.Planner{FixedSize: fixedSize, ReplaceAfter: register.ReplaceFixedAfter}
	}
	return register.Planner{MinSize: 2*bootstrap.ToleratedLosses + 1, ReplaceAfter: register.ReplaceAfter}
}

func (c *Controller) step(now units.Time, m message.Message) message.Effects {
	switch m.Kind &^ 15 {
	case message.KindMembership:
		return c.gossip.Step(now, m)
	case message.KindConfigPush:
		return c.configFeed.Step(now, m)
	case message.KindLease:
		return c.Lease.Step(now, m)
	case message.KindAntiEntropy:
		return c.Syncer.Step(m, c.Replica.States(), c.Replica.Resend)
	case message.KindClaim:
		return c.ClaimRegistry.Step(now, m, c.Replica.QuorumVersion())
	case message.KindRegister:
		out := c.Replica.Step(now, m)
		c.handleResults(now, &out)
		return out
	}
	return message.Effects{}
}

func (c *Controller) tick(now units.Time) message.Effects {
	unfit := c.Host.Disk.Unfit(now) || !c.Replica.ReachesMajority(now)
	c.gossip.SetFlag(membership.DiskUnfit, unfit)
	c.gossip.SetFlag(membership.Draining, c.Draining)
	all, out := c.heartbeat(now, c.Self)
	view := register.NewControllerView(all)
	if it := c.configFeed.Items[register.KeyQuorum]; it != nil {
		out.Append(c.Replica.LearnQuorum(it.Data))
	}
	c.Replica.SetEligible(view.Eligible, view.Draining...)
	if c.Host.Bootstrap != nil {
		c.Replica.BootstrapFromSeeds(c.seedBootstrap.Proposal(now, view))
	} else {
		c.Replica.BootstrapFixed(c.fixedQuorumSize, view)
	}
	c.Replica.ChangeMembers(c.planner.NextMembers(now, c.Replica.Quorum(), view))
	out.Append(c.Replica.Tick(now))
	c.ClaimRegistry.DiskFull = c.Host.Disk.Full
	out.Append(c.ClaimRegistry.Tick(now, c.Replica.Quorum()))
	voter := c.Replica.Quorum().Has(c.Self)
	c.gossip.SetFlag(membership.Voter, voter)
	c.handleResults(now, &out)
	c.Lease.SetSeatExpiry(c.planner.SeatValidUntil(c.Replica.LastMajorityContact(now)))
	out.Append(c.Lease.Tick(now, voter && !c.Draining))
	c.Syncer.SetHealthy(!unfit)
	out.Append(c.Syncer.Tick(now, c.Replica.Quorum().All(), c.Replica.States()))
	for _, it := range c.configFeed.Changes {
		if strings.HasPrefix(it.Key, discovery.KeyPrefix) {
			_, _ = c.catalog.Apply(now, it.Key, it.Version, it.Data)
		}
	}
	c.configFeed.Changes = nil
	if c.pollPlatform != nil && !c.Draining && c.pollSchedule.Due(now, c.Lease.Share(now), pollInterval) {
		c.pollPlatform(c, now)
	}
	return out
}

func (c *Controller) handleResults(now units.Time, out *message.Effects) {
	for _, r := range c.Replica.Results {
		if f := c.pendingRequests[r.Tag]; f != nil {
			delete(c.pendingRequests, r.Tag)
			f(r)
		}
	}
	c.Replica.Results = nil
	chosen := c.Replica.Chosen
	c.Replica.Chosen = nil
	for _, x := range chosen {
		c.publish(now, configpush.Item{Key: x.Key, Version: x.Version, Data: slices.Clone(x.Data)}, out)
	}
}

func (c *Controller) publish(now units.Time, item configpush.Item, out *message.Effects) {
	var to []units.NodeID
	for _, m := range c.gossip.All() {
		if m.State <= membership.Suspect && m.Node != c.Self {
			to = append(to, m.Node)
		}
	}
	out.Append(c.configFeed.Publish(now, item, to))
}

// Submit sends an operator's request to this controller. done gets the result, or after register.RequestTimeout
// CommitUnknown for a write and NoMajority for a read.
func (c *Controller) Submit(s *Sim, request register.Request, done func(register.Result)) {
	c.lastTag++
	request.Tag = c.lastTag
	tag := request.Tag
	c.pendingRequests[tag] = done
	s.Inject(c.Host, func(now units.Time) message.Effects {
		out := c.Replica.Submit(now, request)
		c.handleResults(now, &out)
		return out
	})
	s.After(register.RequestTimeout, func() {
		if pending := c.pendingRequests[tag]; pending != nil {
			delete(c.pendingRequests, tag)
			pending(register.Result{Code: request.TimeoutCode()})
		}
	})
}
