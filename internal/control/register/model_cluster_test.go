package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// modelNode is one replica with its disk. The replica is nil while the process is down.
type modelNode struct {
	id            units.NodeID
	replica       *Replica
	run           units.NodeID
	syncQueue     []diskBatch
	disk          modelDisk
	targetMembers []units.NodeID // the members that were last requested at the process
	lostDisk      modelDisk      // contents of the disk when it was lost
	lost          bool           // the disk is lost for good: no process ever votes under this id again
}

// diskBatch is the output of one step that waits for the disk: its messages leave once its writes are synced.
type diskBatch struct {
	writes   []message.Record
	messages []message.Message
	request  units.Version // version of the set under which the answered request was sent
}

// modelCluster is a network of replicas in which the test decides which messages are delivered, lost or duplicated.
type modelCluster struct {
	now      units.Time
	nodes    []*modelNode
	inFlight []message.Message
	lastRun  units.NodeID // the last run id that was assigned
	checker  *modelChecker
	events   []modelEvent
}

// usualEvents is the initial capacity for the events of a run.
const usualEvents = 500

// newModelCluster starts replicas 1 to members as the first quorum set, and spares further replicas.
func newModelCluster(members, spares int) *modelCluster {
	var initialMembers []units.NodeID
	for id := range members {
		initialMembers = append(initialMembers, units.NodeID(id+1))
	}
	first := initialQuorumSet(initialMembers)
	c := &modelCluster{now: units.Time(time.Second), lastRun: 1000, events: make([]modelEvent, 0, usualEvents)}
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

// liveNodes returns the nodes whose process is running.
func (c *modelCluster) liveNodes() []*modelNode {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *modelNode) bool { return n.replica == nil })
}

// start starts a process that loads the contents of its disk.
func (c *modelCluster) start(n *modelNode) {
	if n.lost || n.replica != nil {
		return
	}
	c.lastRun++
	n.run = c.lastRun
	n.replica = New(n.id, n.run)
	if err := n.replica.Load(n.disk.compactedRecords()); err != nil {
		c.checker.fail("load of node %d: %v", n.id, err)
	}
	c.record(modelEvent{action: "start", node: n.id})
}

// crash ends a process. Of the unsynced batches, the first survive are written and the rest are lost; none of their
// messages is sent.
func (c *modelCluster) crash(n *modelNode, survive int) {
	if n.replica == nil {
		return
	}
	for i, b := range n.syncQueue {
		if i < survive {
			n.disk.write(b.writes...)
		}
	}
	n.syncQueue, n.replica, n.targetMembers = nil, nil, nil
	c.record(modelEvent{action: "crash", node: n.id})
	c.checker.checkDurability()
}

// loseDisk ends a process and destroys its disk.
func (c *modelCluster) loseDisk(n *modelNode) {
	if n.lost {
		return
	}
	c.crash(n, 0)
	n.lost, n.lostDisk, n.disk = true, n.disk, newModelDisk()
	c.record(modelEvent{action: "lose disk", node: n.id})
	c.checker.checkDurability()
}

// perform runs one step of a replica and processes its effects.
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
		n.syncQueue = append(n.syncQueue, diskBatch{out.Writes, out.AfterSync, request})
	}
	c.checker.collectOutputs(n)
	for _, m := range out.Messages {
		c.checker.checkAccept(m)
		c.sendMessage(n, m, request)
	}
}

// sendMessage puts a message on the network.
func (c *modelCluster) sendMessage(n *modelNode, m message.Message, request units.Version) {
	m.From = n.id
	c.checker.checkSent(n, m, request)
	// Pings and pongs change nothing that is checked here, and would multiply the number of schedules.
	if m.Kind != Ping && m.Kind != Pong && c.node(m.To) != nil {
		c.inFlight = append(c.inFlight, m)
	}
}

// syncOne makes the oldest batch durable, then sends its messages.
func (c *modelCluster) syncOne(n *modelNode) {
	if len(n.syncQueue) == 0 {
		return
	}
	b := n.syncQueue[0]
	n.syncQueue = n.syncQueue[1:]
	n.disk.write(b.writes...)
	if len(b.writes) > 0 {
		c.checker.checkDurability()
	}
	for _, m := range b.messages {
		c.sendMessage(n, m, b.request)
	}
}

func (c *modelCluster) sync(n *modelNode) {
	for len(n.syncQueue) > 0 {
		c.syncOne(n)
	}
}

// removeMessage takes a message off the network.
func (c *modelCluster) removeMessage(i int) message.Message {
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	return m
}

// deliver delivers a message to its receiver and leaves the receiver's writes unsynced.
func (c *modelCluster) deliver(m message.Message) {
	n := c.node(m.To)
	c.record(modelEvent{action: "deliver", node: m.To, message: m})
	c.perform(n, requestVersion(m), func(r *Replica) message.Effects { return r.Step(c.now, m) })
}

// deliverOldest delivers the oldest messages in order, and syncs the receivers' disks.
func (c *modelCluster) deliverOldest(count int) {
	for ; count > 0 && len(c.inFlight) > 0; count-- {
		m := c.removeMessage(0)
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

// tickAllAfter advances the clock, ticks every live node and syncs its disk.
func (c *modelCluster) tickAllAfter(elapsed time.Duration) {
	c.now = c.now.Add(elapsed)
	for _, n := range c.liveNodes() {
		c.tick(n)
		c.sync(n)
	}
}

// setEligible sets a node's view of who may own keys.
func (c *modelCluster) setEligible(n *modelNode, eligible ...units.NodeID) {
	if n.replica == nil {
		return
	}
	c.record(modelEvent{action: "set eligible", node: n.id, nodes: eligible})
	n.replica.SetEligible(eligible)
}

// changeMembers requests a change of members from a node.
func (c *modelCluster) changeMembers(n *modelNode, members []units.NodeID) {
	if n.replica == nil {
		return
	}
	c.record(modelEvent{action: "change members", node: n.id, nodes: members})
	n.targetMembers = members
	requestMembers(n.replica, c.now, members)
}

// resend makes a node resend its accepted value of a key to another, as repair does.
func (c *modelCluster) resend(n, to *modelNode, key string) {
	c.perform(n, 0, func(r *Replica) message.Effects { return r.Resend(to.id, key) })
}
