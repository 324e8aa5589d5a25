package register

import (
	"seamshunt/internal/cluster/message"
	"slices"
	"time"

	"seamshunt/internal/units"
)

// What may happen to the oldest undelivered message.
const (
	deliverMessage = iota
	dropMessage
	duplicateMessage
	deferMessage
	crashBeforeSync // the receiver processes it and crashes before its writes are synced
	crashAfterSync  // the receiver processes it, syncs, answers and crashes
	startNextStep   // the scenario's next step runs before its delivery
	deviationCount
)

// scenario is a list of steps. Each runs when no messages are left to deliver, or earlier if a schedule deviates.
type scenario struct {
	name             string
	members          int
	spares           int
	expectsSetChange bool // the quorum set changes in the default schedule
	undisturbedSteps int  // number of steps at the start that run without deviations
	steps            []func(*modelCluster)
}

// quietRounds is the number of rounds of ticks before a scenario's next step.
const quietRounds = 2

// run runs a scenario with the given choices, then heals the cluster and reads each key.
func (s scenario) run(choose func(int) int) *modelCluster {
	c := newModelCluster(s.members, s.spares)
	steps, rounds := s.steps, 0
	runNextStep := func() {
		steps[0](c)
		steps, rounds = steps[1:], 0
	}
	for c.checker.violation == "" {
		switch {
		case len(c.inFlight) > 0:
			if choice := s.deviation(choose, len(steps)); choice == startNextStep && len(steps) > 0 {
				runNextStep()
			} else {
				c.deviate(choice)
			}
		case rounds < quietRounds:
			rounds++
			c.tickAllAfter(resendInterval + 100*time.Millisecond)
		case len(steps) > 0:
			runNextStep()
		default:
			c.heal()
			return c
		}
	}
	return c
}

// deviation chooses what happens to the oldest message, once the undisturbed steps are over.
func (s scenario) deviation(choose func(int) int, stepsLeft int) int {
	if len(s.steps)-stepsLeft < s.undisturbedSteps {
		return deliverMessage
	}
	return choose(deviationCount)
}

// deviate applies a choice to the oldest message.
func (c *modelCluster) deviate(choice int) {
	m := c.removeMessage(0)
	n := c.node(m.To)
	switch choice {
	case dropMessage:
		c.record(modelEvent{action: "drop", message: m})
	case deferMessage:
		c.record(modelEvent{action: "defer", message: m})
		c.inFlight = append(c.inFlight, m)
	case crashBeforeSync:
		c.deliver(m)
		c.crash(n, 0)
		c.start(n)
	default:
		c.deliver(m)
		c.sync(n)
	}
	switch choice {
	case duplicateMessage:
		c.record(modelEvent{action: "duplicate", message: m})
		c.inFlight = append(c.inFlight, m)
	case crashAfterSync:
		c.crash(n, 0)
		c.start(n)
	}
}

// heal restarts every node that still has its disk, makes all nodes agree on the owners, and reads each key.
func (c *modelCluster) heal() {
	c.record(modelEvent{action: "heal"})
	var alive []units.NodeID
	for _, n := range c.nodes {
		c.start(n)
		if n.replica != nil {
			alive = append(alive, n.id)
		}
	}
	for _, n := range c.liveNodes() {
		c.setEligible(n, alive...)
		c.changeMembers(n, nil)
	}
	for range 2 {
		c.tickAndDeliver()
	}
	for _, key := range message.SortedKeys(c.checker.clients.writeCounts) {
		c.mustRead(key)
	}
}

// tickAndDeliver ticks all nodes and delivers all resulting messages.
func (c *modelCluster) tickAndDeliver() {
	c.tickAllAfter(resendInterval + 100*time.Millisecond)
	for budget := 2000; len(c.inFlight) > 0 && budget > 0; budget-- {
		c.deliverOldest(1)
	}
}

// mustRead checks that a healed cluster answers a read.
func (c *modelCluster) mustRead(key string) {
	set := c.checker.sets[c.checker.current]
	i := slices.IndexFunc(c.nodes, func(n *modelNode) bool { return n.replica != nil && set.Has(n.id) })
	if i < 0 {
		return
	}
	answered := c.checker.clients.answeredReads
	for range 10 {
		c.checker.clients.read(c.nodes[i], key)
		c.tickAndDeliver()
		if c.checker.clients.answeredReads > answered || c.checker.violation != "" {
			return
		}
	}
	c.checker.fail("a healed cluster answers no read of %q under %+v", key, set)
}

// Steps of scenarios.

func setOwnersEverywhere(owners ...units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) {
		for _, n := range c.liveNodes() {
			c.setEligible(n, owners...)
		}
	}
}

func setOwnerAt(node, owner units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.setEligible(c.node(node), owner) }
}

// writeAt makes a write based on the newest version that has been acknowledged to any client.
func writeAt(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) {
		clients := c.checker.clients
		clients.write(c.node(node), "a", clients.acknowledgedVersion["a"])
	}
}

func resubmitAt(node units.NodeID, id string) func(*modelCluster) {
	return func(c *modelCluster) { c.checker.clients.resubmit(c.node(node), id) }
}

func readAt(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.checker.clients.read(c.node(node), "a") }
}

func changeMembersAt(node units.NodeID, members ...units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.changeMembers(c.node(node), members) }
}

func loseDiskOf(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.loseDisk(c.node(node)) }
}

func crashAt(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.crash(c.node(node), 0) }
}

func startAt(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.start(c.node(node)) }
}

func together(steps ...func(*modelCluster)) func(*modelCluster) {
	return func(c *modelCluster) {
		for _, step := range steps {
			step(c)
		}
	}
}

// acknowledgedWrites returns the number of acknowledged writes.
func (l *modelClients) acknowledgedWrites() int {
	count := 0
	for _, num := range l.acknowledgedVersion {
		count += int(num)
	}
	return count
}
