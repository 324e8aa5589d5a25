// Package controller runs a node of the control plane (docs/design.md, sections 1, 2, 4, 5 and 9).
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

const recordIdentity uint8 = 1

// Controller is one control-plane process: state on disk, operators' interface, polls of the platform, pushes of updates.
type Controller struct {
	*node.Base
	replicaMu         sync.Mutex
	replica           *register.Replica
	claims            *idempotency.Registry // guarded by replicaMu, since its writes go through the same disk queue
	pendingResults    map[uint64]chan register.Result
	disk              disk
	leaseMu           sync.Mutex
	lease             *lease.Lease
	lastTag           atomic.Uint64
	plans             sync.Map // *plan by plan ID
	draining          atomic.Bool
	httpServer        *fasthttp.Server
	pollStatus        pollStatus
	catalogMu         sync.Mutex // in the lock order only the disk queue comes after it
	catalog           *discovery.Catalog
	bootstrapSeeds    register.SeedBootstrap // used where the quorum set is bootstrapped from seeds and grows
	planner           register.Planner       // chooses the members of the quorum set
	shortfall         shortfall              // the required fault tolerance that the quorum set lacks; guarded by replicaMu
	originalSeeds     []string               // the seeds of the very first start, as stored on this disk
	damageSetAside    bool                   // this disk holds a damaged log that was set aside
	auditQueue        chan auditEntry        // read by auditLoop, the only writer of the audit record
	auditMissed       atomic.Uint64          // acknowledged changes that are missing from the audit record
	syncer            *antientropy.Syncer    // guarded by replicaMu
	adapter           *adapter.Adapter       // a site's names and formats; nil for the built-in interface
	adapterHandler    fasthttp.RequestHandler
	latestConfig      parsedConfig
	zoneRequests      zoneRequestCounts
	abandonedRequests atomic.Uint64  // requests whose clients had disconnected
	platform          platformClient // keeps connections to the platform open
}

// New opens the disk, which holds the node's identity, and builds the controller. siteAdapter may be nil.
func New(nodeSettings *settings.Settings, siteAdapter *adapter.Adapter) (*Controller, error) {
	opened, err := openDisk(nodeSettings)
	if err != nil {
		return nil, err
	}
	walLog, self := opened.log, opened.self
	c := &Controller{Base: node.New(nodeSettings, self, membership.Controller), pendingResults: map[uint64]chan register.Result{}, planner: newPlanner(nodeSettings), catalog: discovery.New(), adapter: siteAdapter}
	c.auditQueue, c.damageSetAside = make(chan auditEntry, 256), opened.setAside
	c.disk.file = walLog
	c.disk.wake = make(chan struct{}, 1)
	c.replica = register.New(self, node.RandomID())
	if err := c.replica.Load(walLog.Records()); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c.pollStatus.wasPausedSince = c.WasPausedSince
	c.bootstrapSeeds, c.originalSeeds = bootstrapSeeds(nodeSettings, walLog.Records()), originalSeeds(walLog.Records())
	c.SetFlag(membership.MayVote, nodeSettings.MayVote || !nodeSettings.GrowVoters)
	c.SetFlag(membership.Bootstrap, nodeSettings.GrowVoters && c.bootstrapSeeds.Participates)
	if siteAdapter != nil && siteAdapter.Control != nil {
		c.adapterHandler = siteAdapter.Control(c.Control())
	}
	c.claims = idempotency.LoadRegistry(self, c.Tasks.Now(), walLog.Records())
	if opened.damage != nil {
		c.reportDamage(opened.damage)
	}
	if opened.uninitialized {
		c.Log.Warn("the disk is uninitialized: this node has no vote yet")
	}
	c.lastTag.Store(uint64(node.RandomID()) >> 2)
	c.lease = lease.New(self, "platform", func() []units.NodeID { return c.quorumSet().Members }, c.Tasks.Now(), mrand.New(mrand.NewPCG(uint64(node.RandomID()), 1)))
	c.syncer = antientropy.New(self, c.Tasks.Now(), mrand.New(mrand.NewPCG(uint64(node.RandomID()), 2)))
	c.PersistEffects = c.queueEffects
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
	c.MessageHandlers[message.KindRegister] = c.handleRegisterMessage
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

// Start opens the listeners, starts the loops and returns.
func (c *Controller) Start() error {
	ln, err := listener.Listen(c.Settings.HTTPAddr)
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	if err := c.Base.Start(); err != nil {
		ln.Close()
		return err
	}
	c.httpServer = &fasthttp.Server{Handler: c.serve, Name: "controller", MaxRequestBodySize: 16 << 20, NoDefaultDate: true, Logger: silentLogger{}, Concurrency: c.MaxClientConnections()}
	c.Serve("operators", ln, func(ln net.Listener) error { return c.httpServer.Serve(c.trackSendTimes(ln)) })
	c.Tasks.Go(c.diskLoop)
	c.Tasks.Go(c.auditLoop)
	c.Tasks.Every(50*time.Millisecond, c.tick)
	for _, p := range c.Settings.Pools {
		c.Tasks.Go(func() { c.pollLoop(p) })
	}
	return nil
}

type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

func (c *Controller) quorumSet() register.QuorumSet {
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	return c.replica.Quorum()
}

// handleRegisterMessage holds replicaMu until its effects are queued, so that the disk sees them in the replica's order.
func (c *Controller) handleRegisterMessage(now units.Time, n message.Message) {
	c.replicaMu.Lock()
	effects := c.replica.Step(now, n)
	chosen := c.collectResults()
	c.Deliver(effects)
	c.replicaMu.Unlock()
	c.pushUpdates(now, chosen)
}

// collectResults passes results to waiting callers and returns the values that were chosen. replicaMu must be held.
func (c *Controller) collectResults() []register.ChosenValue {
	for _, result := range c.replica.Results {
		if waiting := c.pendingResults[result.Tag]; waiting != nil {
			delete(c.pendingResults, result.Tag)
			waiting <- result
		}
	}
	c.replica.Results = nil
	chosen := c.replica.Chosen
	c.replica.Chosen = nil
	return chosen
}

func (c *Controller) pushUpdates(now units.Time, updates []register.ChosenValue) {
	if len(updates) == 0 {
		return
	}
	var targets []units.NodeID
	for _, m := range c.Members() {
		if m.State <= membership.Suspect && m.Node != c.Self {
			targets = append(targets, m.Node)
		}
	}
	for _, update := range updates {
		c.FeedMu.Lock()
		effects := c.Feed.Publish(now, configpush.Item{Key: update.Key, Version: update.Version, Data: update.Data}, targets)
		c.FeedMu.Unlock()
		c.Deliver(effects)
	}
}

// tick runs the periodic work: disk health, key owners, the quorum set, bootstrap, catch-up and the platform lease.
func (c *Controller) tick(now units.Time) {
	members := c.Members()
	unfit := c.disk.unfit(now)
	onReserve, full := c.probeDisk(now)
	c.SetFlag(membership.DiskFull, full)
	c.SetFlag(membership.Draining, c.draining.Load())
	view := register.NewControllerView(members)
	c.FeedMu.Lock()
	quorumItem, updates := c.Feed.Items[register.KeyQuorum], c.Feed.Changes
	c.Feed.Changes = nil
	c.FeedMu.Unlock()
	c.takeWorkerLists(now, updates)
	c.replicaMu.Lock()
	unfit = unfit || !c.replica.ReachesMajority(now)
	if quorumItem != nil {
		c.Deliver(c.replica.LearnQuorum(quorumItem.Data))
	}
	c.replica.SetEligible(view.Eligible, view.Draining...)
	c.updateQuorum(now, view)
	effects := c.replica.Tick(now)
	c.claims.DiskFull = onReserve
	effects.Append(c.claims.Tick(now, c.replica.Quorum()))
	c.syncer.SetHealthy(!unfit)
	effects.Append(c.syncer.Tick(now, c.replica.Quorum().All(), c.replica.States()))
	voter := c.replica.Quorum().Has(c.Self)
	seatUntil := c.planner.SeatValidUntil(c.replica.LastMajorityContact(now))
	chosen := c.collectResults()
	c.Deliver(effects)
	c.replicaMu.Unlock()
	c.SetFlag(membership.Voter, voter)
	c.SetFlag(membership.DiskUnfit, unfit)
	c.pushUpdates(now, chosen)
	c.leaseMu.Lock()
	c.lease.SetSeatExpiry(seatUntil)
	leaseEffects := c.lease.Tick(now, voter && !c.draining.Load())
	c.leaseMu.Unlock()
	c.Deliver(leaseEffects)
}
