package register

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// testCluster is three voters whose messages are delivered at once and in order.
type testCluster struct {
	replicas map[units.NodeID]*Replica
	now      units.Time
	tag      uint64
	errs     []error
}

func newTestCluster() *testCluster {
	c := &testCluster{replicas: map[units.NodeID]*Replica{}, now: units.Time(time.Second)}
	for n := units.NodeID(1); n <= 3; n++ {
		c.replicas[n] = New(n, n+100)
		c.replicas[n].adoptQuorum(QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}, &message.Effects{})
	}
	return c
}

func (c *testCluster) deliver(from units.NodeID, out message.Effects) {
	c.errs = append(c.errs, out.Errors...)
	for _, msg := range append(out.Messages, out.AfterSync...) {
		if msg.From = from; c.replicas[msg.To] != nil {
			c.deliver(msg.To, c.replicas[msg.To].Step(c.now, msg))
		}
	}
}

// setOwner makes one replica regard owner, which may be itself, as the owner of every key.
func (c *testCluster) setOwner(by, owner units.NodeID) {
	c.replicas[by].SetEligible([]units.NodeID{owner})
}

// submit makes a write or a lookup through one node and returns its result, or the zero Result if there is none.
func (c *testCluster) submit(node units.NodeID, request Request) Result {
	c.tag++
	request.Tag, request.Key, request.Write = c.tag, "config", true
	c.deliver(node, c.replicas[node].Submit(c.now, request))
	for range 5 {
		for _, r := range c.replicas[node].Results {
			if r.Tag == c.tag {
				c.replicas[node].Results = nil
				return r
			}
		}
		c.now = c.now.Add(400 * time.Millisecond)
		c.deliver(node, c.replicas[node].Tick(c.now))
	}
	return Result{}
}

// expectResult submits a request and compares its result.
func (c *testCluster) expectResult(t *testing.T, what string, node units.NodeID, request Request, code resultcode.Code, version units.Version) {
	t.Helper()
	if r := c.submit(node, request); r.Code != code || r.Version != version {
		t.Errorf("%s: code %d, version %d; want code %d, version %d", what, r.Code, r.Version, code, version)
	}
}
