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

// How often the daemons' loops run: package node's, the router's and the controller's.
const (
	towerGap  = 50 * time.Millisecond
	routerGap = 20 * time.Millisecond
	coreGap   = 50 * time.Millisecond
	syncTime  = 2 * time.Millisecond
)

// node is one hollow process: what package node holds, and a program.
type node struct {
	w          *Simulation
	self       units.NodeID
	addr       string
	zone       string
	region     string
	role       membership.Role
	up         bool
	life       int
	membership *membership.Gossip
	bull       *configpush.Feed
	prog       program
	bytes      int // of frames sent, and taken
	in         int
}

// add puts a machine into the world; its process starts at once.
func (w *Simulation) add(i int, role membership.Role) *node {
	z := site[i%len(site)]
	n := &node{w: w, zone: z.zone, region: z.region, role: role}
	name := "v"
	if role == membership.Controller {
		name = "b"
	}
	n.addr = fmt.Sprintf("%s%03d.%s.site.example:7400", name, i, z.zone)
	w.nodes = append(w.nodes, n)
	w.byAddr[n.addr] = n
	n.start()
	return n
}

func (w *Simulation) seeds() (l []string) {
	for _, n := range w.nodes {
		if n.role == membership.Controller && len(l) < 3 {
			l = append(l, n.addr)
		}
	}
	return l
}

// start begins a fresh process on the machine.
func (n *node) start() {
	w := n.w
	delete(w.byID, n.self)
	n.life++
	n.up = true
	if n.self == 0 || n.role == membership.Router { // a controller is known by its disk
		n.self = units.NodeID(w.rng.Uint64() | 1)
	}
	w.byID[n.self] = n
	web := n.addr[:len(n.addr)-2] + "80"
	me := membership.Member{Node: n.self, Incarnation: uint64(1e12 + int64(w.Now)/1e6), Role: n.role, Addr: n.addr, HTTPAddr: web, Zone: n.zone}
	n.membership = membership.New(me, w.seeds(), rand.New(rand.NewPCG(w.rng.Uint64(), 0)))
	n.bull = configpush.New(n.self)
	gap := routerGap
	if n.role == membership.Router {
		n.prog = newRouter(n)
	} else {
		n.prog = newCore(n)
		gap = coreGap
	}
	n.every(towerGap, message.KindMembership, n.beat)
	n.every(gap, 0, func(now units.Time) message.Effects { return n.prog.beat(now, nil) })
}

// every runs a loop of the process as long as it lives, and puts its time down to a part.
func (n *node) every(gap time.Duration, kind message.Kind, f func(units.Time) message.Effects) {
	life := n.life
	var tick func()
	tick = func() {
		if !n.up || n.life != life {
			return
		}
		n.timed(kind, func() message.Effects { return f(n.w.Now) })
		n.w.Schedule(gap, tick)
	}
	n.w.Schedule(time.Duration(n.w.rng.Int64N(int64(gap))), tick)
}

// beat is package node's: membership, then news.
func (n *node) beat(now units.Time) message.Effects {
	n.membership.FeedDigest = n.bull.Digest
	out := n.membership.Tick(now)
	out.Append(n.bull.PushAndPull(now, n.membership.All(), n.self))
	return out
}

func (n *node) timed(kind message.Kind, f func() message.Effects) {
	t := time.Now()
	out := f()
	n.w.part(n.role, kind).Busy += time.Since(t)
	n.deliver(out)
}

// take gives a note to its machine, as package node does.
func (n *node) take(x message.Message) {
	kind := x.Kind &^ 15
	n.timed(kind, func() message.Effects {
		switch kind {
		case message.KindMembership:
			return n.membership.Step(n.w.Now, x)
		case message.KindConfigPush:
			return n.bull.Step(n.w.Now, x)
		}
		return n.prog.step(n.w.Now, x)
	})
}

// deliver sends what a step gave out; a controller's later notes wait for the disk.
func (n *node) deliver(out message.Effects) {
	// The order of a step's notes may hang on a map; the world's must not.
	slices.SortStableFunc(out.Messages, func(a, b message.Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Kind, b.Kind), bytes.Compare(a.Body, b.Body))
	})
	for _, x := range out.Messages {
		n.w.send(n, x)
	}
	if n.role == membership.Router {
		for _, x := range out.AfterSync {
			n.w.send(n, x)
		}
		return
	}
	if len(out.Writes)+len(out.AfterSync) == 0 {
		return
	}
	if len(out.Writes) > 0 {
		n.w.DiskSyncs++
	}
	for _, r := range out.Writes {
		n.w.SyncedBytes += len(r.Key) + len(r.Data)
	}
	life := n.life
	n.w.Schedule(syncTime, func() {
		if n.up && n.life == life {
			for _, x := range out.AfterSync {
				n.w.send(n, x)
			}
		}
	})
}

// stop ends the process after its goodbye; what was meant for it is refused from then on.
func (n *node) stop() {
	n.timed(message.KindMembership, n.membership.Leave)
	n.up = false
	n.life++
}
