// Package router implements the data plane: it admits clients' prompts, places them on workers and streams the workers'
// answers back (docs/design.md, sections 1, 4, 6, 8).
package router

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/listener"
	"seamshunt/internal/node"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/settings"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// MaxBodyBytes is the maximum size of a client's request body.
const MaxBodyBytes = 4 << 20

// timedDecision is an admission decision with the time at which it was passed to the waiting request.
type timedDecision struct {
	admission.Decision
	decidedAt units.Time
}

// Router is one data-plane process.
type Router struct {
	*node.Base
	activeConfig        atomic.Pointer[activeConfig]
	viewMu              sync.Mutex
	view                clusterView
	queueMu             sync.Mutex
	queue               *admission.Queue
	pendingAdmissions   map[uint64]chan timedDecision
	coordinatorMu       sync.Mutex
	coordinator         *capacity.Ledger
	claimantMu          sync.Mutex
	claimant            *idempotency.Claimant
	pendingClaims       map[uint64]chan resultcode.Code
	placer              placement.Placer
	retryBudgets        sync.Map // service name to *upstream.RetryBudget
	firstTokenLatencies sync.Map // service name to *upstream.FirstTokenTimes
	mappingStats        statsByMapping
	nextTag             atomic.Uint64
	ready               atomic.Bool
	drainWindow         atomic.Pointer[drainWindow] // nil unless draining
	closing             atomic.Bool                 // no further request is accepted, however short
	noControllerSince   atomic.Int64                // time since which no controller is reachable; 0 while one is
	startedAt           units.Time
	inFlight            atomic.Int64
	server              *fasthttp.Server
	readinessServer     *fasthttp.Server // serves readiness probes where they have their own address
	Adapter             *adapter.Adapter // the platform's header names and formats; nil for the native API
	pool                *upstream.Pool
	tickLoop            tasks.Loop
	clientWatcher       *clientwatch.Watcher
	clientPollLoop      tasks.Loop // checks for disconnected clients
	stats               stats
}

// New creates a router. With an adapter it uses that platform's protocol towards clients and workers (docs/design.md,
// section 11).
func New(s *settings.Settings, clientAdapter *adapter.Adapter) *Router {
	v := &Router{Base: node.New(s, node.RandomID(), membership.Router),
		pendingAdmissions: map[uint64]chan timedDecision{}, pendingClaims: map[uint64]chan resultcode.Code{}}
	if v.Adapter = clientAdapter; clientAdapter != nil {
		v.pool = upstream.NewPool(clientAdapter.Headers)
	}
	v.clientWatcher = clientwatch.New(v.clientPollLoop.By)
	v.queue = admission.New(v.Self)
	v.coordinator = capacity.New(v.Self)
	v.claimant = idempotency.New(v.Self, v.Tasks.Now())
	v.view = newClusterView()
	v.view.peerWatch.ExcludeSuspects = clientAdapter != nil
	v.nextTag.Store(uint64(node.RandomID()) >> 1)
	v.OnResume = v.onResume
	v.OnPeersEnded = v.onPeersEnded
	v.OnChange = v.scheduleTick
	v.MessageHandlers[message.KindCapacity] = v.stepCapacity
	v.MessageHandlers[message.KindClaim] = func(now units.Time, msg message.Message) {
		v.withClaimant(func() message.Effects { return v.claimant.Step(now, msg) })
	}
	return v
}

// Start opens the listeners, starts the background loops and returns.
func (v *Router) Start() error {
	ln, err := listener.Listen(v.Settings.HTTPAddr)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	if err := v.Base.Start(); err != nil {
		ln.Close()
		return err
	}
	v.startedAt = v.Tasks.Now()
	v.server = &fasthttp.Server{Handler: v.serve, Name: "router", MaxRequestBodySize: MaxBodyBytes, NoDefaultDate: true,
		ReadTimeout: 30 * time.Second, Logger: discardLogger{}, ErrorHandler: v.malformed, Concurrency: v.MaxClientConnections()}
	if v.Adapter != nil {
		v.configureForAdapter()
	}
	if err := v.serveReadiness(); err != nil {
		ln.Close()
		return err
	}
	v.clientPollLoop.Start(v.Tasks, clientwatch.CheckInterval, func(units.Time) time.Duration {
		return v.clientWatcher.CheckAll(v.nearDrainDeadline())
	})
	v.Serve("clients", ln, v.server.Serve)
	v.tickLoop.Start(v.Tasks, tickInterval, v.tick)
	return nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// stepCapacity passes a capacity message to the admission queue, which borrows permits, or to the coordinator, which lends
// them, or to both.
func (v *Router) stepCapacity(now units.Time, msg message.Message) {
	if msg.Kind != capacity.Acquire && msg.Kind != capacity.Release && msg.Kind != capacity.Report {
		v.queueMu.Lock()
		out := v.queue.Step(now, msg)
		v.deliverDecisions(now)
		v.queueMu.Unlock()
		v.Deliver(out)
	}
	if msg.Kind == capacity.Acquire || msg.Kind == capacity.Release || msg.Kind == capacity.Report || msg.Kind == capacity.ReportRequest {
		v.coordinatorMu.Lock()
		out := v.coordinator.Step(now, msg)
		busy := v.coordinator.Busy()
		v.coordinatorMu.Unlock()
		v.Deliver(out)
		if busy {
			v.scheduleTick()
		}
	}
}

// deliverDecisions passes the queue's decisions to the requests that wait for them. The caller holds queueMu.
func (v *Router) deliverDecisions(now units.Time) {
	for _, decision := range v.queue.Decisions {
		if result := v.pendingAdmissions[decision.Tag]; result != nil {
			delete(v.pendingAdmissions, decision.Tag)
			result <- timedDecision{decision, now}
		}
	}
	v.queue.Decisions = v.queue.Decisions[:0]
}

// onResume runs after the process was paused: waiting requests request permits again, and no new request is accepted until
// the configuration is confirmed to be up to date.
func (v *Router) onResume(now units.Time) {
	v.markNotReady()
	v.queueMu.Lock()
	v.queue.ProcessResumed(now)
	v.queueMu.Unlock()
	v.viewMu.Lock()
	v.view.changed = true // the new coordinator receives all workers and routers
	v.coordinatorMu.Lock()
	v.coordinator = capacity.New(v.Self)
	v.coordinatorMu.Unlock()
	v.viewMu.Unlock()
}

// onPeersEnded drops the state of processes that were found to have ended.
func (v *Router) onPeersEnded(now units.Time, nodes []units.NodeID) {
	v.coordinatorMu.Lock()
	for _, n := range nodes {
		v.coordinator.ProcessEnded(now, n)
	}
	v.coordinatorMu.Unlock()
	v.viewMu.Lock()
	for _, n := range nodes {
		v.view.peerWatch.ProcessEnded(now, n)
		v.view.changed = true
	}
	v.viewMu.Unlock()
}

func (v *Router) firstTokenLatencyOf(service string) *upstream.FirstTokenTimes {
	latency, _ := v.firstTokenLatencies.LoadOrStore(service, &upstream.FirstTokenTimes{})
	return latency.(*upstream.FirstTokenTimes)
}

func (v *Router) retryBudgetOf(service string) *upstream.RetryBudget {
	budget, ok := v.retryBudgets.Load(service)
	if !ok {
		ratio := v.Settings.Bounds.RetryRatio
		if v.Adapter != nil {
			ratio *= adapterRetryShare
		}
		budget, _ = v.retryBudgets.LoadOrStore(service, &upstream.RetryBudget{Ratio: ratio})
	}
	return budget.(*upstream.RetryBudget)
}

// adapterRetryShare keeps part of the retry budget in reserve, since nodes that don't see each other count differently.
const adapterRetryShare = 0.9

// retrySlack returns this node's part of the retries that are allowed on top of the budget's ratio. It is at most 2, since a
// node that has just started may know few of the other nodes.
func (v *Router) retrySlack() int {
	if v.Settings.Bounds.RetrySlack == 0 {
		return 0
	}
	v.viewMu.Lock()
	routers := len(v.view.peers)
	v.viewMu.Unlock()
	return min(2, v.Settings.Bounds.RetrySlack/(2*max(1, routers)))
}
