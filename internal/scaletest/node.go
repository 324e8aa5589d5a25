package scaletest

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The intervals of the daemons' loops (of package node, the router and the controller), and the time of a disk sync.
const (
	membershipInterval = 50 * time.Millisecond
	routerInterval     = 20 * time.Millisecond
	controllerInterval = 50 * time.Millisecond
	diskSyncTime       = 2 * time.Millisecond
)

// node is one simulated process: the state of package node, and a program.
type node struct {
	sim        *Simulation
	id         units.NodeID
	addr       string
	zone       string
	region     string
	role       membership.Role
	running    bool
	generation int // changes whenever the process starts or stops
	membership *membership.Gossip
	feed       *configpush.Feed
	program    program
	bytesOut   int // of frames
	bytesIn    int
}

// addNode adds a machine to the simulation and starts its process.
func (s *Simulation) addNode(i int, role membership.Role) *node {
	place := siteZones[i%len(siteZones)]
	n := &node{sim: s, zone: place.zone, region: place.region, role: role}
	name := "v"
	if role == membership.Controller {
		name = "b"
	}
	n.addr = fmt.Sprintf("%s%03d.%s.site.example:7400", name, i, place.zone)
	s.nodes = append(s.nodes, n)
	s.byAddr[n.addr] = n
	n.start()
	return n
}

func (s *Simulation) seedAddrs() (addrs []string) {
	for _, n := range s.nodes {
		if n.role == membership.Controller && len(addrs) < 3 {
			addrs = append(addrs, n.addr)
		}
	}
	return addrs
}

// start starts a new process on the machine.
func (n *node) start() {
	sim := n.sim
	delete(sim.byID, n.id)
	n.generation++
	n.running = true
	if n.id == 0 || n.role == membership.Router { // a controller keeps its ID on its disk
		n.id = units.NodeID(sim.rng.Uint64() | 1)
	}
	sim.byID[n.id] = n
	httpAddr := n.addr[:len(n.addr)-2] + "80"
	self := membership.Member{Node: n.id, Incarnation: uint64(1e12 + int64(sim.Now)/1e6), Role: n.role, Addr: n.addr,
		HTTPAddr: httpAddr, Zone: n.zone}
	n.membership = membership.New(self, sim.seedAddrs(), rand.New(rand.NewPCG(sim.rng.Uint64(), 0)))
	n.feed = configpush.New(n.id)
	interval := routerInterval
	if n.role == membership.Router {
		n.program = newRouter(n)
	} else {
		n.program = newController(n)
		interval = controllerInterval
	}
	n.runLoop(membershipInterval, message.KindMembership, n.tick)
	n.runLoop(interval, 0, func(now units.Time) message.Effects { return n.program.tick(now, nil) })
}

// runLoop runs a step of the process at an interval until the process stops, and adds the steps' time to the usage of kind.
func (n *node) runLoop(interval time.Duration, kind message.Kind, step func(units.Time) message.Effects) {
	generation := n.generation
	var tick func()
	tick = func() {
		if !n.running || n.generation != generation {
			return
		}
		n.runTimed(kind, func() message.Effects { return step(n.sim.Now) })
		n.sim.Schedule(interval, tick)
	}
	n.sim.Schedule(time.Duration(n.sim.rng.Int64N(int64(interval))), tick)
}

// tick is the loop of package node: membership, then configuration push.
func (n *node) tick(now units.Time) message.Effects {
	n.membership.FeedDigest = n.feed.Digest
	out := n.membership.Tick(now)
	out.Append(n.feed.PushAndPull(now, n.membership.All(), n.id))
	return out
}

// runTimed runs one step, adds its time to the usage of kind, and sends its effects.
func (n *node) runTimed(kind message.Kind, step func() message.Effects) {
	start := time.Now()
	out := step()
	n.sim.usage(n.role, kind).CallTime += time.Since(start)
	n.sendEffects(out)
}

// receive passes a message to the state machine that handles it, as package node does.
func (n *node) receive(msg message.Message) {
	kind := msg.Kind &^ 15
	n.runTimed(kind, func() message.Effects {
		switch kind {
		case message.KindMembership:
			return n.membership.Step(n.sim.Now, msg)
		case message.KindConfigPush:
			return n.feed.Step(n.sim.Now, msg)
		}
		return n.program.step(n.sim.Now, msg)
	})
}

// sendEffects sends the messages of a step; those that a controller sends after a disk sync wait for it.
func (n *node) sendEffects(out message.Effects) {
	// The order of a step's messages may depend on map iteration. They are sorted so that a seed gives the same run.
	slices.SortStableFunc(out.Messages, func(a, b message.Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Kind, b.Kind), bytes.Compare(a.Body, b.Body))
	})
	for _, msg := range out.Messages {
		n.sim.send(n, msg)
	}
	if n.role == membership.Router {
		for _, msg := range out.AfterSync {
			n.sim.send(n, msg)
		}
		return
	}
	if len(out.Writes)+len(out.AfterSync) == 0 {
		return
	}
	if len(out.Writes) > 0 {
		n.sim.DiskSyncs++
	}
	for _, record := range out.Writes {
		n.sim.SyncedBytes += len(record.Key) + len(record.Data)
	}
	generation := n.generation
	n.sim.Schedule(diskSyncTime, func() {
		if n.running && n.generation == generation {
			for _, msg := range out.AfterSync {
				n.sim.send(n, msg)
			}
		}
	})
}

// stop ends the process after it has announced that it leaves; connections to it are refused from then on.
func (n *node) stop() {
	n.runTimed(message.KindMembership, n.membership.Leave)
	n.running = false
	n.generation++
}
