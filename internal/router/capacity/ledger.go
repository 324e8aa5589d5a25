package capacity

import (
	"maps"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Spans of the keeping (start values).
const (
	grace      = 500 * time.Millisecond // what a run may last past its time left
	audit      = time.Second
	reask      = 200 * time.Millisecond
	burst      = 300 * time.Millisecond // after a process is known to be gone, till its runs are broken off
	adaptGap   = time.Second
	strangeFor = 5 * time.Second // till membership must show a router that was heard of
)

type permit struct {
	node units.NodeID
	tag  uint64
}

type ask struct {
	permit
	until units.Time // its deadline
	worth uint16
	read  time.Duration
	urge  uint8
	mem   uint32
	since units.Time
}

type loan struct {
	until units.Time
	since units.Time
	mem   uint32
	reads time.Duration // what reading it takes a usual worker; 0 when others are read before it
}

// keep is one worker in this node's keeping.
type keep struct {
	open    bool
	lent    map[permit]*loan
	list    []ask // by deadline
	need    map[units.NodeID]bool
	late    map[units.NodeID]bool // routers that came into view with the book open: they are asked too
	sent    units.Time
	silent  map[units.NodeID]units.Time // until when a silent node may still hold what it was lent before
	turn    time.Duration
	hold    time.Duration // mean time that a slot is held
	back    units.Time
	cap     float64
	waitSum time.Duration
	waitN   int
	adapted units.Time
	begun   units.Time
	engine
}

// Ledger is the keeper's step machine.
type Ledger struct {
	self    units.NodeID
	workers map[string]Worker
	routers []Peer
	holds   map[units.NodeID]units.Time // processes not live, till when their runs may still be going
	keeps   map[string]*keep
	strange map[units.NodeID]units.Time // routers that took a worker over before membership showed them here
	moved   bool                        // the workers or the routers are not those that the keepers were worked out for
	audited units.Time
	excess  float64
	slack   int
	part    float64
}

// New begins a node that keeps nothing.
func New(self units.NodeID) *Ledger {
	return &Ledger{self: self, workers: map[string]Worker{}, keeps: map[string]*keep{}, holds: map[units.NodeID]units.Time{}, strange: map[units.NodeID]units.Time{}, excess: 1, part: 1}
}

// SetWorkers sets what there is to keep.
func (g *Ledger) SetWorkers(w map[string]Worker) {
	if !maps.Equal(g.workers, w) {
		g.workers, g.moved = w, true
	}
}

// SetRouters takes membership's view: the live routers, and till when others' runs may still be going.
func (g *Ledger) SetRouters(routers []Peer, holds map[units.NodeID]units.Time) {
	g.moved = g.moved || !slices.Equal(g.routers, routers)
	for _, v := range routers {
		if !slices.ContainsFunc(g.routers, func(o Peer) bool { return o.Node == v.Node }) {
			for _, k := range g.keeps {
				k.late[v.Node] = true
			}
		}
	}
	g.routers, g.holds = routers, holds
}

// ProcessEnded frees what a process held that is known to have ended: the kernel broke its runs' wires off.
func (g *Ledger) ProcessEnded(now units.Time, n units.NodeID) {
	for _, k := range g.keeps {
		for p, l := range k.lent {
			if p.node == n {
				l.until = min(l.until, now.Add(burst))
			}
		}
		k.list = slices.DeleteFunc(k.list, func(a ask) bool { return a.node == n })
	}
}

// Tick takes over what fell to this node, gives up what did not, and ends what ran out.
func (g *Ledger) Tick(now units.Time) (out message.Effects) {
	var names []string
	if g.moved {
		names = message.SortedKeys(g.workers)
	}
	g.moved = false
	for _, name := range names {
		w := g.workers[name]
		mine := Coordinator(g.routers, name, w.Zone) == g.self
		k := g.keeps[name]
		if mine && k == nil {
			g.begin(now, name, &out)
		}
		if !mine && k != nil {
			g.cede(name, k, &out)
		}
	}
	for _, name := range message.SortedKeys(g.keeps) {
		k := g.keeps[name]
		if _, ok := g.workers[name]; !ok {
			g.cede(name, k, &out)
			continue
		}
		for p, l := range k.lent {
			if now >= l.until {
				k.drop(p)
			}
		}
		if !k.open {
			g.collect(now, name, k, &out)
			continue
		}
		g.latecomers(now, name, k, &out)
		g.adapt(now, name, k)
		g.serve(now, name, k, &out)
	}
	if now.Sub(g.audited) >= audit {
		g.audited = now
		g.audit(now, &out)
	}
	return out
}

// TakeOver begins the keeping of one worker, as Tick does when it falls to this node.
func (g *Ledger) TakeOver(now units.Time, name string) (out message.Effects) {
	g.begin(now, name, &out)
	return out
}

// begin asks every live router what it holds; until all have said so, nothing is lent.
func (g *Ledger) begin(now units.Time, name string, out *message.Effects) {
	k := &keep{lent: map[permit]*loan{}, adapted: now, begun: now, silent: maps.Clone(g.holds), late: map[units.NodeID]bool{}}
	g.keeps[name] = k
	g.recollect(now, name, k, out)
}

// recollect asks all nodes for their reports, and with them for their trust. A keeper also does so when it meets a
// node that has last reported to another: while views differed, that one took the worker over, and no grant of
// this keeper's would be taken there.
func (g *Ledger) recollect(now units.Time, name string, k *keep, out *message.Effects) {
	k.open, k.need, k.sent, k.begun = false, map[units.NodeID]bool{}, now.Add(-reask), now
	for _, n := range g.live(now) {
		k.need[n] = true
	}
	g.collect(now, name, k, out)
}

// live lists the routers that may hold something: those that membership shows, and those that it does not show yet.
func (g *Ledger) live(now units.Time) []units.NodeID {
	var l []units.NodeID
	for _, v := range g.routers {
		l = append(l, v.Node)
	}
	for _, n := range message.SortedKeys(g.strange) {
		_, gone := g.holds[n]
		switch {
		case gone || slices.Contains(l, n) || now.Sub(g.strange[n]) > strangeFor:
			delete(g.strange, n)
		default:
			l = append(l, n)
		}
	}
	return l
}

func (g *Ledger) collect(now units.Time, name string, k *keep, out *message.Effects) {
	live := g.live(now)
	for n := range k.need {
		if slices.Contains(live, n) {
			continue
		}
		delete(k.need, n)
		k.silent[n] = g.holds[n]
	}
	for n := range k.silent {
		if slices.Contains(live, n) { // it was not lost after all, and can say itself what it holds
			delete(k.silent, n)
			k.need[n] = true
			k.sent = now.Add(-reask)
		}
	}
	lax := g.workers[name].QuickTakeover && (len(k.need) == 0 || now.Sub(k.begun) >= laxFor)
	if len(k.need) == 0 || lax {
		if lax || now >= k.holdTil() {
			k.open = true
			g.serve(now, name, k, out)
		}
		return
	}
	if now.Sub(k.sent) >= reask {
		k.sent = now
		for _, n := range message.SortedKeys(k.need) {
			out.Send(n, ReportRequest, Pack(Header{}, name))
		}
	}
}

// cede lets those that wait ask elsewhere.
func (g *Ledger) cede(name string, k *keep, out *message.Effects) {
	for _, a := range k.list {
		out.Send(a.node, Refusal, Pack(Header{Tag: a.tag, Reason: ReasonNotCoordinator}, name))
	}
	delete(g.keeps, name)
}
