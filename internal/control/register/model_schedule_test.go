package register

import (
	"seamshunt/internal/cluster/message"
	"slices"
	"time"

	"seamshunt/internal/units"
)

// What may happen to the oldest message of the network in place of its delivery.
const (
	deliverIt = iota
	dropIt
	duplicateIt
	deferIt
	crashBeforeSync // the receiver takes it and goes down with what it wrote unsynced
	crashAfterSync  // the receiver takes it, answers and goes down
	triggerNow      // the scenario's next step comes before it
	deviations
)

// scenario is a list of steps that are taken one after the other, each once the network is quiet, or earlier.
type scenario struct {
	name    string
	members int
	spares  int
	changes bool // the set changes in the ordinary course
	calm    int  // steps that are played without deviations
	steps   []func(*modelCluster)
}

// quietRounds is how many rounds of ticks pass before a scenario's next step.
const quietRounds = 2

// run plays a scenario under the given choices, then heals the cluster and has it read.
func (s scenario) run(choose func(int) int) *modelCluster {
	c := newModelCluster(s.members, s.spares)
	steps, rounds := s.steps, 0
	trigger := func() {
		steps[0](c)
		steps, rounds = steps[1:], 0
	}
	for c.checker.violation == "" {
		switch {
		case len(c.bag) > 0:
			if choice := s.deviation(choose, len(steps)); choice == triggerNow && len(steps) > 0 {
				trigger()
			} else {
				c.deviate(choice)
			}
		case rounds < quietRounds:
			rounds++
			c.round(resend + 100*time.Millisecond)
		case len(steps) > 0:
			trigger()
		default:
			c.heal()
			return c
		}
	}
	return c
}

// deviation asks for what is to happen to the oldest message, once the calm steps are over.
func (s scenario) deviation(choose func(int) int, left int) int {
	if len(s.steps)-left < s.calm {
		return deliverIt
	}
	return choose(deviations)
}

// deviate does with the oldest message what was chosen.
func (c *modelCluster) deviate(choice int) {
	m := c.take(0)
	n := c.node(m.To)
	switch choice {
	case dropIt:
		c.record(modelEvent{action: "drop", message: m})
	case deferIt:
		c.record(modelEvent{action: "defer", message: m})
		c.bag = append(c.bag, m)
	case crashBeforeSync:
		c.deliver(m)
		c.crash(n, 0)
		c.start(n)
	default:
		c.deliver(m)
		c.sync(n)
	}
	switch choice {
	case duplicateIt:
		c.record(modelEvent{action: "duplicate", message: m})
		c.bag = append(c.bag, m)
	case crashAfterSync:
		c.crash(n, 0)
		c.start(n)
	}
}

// heal restarts every node that still has its disk, lets all agree on the owners, and reads each key.
func (c *modelCluster) heal() {
	c.record(modelEvent{action: "heal"})
	var alive []units.NodeID
	for _, n := range c.nodes {
		c.start(n)
		if n.replica != nil {
			alive = append(alive, n.id)
		}
	}
	for _, n := range c.live() {
		c.believe(n, alive...)
		c.changeMembers(n, nil)
	}
	for range 2 {
		c.settle()
	}
	for _, key := range message.SortedKeys(c.checker.clients.writes) {
		c.mustRead(key)
	}
}

// settle ticks all and delivers everything that comes of it.
func (c *modelCluster) settle() {
	c.round(resend + 100*time.Millisecond)
	for budget := 2000; len(c.bag) > 0 && budget > 0; budget-- {
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
	answered := c.checker.clients.reads
	for range 10 {
		c.checker.clients.read(c.nodes[i], key)
		c.settle()
		if c.checker.clients.reads > answered || c.checker.violation != "" {
			return
		}
	}
	c.checker.fail("a healed cluster answers no read of %q under %+v", key, set)
}

// The steps of scenarios.

func believeAll(owners ...units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) {
		for _, n := range c.live() {
			c.believe(n, owners...)
		}
	}
}

func believeAt(node, owner units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.believe(c.node(node), owner) }
}

// writeAt builds on the newest number that any client knows of: nobody builds on one that doesn't stand yet.
func writeAt(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) {
		clients := c.checker.clients
		clients.write(c.node(node), "a", clients.acked["a"])
	}
}

func rewriteAt(node units.NodeID, id string) func(*modelCluster) {
	return func(c *modelCluster) { c.checker.clients.rewrite(c.node(node), id) }
}

func readAt(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.checker.clients.read(c.node(node), "a") }
}

func changeAt(node units.NodeID, members ...units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.changeMembers(c.node(node), members) }
}

func loseDisk(node units.NodeID) func(*modelCluster) {
	return func(c *modelCluster) { c.lose(c.node(node)) }
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

// acknowledged counts the writes that were answered with a number.
func (l *modelClients) acknowledged() int {
	count := 0
	for _, num := range l.acked {
		count += int(num)
	}
	return count
}
