package capacity

import (
	"maps"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

const (
	runGrace            = 500 * time.Millisecond // how long a run may last past its deadline
	auditInterval       = time.Second            // between audits, and the age from which a permit is audited
	reportRetryInterval = 200 * time.Millisecond
	disconnectGrace     = 300 * time.Millisecond // from the known end of a process until workers have stopped its runs
	adaptInterval       = time.Second
	unlistedRouterTTL   = 5 * time.Second // how long an unlisted router counts before the membership must list it
)

// permitKey identifies a permit by its holder and the request's tag.
type permitKey struct {
	node units.NodeID
	tag  uint64
}

type acquireRequest struct {
	permitKey
	deadline     units.Time
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
	prefillTime  time.Duration // on a typical worker; 0 if other prompts are ahead in the prefill queue
}

// workerState is the state of one worker that this router coordinates.
type workerState struct {
	open                bool // all reports are in: permits may be granted
	granted             map[permitKey]*permit
	waitlist            []acquireRequest // sorted by deadline
	awaitingReports     map[units.NodeID]bool
	lateRouters         map[units.NodeID]bool // appeared after the state was opened; they must report too
	reportsRequestedAt  units.Time
	unreachableUntil    map[units.NodeID]units.Time // until when an unreachable router may hold permits
	releaseInterval     time.Duration
	meanHoldTime        time.Duration // mean time that a permit is held
	lastReleaseAt       units.Time
	adaptiveCapacity    float64
	waitSum             time.Duration // of the grants since adaptedAt
	waitCount           int
	adaptedAt           units.Time
	collectionStartedAt units.Time
	engineState
}

// Ledger is the state machine of a router as coordinator. Its methods return the messages to send.
type Ledger struct {
	self             units.NodeID
	workers          map[string]Worker
	routers          []Peer
	runDeadlines     map[units.NodeID]units.Time // for processes that aren't live: when their runs are over at the latest
	coordinated      map[string]*workerState
	unlistedRouters  map[units.NodeID]units.Time // took a worker over before the membership listed them here
	assignmentsStale bool                        // workers or routers have changed since coordinators were assigned
	lastAuditAt      units.Time
	rateExcess       float64
	rateSlack        int
	rateShare        float64
}

// New returns a ledger that coordinates no worker.
func New(self units.NodeID) *Ledger {
	return &Ledger{self: self, workers: map[string]Worker{}, coordinated: map[string]*workerState{},
		runDeadlines: map[units.NodeID]units.Time{}, unlistedRouters: map[units.NodeID]units.Time{}, rateExcess: 1, rateShare: 1}
}

// SetWorkers sets the workers of the whole fleet.
func (g *Ledger) SetWorkers(workers map[string]Worker) {
	if !maps.Equal(g.workers, workers) {
		g.workers, g.assignmentsStale = workers, true
	}
}

// SetRouters sets the live routers, and when the runs of other processes are over at the latest.
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

// ProcessEnded frees the permits of a process that is known to have ended: the kernel has closed its runs' connections.
func (g *Ledger) ProcessEnded(now units.Time, node units.NodeID) {
	for _, state := range g.coordinated {
		for p, l := range state.granted {
			if p.node == node {
				l.expiresAt = min(l.expiresAt, now.Add(disconnectGrace))
			}
		}
		state.waitlist = slices.DeleteFunc(state.waitlist, func(a acquireRequest) bool { return a.node == node })
	}
}

// Tick takes over the workers assigned to this router, stops coordinating the others, and removes expired permits.
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

// TakeOver starts to coordinate one worker, as Tick does when the worker is assigned to this router.
func (g *Ledger) TakeOver(now units.Time, name string) (out message.Effects) {
	g.startCoordinating(now, name, &out)
	return out
}

// startCoordinating requests a report from every live router. Nothing is granted until all have reported.
func (g *Ledger) startCoordinating(now units.Time, name string, out *message.Effects) {
	state := &workerState{granted: map[permitKey]*permit{}, adaptedAt: now, collectionStartedAt: now,
		unreachableUntil: maps.Clone(g.runDeadlines), lateRouters: map[units.NodeID]bool{}}
	g.coordinated[name] = state
	g.restartCollection(now, name, state, out)
}

// restartCollection requests reports from all routers, which from then on accept only this coordinator's grants. A
// coordinator also does so when a router has last reported to another one: while membership views differed, the other one
// took the worker over, and that router would accept no grant from this one.
func (g *Ledger) restartCollection(now units.Time, name string, state *workerState, out *message.Effects) {
	state.open, state.awaitingReports, state.reportsRequestedAt, state.collectionStartedAt = false, map[units.NodeID]bool{},
		now.Add(-reportRetryInterval), now
	for _, n := range g.liveRouters(now) {
		state.awaitingReports[n] = true
	}
	g.collectReports(now, name, state, out)
}

// liveRouters returns the routers that may hold permits: those that the membership lists, and those that
// it doesn't list yet.
func (g *Ledger) liveRouters(now units.Time) []units.NodeID {
	var nodes []units.NodeID
	for _, v := range g.routers {
		nodes = append(nodes, v.Node)
	}
	for _, n := range message.SortedKeys(g.unlistedRouters) {
		_, ended := g.runDeadlines[n]
		switch {
		case ended || slices.Contains(nodes, n) || now.Sub(g.unlistedRouters[n]) > unlistedRouterTTL:
			delete(g.unlistedRouters, n)
		default:
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// collectReports opens the state once all reports are in and the runs of unreachable routers are over; until then it repeats
// the requests for reports.
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
		if slices.Contains(live, n) { // it is reachable again and can report by itself
			delete(state.unreachableUntil, n)
			state.awaitingReports[n] = true
			state.reportsRequestedAt = now.Add(-reportRetryInterval)
		}
	}
	quick := g.workers[name].QuickTakeover &&
		(len(state.awaitingReports) == 0 || now.Sub(state.collectionStartedAt) >= quickTakeoverWait)
	if len(state.awaitingReports) == 0 || quick {
		if quick || now >= state.unreachableDeadline() {
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

// stopCoordinating refuses the waiting requests, so that their routers turn to the new coordinator.
func (g *Ledger) stopCoordinating(name string, state *workerState, out *message.Effects) {
	for _, a := range state.waitlist {
		out.Send(a.node, Refusal, Pack(Header{Tag: a.tag, Reason: ReasonNotCoordinator}, name))
	}
	delete(g.coordinated, name)
}
