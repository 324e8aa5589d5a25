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

// Founders vote; the other machines that are set aside for control stand by.
const (
	VoterCount      = 5
	ControllerCount = 8
	pollGap         = 500 * time.Millisecond
)

// core is package controller without its web side, its locks and its file.
type core struct {
	n       *node
	replica *register.Replica
	duty    *lease.Lease
	iso     *antientropy.Syncer
	roll    *idempotency.Registry
	sky     *discovery.Catalog
	turn    map[string]*discovery.Schedule
	planner register.Planner
	tag     uint64
}

func newCore(n *node) *core {
	w := n.w
	c := &core{n: n, replica: register.New(n.self, units.NodeID(w.rng.Uint64())), roll: idempotency.LoadRegistry(n.self, w.Now, nil), sky: discovery.New(),
		turn: map[string]*discovery.Schedule{}, planner: register.Planner{FixedSize: VoterCount, ReplaceAfter: register.ReplaceFixedAfter}}
	c.duty = lease.New(n.self, "platform", func() []units.NodeID { return c.replica.Quorum().Members }, w.Now, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	c.iso = antientropy.New(n.self, w.Now, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	n.bull.StoredVersions = func() map[string]units.Version { return c.replica.KnownVersions() }
	return c
}

func (c *core) step(now units.Time, n message.Message) (out message.Effects) {
	switch n.Kind &^ 15 {
	case message.KindLease:
		return c.duty.Step(now, n)
	case message.KindAntiEntropy:
		return c.iso.Step(n, c.replica.States(), c.replica.Resend)
	case message.KindClaim:
		return c.roll.Step(now, n, c.replica.QuorumVersion())
	case message.KindRegister:
		out = c.replica.Step(now, n)
		c.drain(now, &out)
	}
	return out
}

func (c *core) gone(now units.Time, l []units.NodeID) {
	for _, n := range l {
		c.duty.HolderStopped(now, n)
	}
}

func (c *core) calm(units.Time) bool {
	return c.replica.Quorum().Version > 0 && (c.roll.Complete() || !c.replica.Quorum().Has(c.n.self))
}

// beat is the controller's loop, and its poller's.
func (c *core) beat(now units.Time, _ []membership.Member) message.Effects {
	m := c.n.membership
	all := m.All()
	look := register.NewControllerView(all)
	var out message.Effects
	if it := c.n.bull.Items[register.KeyQuorum]; it != nil {
		out.Append(c.replica.LearnQuorum(it.Data))
	}
	for _, it := range c.n.bull.Changes {
		if strings.HasPrefix(it.Key, discovery.KeyPrefix) {
			_, _ = c.sky.Apply(now, it.Key, it.Version, it.Data)
		}
	}
	c.n.bull.Changes = nil
	c.replica.SetEligible(look.Eligible, look.Draining...)
	c.replica.BootstrapFixed(VoterCount, look)
	c.replica.ChangeMembers(c.planner.NextMembers(now, c.replica.Quorum(), look))
	out.Append(c.replica.Tick(now))
	out.Append(c.roll.Tick(now, c.replica.Quorum()))
	c.iso.SetHealthy(c.replica.ReachesMajority(now))
	out.Append(c.iso.Tick(now, c.replica.Quorum().All(), c.replica.States()))
	voter := c.replica.Quorum().Has(c.n.self)
	m.SetFlag(membership.Voter, voter)
	m.SetFlag(membership.DiskUnfit, !c.replica.ReachesMajority(now))
	c.drain(now, &out)
	out.Append(c.duty.Tick(now, voter))
	c.poll(now, &out)
	return out
}

// poll asks the world's platform for each pool, at this node's share of the fleet's rate.
func (c *core) poll(now units.Time, out *message.Effects) {
	share := c.duty.Share(now)
	for _, p := range c.n.w.poolNames {
		t := c.turn[p]
		if t == nil {
			t = &discovery.Schedule{}
			c.turn[p] = t
		}
		if !t.Due(now, share, pollGap) {
			continue
		}
		c.n.w.Polls++
		a := c.sky.NewQuery(now, p, c.n.self, int64(1e12)+int64(now)/1e6)
		if data, news := c.sky.RecordAnswer(a, c.n.w.listed(p)); news {
			c.spread(now, configpush.Item{Key: discovery.Key(p, c.n.self), Version: a.Version, Data: data}, out)
		}
	}
}

func (c *core) drain(now units.Time, out *message.Effects) {
	for _, r := range c.replica.Results {
		c.n.w.ChangeResults[r.Code]++
	}
	c.replica.Results = nil
	fresh := c.replica.Chosen
	c.replica.Chosen = nil
	for _, x := range fresh {
		c.spread(now, configpush.Item{Key: x.Key, Version: x.Version, Data: x.Data}, out)
	}
}

func (c *core) spread(now units.Time, it configpush.Item, out *message.Effects) {
	var to []units.NodeID
	for _, m := range c.n.membership.All() {
		if m.State <= membership.Suspect && m.Node != c.n.self {
			to = append(to, m.Node)
		}
	}
	out.Append(c.n.bull.Publish(now, it, to))
}

// change writes the configuration anew, as an operator's confirmed plan does.
func (c *core) change(data []byte) {
	c.tag++
	a := register.Request{Tag: c.tag, Key: "config", Write: true, ExpectedVersion: register.AnyVersion, RequestID: units.Hex(c.n.w.rng.Uint64()), Data: data}
	c.n.timed(message.KindRegister, func() message.Effects {
		out := c.replica.Submit(c.n.w.Now, a)
		c.drain(c.n.w.Now, &out)
		return out
	})
}
