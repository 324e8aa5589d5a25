package scaletest

import (
	"math/rand/v2"
	"strings"
	"time"

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

// The first VoterCount controllers of a site vote; the others are on standby.
const (
	VoterCount      = 5
	ControllerCount = 8
	pollInterval    = 500 * time.Millisecond
)

// controller runs the state machines of package controller without its HTTP interface, locks and disk.
type controller struct {
	node          *node
	replica       *register.Replica
	lease         *lease.Lease
	syncer        *antientropy.Syncer
	claims        *idempotency.Registry
	catalog       *discovery.Catalog
	pollSchedules map[string]*discovery.Schedule
	planner       register.Planner
	lastTag       uint64
}

func newController(n *node) *controller {
	sim := n.sim
	c := &controller{node: n, replica: register.New(n.id, units.NodeID(sim.rng.Uint64())),
		claims: idempotency.LoadRegistry(n.id, sim.Now, nil), catalog: discovery.New(), pollSchedules: map[string]*discovery.Schedule{},
		planner: register.Planner{FixedSize: VoterCount, ReplaceAfter: register.ReplaceFixedAfter}}
	c.lease = lease.New(n.id, "platform", func() []units.NodeID { return c.replica.Quorum().Members }, sim.Now,
		rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))
	c.syncer = antientropy.New(n.id, sim.Now, rand.New(rand.NewPCG(sim.rng.Uint64(), 2)))
	n.feed.StoredVersions = func() map[string]units.Version { return c.replica.KnownVersions() }
	return c
}

func (c *controller) step(now units.Time, msg message.Message) (out message.Effects) {
	switch msg.Kind &^ 15 {
	case message.KindLease:
		return c.lease.Step(now, msg)
	case message.KindAntiEntropy:
		return c.syncer.Step(msg, c.replica.States(), c.replica.Resend)
	case message.KindClaim:
		return c.claims.Step(now, msg, c.replica.QuorumVersion())
	case message.KindRegister:
		out = c.replica.Step(now, msg)
		c.collectResults(now, &out)
	}
	return out
}

func (c *controller) processesEnded(now units.Time, ended []units.NodeID) {
	for _, id := range ended {
		c.lease.HolderStopped(now, id)
	}
}

func (c *controller) operational(units.Time) bool {
	return c.replica.Quorum().Version > 0 && (c.claims.Complete() || !c.replica.Quorum().Has(c.node.id))
}

// tick is the controller's loop, including that of its platform poller.
func (c *controller) tick(now units.Time, _ []membership.Member) message.Effects {
	members := c.node.membership
	all := members.All()
	view := register.NewControllerView(all)
	var out message.Effects
	if item := c.node.feed.Items[register.KeyQuorum]; item != nil {
		out.Append(c.replica.LearnQuorum(item.Data))
	}
	for _, item := range c.node.feed.Changes {
		if strings.HasPrefix(item.Key, discovery.KeyPrefix) {
			_, _ = c.catalog.Apply(now, item.Key, item.Version, item.Data)
		}
	}
	c.node.feed.Changes = nil
	c.replica.SetEligible(view.Eligible, view.Draining...)
	c.replica.BootstrapFixed(VoterCount, view)
	c.replica.ChangeMembers(c.planner.NextMembers(now, c.replica.Quorum(), view))
	out.Append(c.replica.Tick(now))
	out.Append(c.claims.Tick(now, c.replica.Quorum()))
	c.syncer.SetHealthy(c.replica.ReachesMajority(now))
	out.Append(c.syncer.Tick(now, c.replica.Quorum().All(), c.replica.States()))
	voter := c.replica.Quorum().Has(c.node.id)
	members.SetFlag(membership.Voter, voter)
	members.SetFlag(membership.DiskUnfit, !c.replica.ReachesMajority(now))
	c.collectResults(now, &out)
	out.Append(c.lease.Tick(now, voter))
	c.pollPlatform(now, &out)
	return out
}

// pollPlatform polls the simulated platform for each pool, at this node's share of the site's poll rate.
func (c *controller) pollPlatform(now units.Time, out *message.Effects) {
	share := c.lease.Share(now)
	for _, pool := range c.node.sim.poolNames {
		schedule := c.pollSchedules[pool]
		if schedule == nil {
			schedule = &discovery.Schedule{}
			c.pollSchedules[pool] = schedule
		}
		if !schedule.Due(now, share, pollInterval) {
			continue
		}
		c.node.sim.Polls++
		query := c.catalog.NewQuery(now, pool, c.node.id, int64(1e12)+int64(now)/1e6)
		if data, changed := c.catalog.RecordAnswer(query, c.node.sim.listWorkers(pool)); changed {
			c.publish(now, configpush.Item{Key: discovery.Key(pool, c.node.id), Version: query.Version, Data: data}, out)
		}
	}
}

// collectResults counts the outcomes of configuration changes and publishes the values that the register has chosen.
func (c *controller) collectResults(now units.Time, out *message.Effects) {
	for _, result := range c.replica.Results {
		c.node.sim.ChangeResults[result.Code]++
	}
	c.replica.Results = nil
	chosen := c.replica.Chosen
	c.replica.Chosen = nil
	for _, value := range chosen {
		c.publish(now, configpush.Item{Key: value.Key, Version: value.Version, Data: value.Data}, out)
	}
}

func (c *controller) publish(now units.Time, item configpush.Item, out *message.Effects) {
	var to []units.NodeID
	for _, member := range c.node.membership.All() {
		if member.State <= membership.Suspect && member.Node != c.node.id {
			to = append(to, member.Node)
		}
	}
	out.Append(c.node.feed.Publish(now, item, to))
}

// writeConfig writes a new configuration, as an operator's confirmed plan does.
func (c *controller) writeConfig(data []byte) {
	c.lastTag++
	request := register.Request{Tag: c.lastTag, Key: "config", Write: true, ExpectedVersion: register.AnyVersion,
		RequestID: units.Hex(c.node.sim.rng.Uint64()), Data: data}
	c.node.runTimed(message.KindRegister, func() message.Effects {
		out := c.replica.Submit(c.node.sim.Now, request)
		c.collectResults(c.node.sim.Now, &out)
		return out
	})
}
