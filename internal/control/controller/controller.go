// Package controller is the control plane: state on disk, operators, the platform, news (design 1, 2, 4, 5, 9).
package controller

import (
	"fmt"
	mrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/antientropy"
	"seamshunt/internal/control/lease"
	"seamshunt/internal/control/register"
	"seamshunt/internal/listener"
	"seamshunt/internal/node"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/settings"
	"seamshunt/internal/units"
)

const recSelf uint8 = 1

// Controller is one process of the control plane.
type Controller struct {
	*node.Base
	replicaMu       sync.Mutex
	replica         *register.Replica
	claims          *idempotency.Registry // claims; under replicaMu, as what it says goes through the same queue
	waits           map[uint64]chan register.Result
	disk            disk
	leaseMu         sync.Mutex
	lease           *lease.Lease
	tag             atomic.Uint64
	plans           sync.Map // plan id to *plan
	leaving         atomic.Bool
	web             *fasthttp.Server
	polled          poll
	catalogMu       sync.Mutex // last in the lock order but for the disk queue
	catalog         *discovery.Catalog
	seeds           register.SeedBootstrap // where voters are founded from seeds and grow
	planner         register.Planner       // which replicas the quorum set is to have
	shortfall       shortfall              // what the set does not bear of what the settings ask for; under replicaMu
	born            []string               // the seeds that the disk bears
	heir            bool                   // a damaged file was set aside on this disk
	audit           chan entry             // to the one writer of the audit record
	missed          atomic.Uint64          // acknowledged changes that the audit record lacks
	syncer          *antientropy.Syncer    // under replicaMu
	adapter         *adapter.Adapter       // the outside world's names and formats; nil for the product's own
	door            fasthttp.RequestHandler
	taken           versions
	zoneOrders      zoneOrders
	abandonedOrders atomic.Uint64 // orders whose callers had left
	kept            kept          // the wire to the platform
}

// New opens the disk, and with it learns who it is. The book, if any, is the outside world that it speaks with.
func New(b *settings.Settings, book *adapter.Adapter) (*Controller, error) {
	o, err := openDisk(b)
	if err != nil {
		return nil, err
	}
	a, self := o.log, o.self
	c := &Controller{Base: node.New(b, self, membership.Controller), waits: map[uint64]chan register.Result{}, planner: newPlanner(b), catalog: discovery.New(), adapter: book}
	c.audit, c.heir = make(chan entry, 256), o.heir
	c.disk.file = a
	c.disk.wake = make(chan struct{}, 1)
	c.replica = register.New(self, node.RandomID())
	if err := c.replica.Load(a.Records()); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c.polled.stoodStill = c.WasPausedSince
	c.seeds, c.born = founding(b, a.Records()), born(a.Records())
	c.SetFlag(membership.MayVote, b.MayVote || !b.GrowVoters)
	c.SetFlag(membership.Bootstrap, b.GrowVoters && c.seeds.Participates)
	if book != nil && book.Control != nil {
		c.door = book.Control(c.Control())
	}
	c.claims = idempotency.LoadRegistry(self, c.Tasks.Now(), a.Records())
	if o.damage != nil {
		c.sayDamage(o.damage)
	}
	if o.blank {
		c.Log.Warn("a blank disk: this node has no vote yet")
	}
	c.tag.Store(uint64(node.RandomID()) >> 2)
	c.lease = lease.New(self, "platform", func() []units.NodeID { return c.voters().Members }, c.Tasks.Now(), mrand.New(mrand.NewPCG(uint64(node.RandomID()), 1)))
	c.syncer = antientropy.New(self, c.Tasks.Now(), mrand.New(mrand.NewPCG(uint64(node.RandomID()), 2)))
	c.PersistEffects = c.later
	c.MessageHandlers[message.KindAntiEntropy] = func(_ units.Time, n message.Message) {
		c.replicaMu.Lock()
		c.Deliver(c.syncer.Step(n, c.replica.States(), c.replica.Resend))
		c.replicaMu.Unlock()
	}
	c.OnResume = func(now units.Time) {
		c.leaseMu.Lock()
		c.lease.Resign()
		c.leaseMu.Unlock()
		c.replicaMu.Lock()
		c.replica.Resume(now)
		c.syncer.StartCatchUp()
		c.replicaMu.Unlock()
	}
	c.OnPeersEnded = func(now units.Time, l []units.NodeID) {
		c.leaseMu.Lock()
		for _, n := range l {
			c.lease.HolderStopped(now, n)
		}
		c.leaseMu.Unlock()
	}
	c.MessageHandlers[message.KindRegister] = c.step
	c.MessageHandlers[message.KindClaim] = func(now units.Time, n message.Message) {
		c.replicaMu.Lock()
		c.Deliver(c.claims.Step(now, n, c.replica.QuorumVersion()))
		c.replicaMu.Unlock()
	}
	c.MessageHandlers[message.KindLease] = func(now units.Time, n message.Message) {
		c.leaseMu.Lock()
		out := c.lease.Step(now, n)
		c.leaseMu.Unlock()
		c.Deliver(out)
	}
	c.Feed.StoredVersions = func() map[string]units.Version {
		c.replicaMu.Lock()
		defer c.replicaMu.Unlock()
		return c.replica.KnownVersions()
	}
	return c, nil
}

// Start opens everything and returns.
func (c *Controller) Start() error {
	ln, err := listener.Listen(c.Settings.HTTPAddr)
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	if err := c.Base.Start(); err != nil {
		ln.Close()
		return err
	}
	c.web = &fasthttp.Server{Handler: c.serve, Name: "controller", MaxRequestBodySize: 16 << 20, NoDefaultDate: true, Logger: quiet{}, Concurrency: c.MaxClientConnections()}
	c.Serve("operators", ln, func(ln net.Listener) error { return c.web.Serve(c.callersOf(ln)) })
	c.Tasks.Go(c.writer)
	c.Tasks.Go(c.recorder)
	c.Tasks.Every(50*time.Millisecond, c.beat)
	for _, p := range c.Settings.Pools {
		c.Tasks.Go(func() { c.poller(p) })
	}
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (c *Controller) voters() register.QuorumSet {
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	return c.replica.Quorum()
}

// step runs under the lock until its output is queued, so that the disk sees the order that the machine had.
func (c *Controller) step(now units.Time, n message.Message) {
	c.replicaMu.Lock()
	out := c.replica.Step(now, n)
	news := c.drain()
	c.Deliver(out)
	c.replicaMu.Unlock()
	c.spread(now, news)
}

// drain passes results to those who wait and takes what was chosen; replicaMu is held.
func (c *Controller) drain() []register.ChosenValue {
	for _, r := range c.replica.Results {
		if ch := c.waits[r.Tag]; ch != nil {
			delete(c.waits, r.Tag)
			ch <- r
		}
	}
	c.replica.Results = nil
	news := c.replica.Chosen
	c.replica.Chosen = nil
	return news
}

func (c *Controller) spread(now units.Time, news []register.ChosenValue) {
	if len(news) == 0 {
		return
	}
	var to []units.NodeID
	for _, m := range c.Members() {
		if m.State <= membership.Suspect && m.Node != c.Self {
			to = append(to, m.Node)
		}
	}
	for _, x := range news {
		c.FeedMu.Lock()
		out := c.Feed.Publish(now, configpush.Item{Key: x.Key, Version: x.Version, Data: x.Data}, to)
		c.FeedMu.Unlock()
		c.Deliver(out)
	}
}

// beat compares what is with what should be: owners, voters, founding, the duty.
func (c *Controller) beat(now units.Time) {
	all := c.Members()
	unfit := c.disk.unfit(now)
	low, full := c.tryDisk(now)
	c.SetFlag(membership.DiskFull, full)
	c.SetFlag(membership.Draining, c.leaving.Load())
	look := register.NewControllerView(all)
	c.FeedMu.Lock()
	told, fresh := c.Feed.Items[register.KeyQuorum], c.Feed.Changes
	c.Feed.Changes = nil
	c.FeedMu.Unlock()
	c.look(now, fresh)
	c.replicaMu.Lock()
	unfit = unfit || !c.replica.ReachesMajority(now)
	if told != nil {
		c.Deliver(c.replica.LearnQuorum(told.Data))
	}
	c.replica.SetEligible(look.Eligible, look.Draining...)
	c.voting(now, look)
	out := c.replica.Tick(now)
	c.claims.DiskFull = low
	out.Append(c.claims.Tick(now, c.replica.Quorum()))
	c.syncer.SetHealthy(!unfit)
	out.Append(c.syncer.Tick(now, c.replica.Quorum().All(), c.replica.States()))
	voter := c.replica.Quorum().Has(c.Self)
	seat := c.planner.SeatValidUntil(c.replica.LastMajorityContact(now))
	news := c.drain()
	c.Deliver(out)
	c.replicaMu.Unlock()
	c.SetFlag(membership.Voter, voter)
	c.SetFlag(membership.DiskUnfit, unfit)
	c.spread(now, news)
	c.leaseMu.Lock()
	c.lease.SetSeatExpiry(seat)
	d := c.lease.Tick(now, voter && !c.leaving.Load())
	c.leaseMu.Unlock()
	c.Deliver(d)
}
