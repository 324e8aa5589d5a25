package register

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// cluster is three voters whose messages arrive at once and in order.
type cluster struct {
	replicas map[units.NodeID]*Replica
	now      units.Time
	tag      uint64
	errs     []error
}

func newCluster() *cluster {
	c := &cluster{replicas: map[units.NodeID]*Replica{}, now: units.Time(time.Second)}
	for n := units.NodeID(1); n <= 3; n++ {
		c.replicas[n] = New(n, n+100)
		c.replicas[n].adopt(QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}, &message.Effects{})
	}
	return c
}

func (c *cluster) deliver(from units.NodeID, out message.Effects) {
	c.errs = append(c.errs, out.Errors...)
	for _, n := range append(out.Messages, out.AfterSync...) {
		if n.From = from; c.replicas[n.To] != nil {
			c.deliver(n.To, c.replicas[n.To].Step(c.now, n))
		}
	}
}

// believe has one replica take another, or itself, for the owner of every key.
func (c *cluster) believe(by, owner units.NodeID) {
	c.replicas[by].SetEligible([]units.NodeID{owner})
}

// ask makes a write or a lookup by way of one replica and gives its result; the zero one if none comes.
func (c *cluster) ask(at units.NodeID, a Request) Result {
	c.tag++
	a.Tag, a.Key, a.Write = c.tag, "config", true
	c.deliver(at, c.replicas[at].Submit(c.now, a))
	for range 5 {
		for _, r := range c.replicas[at].Results {
			if r.Tag == c.tag {
				c.replicas[at].Results = nil
				return r
			}
		}
		c.now = c.now.Add(400 * time.Millisecond)
		c.deliver(at, c.replicas[at].Tick(c.now))
	}
	return Result{}
}

// want asks and compares.
func (c *cluster) want(t *testing.T, what string, at units.NodeID, a Request, code resultcode.Code, num units.Version) {
	t.Helper()
	if r := c.ask(at, a); r.Code != code || r.Version != num {
		t.Errorf("%s: %d, number %d; want %d, number %d", what, r.Code, r.Version, code, num)
	}
}
