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
	runGrace            = 500 * time.Millisecond // what a run may last past its time left
	auditInterval       = time.Second
	reportRetryInterval = 200 * time.Millisecond
	disconnectGrace     = 300 * time.Millisecond // after a process is known to be gone, till its runs are broken off
	adaptInterval       = time.Second
	unlistedRouterTTL   = 5 * time.Second // till membership must show a router that was heard of
)

type permitKey struct {
	node units.NodeID
	tag  uint64
}

type acquireRequest struct {
	permitKey
	deadline     units.Time // its deadline
	worth        uint16
	prefillTime  time.Duration
	priority     uint8
	memoryTokens uint32
	queuedAt     units.Time
}

type permit struct {
	expiresAt    units.Time
	grantedAt    units.Time
	memoryTokens uint32
	prefillTime  time.Duration // what reading it takes a usual worker; 0 when others are read before it
}

// workerState is one worker in this node's keeping.
type workerState struct {
	open                bool
	granted             map[permitKey]*permit
	waitlist            []acquireRequest // by deadline
	awaitingReports     map[units.NodeID]bool
	lateRouters         map[units.NodeID]bool // routers that came into view with the book open: they are asked too
	reportsRequestedAt  units.Time
	unreachableUntil    map[units.NodeID]units.Time // until when a silent node may still hold what it was lent before
	releaseInterval     time.Duration
	meanHoldTime        time.Duration // mean time that a slot is held
	lastReleaseAt       units.Time
	adaptiveCapacity    float64
	waitSum             time.Duration
	waitCount           int
	adaptedAt           units.Time
	collectionStartedAt units.Time
	engineState
}

// Ledger is the keeper's step machine.
type Ledger struct {
	self             units.NodeID
	workers          map[string]Worker
	routers          []Peer
	runDeadlines     map[units.NodeID]units.Time // processes not live, till when their runs may still be going
	coordinated      map[string]*workerState
	unlistedRouters  map[units.NodeID]units.Time // routers that took a worker over before membership showed them here
	assignmentsStale bool                        // the workers or the routers are not those that the keepers were worked out for
	lastAuditAt      units.Time
	rateExcess       float64
	rateSlack        int
	rateShare        float64
}

// New begins a node that keeps nothing.
func New(self units.NodeID) *Ledger {
	return &Ledger{self: self, workers: map[string]Worker{}, coordinated: map[string]*workerState{}, runDeadlines: map[units.NodeID]units.Time{}, unlistedRouters: map[units.NodeID]units.Time{}, rateExcess: 1, rateShare: 1}
}

// SetWorkers sets what there is to keep.
func (g *Ledger) SetWorkers(workers map[string]Worker) {
	if !maps.Equal(g.workers, workers) {
		g.workers, g.assignmentsStale = workers, true
	}
}

// SetRouters takes membership's view: the live routers, and till when others' runs may still be going.
func (g *Ledger) SetRouters(routers []Peer, runDeadlines map[units.NodeID]units.Time) {
	g.assignmentsStale = g.assignmentsStale || !slices.Equal(g.routers, routers)
	for _, v := range routers {
		if !slices.ContainsFunc(g.routers, func(o Peer) bool { return o.Node == v.Node }) {
			for _, state := range g.coordinated {
				state.lateRouters[v.Node] = true
			}
		}
	}
	g.routers, g.runDeadlines = routers, runDeadlines
}

// ProcessEnded frees what a process held that is known to have ended: the kernel broke its runs' wires off.
func (g *Ledger) ProcessEnded(now units.Time, n units.NodeID) {
	for _, state := range g.coordinated {
		for p, l := range state.granted {
			if p.node == n {
				l.expiresAt = min(l.expiresAt, now.Add(disconnectGrace))
			}
		}
		state.waitlist = slices.DeleteFunc(state.waitlist, func(a acquireRequest) bool { return a.node == n })
	}
}

// Tick takes over what fell to this node, gives up what did not, and ends what ran out.
func (g *Ledger) Tick(now units.Time) (out message.Effects) {
	var names []string
	if g.assignmentsStale {
		names = message.SortedKeys(g.workers)
	}
	g.assignmentsStale = false
	for _, name := range names {
		worker := g.workers[name]
		mine := Coordinator(g.routers, name, worker.Zone) == g.self
		state := g.coordinated[name]
		if mine && state == nil {
			g.startCoordinating(now, name, &out)
		}
		if !mine && state != nil {
			g.stopCoordinating(name, state, &out)
		}
	}
	for _, name := range message.SortedKeys(g.coordinated) {
		state := g.coordinated[name]
		if _, ok := g.workers[name]; !ok {
			g.stopCoordinating(name, state, &out)
			continue
		}
		for p, permit := range state.granted {
			if now >= permit.expiresAt {
				state.removePermit(p)
			}
		}
		if !state.open {
			g.collectReports(now, name, state, &out)
			continue
		}
		g.queryLateRouters(now, name, state, &out)
		g.adaptCapacity(now, name, state)
		g.serveWaitlist(now, name, state, &out)
	}
	if now.Sub(g.lastAuditAt) >= auditInterval {
		g.lastAuditAt = now
		g.sendAudits(now, &out)
	}
	return out
}

// TakeOver begins the keeping of one worker, as Tick does when it falls to this node.
func (g *Ledger) TakeOver(now units.Time, name string) (out message.Effects) {
	g.startCoordinating(now, name, &out)
	return out
}

// startCoordinating asks every live router what it holds; until all have said so, nothing is lent.
func (g *Ledger) startCoordinating(now units.Time, name string, out *message.Effects) {
	state := &workerState{granted: map[permitKey]*permit{}, adaptedAt: now, collectionStartedAt: now, unreachableUntil: maps.Clone(g.runDeadlines), lateRouters: map[units.NodeID]bool{}}
	g.coordinated[name] = state
	g.restartCollection(now, name, state, out)
}

// restartCollection asks all nodes for their reports, and with them for their trust. A keeper also does so when it meets a
// node that has last reported to another: while views differed, that one took the worker over, and no grant of
// this keeper's would be taken there.
func (g *Ledger) restartCollection(now units.Time, name string, state *workerState, out *message.Effects) {
	state.open, state.awaitingReports, state.reportsRequestedAt, state.collectionStartedAt = false, map[units.NodeID]bool{}, now.Add(-reportRetryInterval), now
	for _, n := range g.liveRouters(now) {
		state.awaitingReports[n] = true
	}
	g.collectReports(now, name, state, out)
}

// liveRouters lists the routers that may hold something: those that membership shows, and those that it does not show yet.
func (g *Ledger) liveRouters(now units.Time) []units.NodeID {
	var l []units.NodeID
	for _, v := range g.routers {
		l = append(l, v.Node)
	}
	for _, n := range message.SortedKeys(g.unlistedRouters) {
		_, gone := g.runDeadlines[n]
		switch {
		case gone || slices.Contains(l, n) || now.Sub(g.unlistedRouters[n]) > unlistedRouterTTL:
			delete(g.unlistedRouters, n)
		default:
			l = append(l, n)
		}
	}
	return l
}

func (g *Ledger) collectReports(now units.Time, name string, state *workerState, out *message.Effects) {
	live := g.liveRouters(now)
	for n := range state.awaitingReports {
		if slices.Contains(live, n) {
			continue
		}
		delete(state.awaitingReports, n)
		state.unreachableUntil[n] = g.runDeadlines[n]
	}
	for n := range state.unreachableUntil {
		if slices.Contains(live, n) { // it was not lost after all, and can say itself what it holds
			delete(state.unreachableUntil, n)
			state.awaitingReports[n] = true
			state.reportsRequestedAt = now.Add(-reportRetryInterval)
		}
	}
	lax := g.workers[name].QuickTakeover && (len(state.awaitingReports) == 0 || now.Sub(state.collectionStartedAt) >= quickTakeoverWait)
	if len(state.awaitingReports) == 0 || lax {
		if lax || now >= state.unreachableDeadline() {
			state.open = true
			g.serveWaitlist(now, name, state, out)
		}
		return
	}
	if now.Sub(state.reportsRequestedAt) >= reportRetryInterval {
		state.reportsRequestedAt = now
		for _, n := range message.SortedKeys(state.awaitingReports) {
			out.Send(n, ReportRequest, Pack(Header{}, name))
		}
	}
}

// stopCoordinating lets those that wait ask elsewhere.
func (g *Ledger) stopCoordinating(name string, state *workerState, out *message.Effects) {
	for _, a := range state.waitlist {
		out.Send(a.node, Refusal, Pack(Header{Tag: a.tag, Reason: ReasonNotCoordinator}, name))
	}
	delete(g.coordinated, name)
}
