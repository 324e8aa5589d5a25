package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// modelNode is one replica with its disk. The replica is nil while the process is down.
type modelNode struct {
	id       units.NodeID
	replica  *Replica
	run      units.NodeID
	queue    []diskBatch
	disk     modelDisk
	wanted   []units.NodeID // the members that the process was last asked to change to
	lostDisk modelDisk      // what a lost disk held
	lost     bool           // the disk is gone for good: no process ever votes under this id again
}

// diskBatch is what one step gave to the disk: its messages leave once its writes are synced.
type diskBatch struct {
	writes   []message.Record
	messages []message.Message
	request  units.Version // version of the set under which the answered request was sent
}

// modelCluster is a network of replicas that delivers, loses and doubles messages as it is told.
type modelCluster struct {
	now     units.Time
	nodes   []*modelNode
	bag     []message.Message
	runs    units.NodeID // the last run id given out
	checker *modelChecker
	events  []modelEvent
}

// usualEvents is the room for the events of a run.
const usualEvents = 500

// newModelCluster starts replicas 1 to members as the first set, and spares beside them.
func newModelCluster(members, spares int) *modelCluster {
	var founders []units.NodeID
	for id := range members {
		founders = append(founders, units.NodeID(id+1))
	}
	first := firstQuorumSet(founders)
	c := &modelCluster{now: units.Time(time.Second), runs: 1000, events: make([]modelEvent, 0, usualEvents)}
	c.checker = newModelChecker(c, first)
	for id := range members + spares {
		n := &modelNode{id: units.NodeID(id + 1), disk: newModelDisk()}
		if id < members {
			n.disk.write(message.Record{Kind: RecordQuorum, Data: first.Pack()})
		}
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	return c
}

func (c *modelCluster) node(id units.NodeID) *modelNode {
	if id == 0 || int(id) > len(c.nodes) {
		return nil
	}
	return c.nodes[id-1]
}

// live gives the nodes whose process runs.
func (c *modelCluster) live() []*modelNode {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *modelNode) bool { return n.replica == nil })
}

// start begins a process that reads back what its disk holds.
func (c *modelCluster) start(n *modelNode) {
	if n.lost || n.replica != nil {
		return
	}
	c.runs++
	n.run = c.runs
	n.replica = New(n.id, n.run)
	if err := n.replica.Load(n.disk.records()); err != nil {
		c.checker.fail("load of node %d: %v", n.id, err)
	}
	c.record(modelEvent{action: "start", node: n.id})
}

// crash ends a process. Of the batches that were not synced, the first survive and the rest are gone; none of their
// messages leaves.
func (c *modelCluster) crash(n *modelNode, survive int) {
	if n.replica == nil {
		return
	}
	for i, b := range n.queue {
		if i < survive {
			n.disk.write(b.writes...)
		}
	}
	n.queue, n.replica, n.wanted = nil, nil, nil
	c.record(modelEvent{action: "crash", node: n.id})
	c.checker.durableChanged()
}

// lose ends a process and destroys its disk.
func (c *modelCluster) lose(n *modelNode) {
	if n.lost {
		return
	}
	c.crash(n, 0)
	n.lost, n.lostDisk, n.disk = true, n.disk, newModelDisk()
	c.record(modelEvent{action: "lose disk", node: n.id})
	c.checker.durableChanged()
}

// perform runs one step of a replica and takes what it gives out.
func (c *modelCluster) perform(n *modelNode, request units.Version, step func(*Replica) message.Effects) {
	if n.replica == nil {
		return
	}
	out := step(n.replica)
	for _, err := range out.Errors {
		if !expectedError(err) {
			c.checker.fail("node %d: %v", n.id, err)
		}
	}
	if len(out.Writes)+len(out.AfterSync) > 0 {
		n.queue = append(n.queue, diskBatch{out.Writes, out.AfterSync, request})
	}
	c.checker.drain(n)
	for _, m := range out.Messages {
		c.checker.prepared(m)
		c.leave(n, m, request)
	}
}

// leave puts a message on the network.
func (c *modelCluster) leave(n *modelNode, m message.Message, request units.Version) {
	m.From = n.id
	c.checker.sent(n, m, request)
	// Calls between replicas change nothing that is checked here, and would multiply the orders.
	if m.Kind != Ping && m.Kind != Pong && c.node(m.To) != nil {
		c.bag = append(c.bag, m)
	}
}

// syncOne makes the oldest batch durable, then lets its messages leave.
func (c *modelCluster) syncOne(n *modelNode) {
	if len(n.queue) == 0 {
		return
	}
	b := n.queue[0]
	n.queue = n.queue[1:]
	n.disk.write(b.writes...)
	if len(b.writes) > 0 {
		c.checker.durableChanged()
	}
	for _, m := range b.messages {
		c.leave(n, m, b.request)
	}
}

func (c *modelCluster) sync(n *modelNode) {
	for len(n.queue) > 0 {
		c.syncOne(n)
	}
}

// take removes a message from the network.
func (c *modelCluster) take(i int) message.Message {
	m := c.bag[i]
	c.bag = slices.Delete(c.bag, i, i+1)
	return m
}

// deliver gives a message to its receiver, whose disk isn't synced yet.
func (c *modelCluster) deliver(m message.Message) {
	n := c.node(m.To)
	c.record(modelEvent{action: "deliver", node: m.To, message: m})
	c.perform(n, requestVersion(m), func(r *Replica) message.Effects { return r.Step(c.now, m) })
}

// deliverOldest delivers the first messages in order, with synced disks.
func (c *modelCluster) deliverOldest(count int) {
	for ; count > 0 && len(c.bag) > 0; count-- {
		m := c.take(0)
		c.deliver(m)
		c.sync(c.node(m.To))
	}
}

func (c *modelCluster) tick(n *modelNode) {
	if n.replica == nil {
		return
	}
	c.record(modelEvent{action: "tick", node: n.id})
	c.perform(n, 0, func(r *Replica) message.Effects { return r.Tick(c.now) })
}

// round lets some time pass and ticks every live node, with synced disks.
func (c *modelCluster) round(span time.Duration) {
	c.now = c.now.Add(span)
	for _, n := range c.live() {
		c.tick(n)
		c.sync(n)
	}
}

// believe tells a node who may own keys.
func (c *modelCluster) believe(n *modelNode, eligible ...units.NodeID) {
	if n.replica == nil {
		return
	}
	c.record(modelEvent{action: "believe", node: n.id, nodes: eligible})
	n.replica.SetEligible(eligible)
}

// changeMembers asks a node for another quorum set.
func (c *modelCluster) changeMembers(n *modelNode, members []units.NodeID) {
	if n.replica == nil {
		return
	}
	c.record(modelEvent{action: "change members", node: n.id, nodes: members})
	n.wanted = members
	wantMembers(n.replica, c.now, members)
}

// resend has a node repeat its accepted value of a key to another, as repair does.
func (c *modelCluster) resend(n, to *modelNode, key string) {
	c.perform(n, 0, func(r *Replica) message.Effects { return r.Resend(to.id, key) })
}
