// Package router is the data plane: callers' prompts in, workers' streams out (design 1, 4, 6, 8).
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

// MaxBodyBytes bounds a caller's body.
const MaxBodyBytes = 4 << 20

type verdict struct {
	admission.Decision
	at units.Time
}

// Router is one process of the data plane.
type Router struct {
	*node.Base
	rules           atomic.Pointer[rules]
	tableMu         sync.Mutex
	table           table
	queueMu         sync.Mutex
	queue           *admission.Queue
	waiting         map[uint64]chan verdict
	ledgerMu        sync.Mutex
	ledger          *capacity.Ledger
	claimantMu      sync.Mutex
	claimant        *idempotency.Claimant
	claims          map[uint64]chan resultcode.Code
	placer          placement.Placer
	budget          sync.Map // service to *upstream.Budget
	habits          sync.Map // service to *upstream.Habit
	tallies         tallies
	tag             atomic.Uint64
	ready           atomic.Bool
	departure       atomic.Pointer[departure] // nil: this node stays
	closing         atomic.Bool               // nothing more is taken, however short
	static          atomic.Int64              // since when no controller has been heard, zero while one is
	began           units.Time
	inFlight        atomic.Int64
	server          *fasthttp.Server
	readinessServer *fasthttp.Server // answers whether this node is ready, where that has an address of its own
	Adapter         *adapter.Adapter // the outside world's words and formats; nil: the product's own interface
	pool            *upstream.Pool
	ticks           tasks.Loop
	clients         *clientwatch.Watcher
	clientLooks     tasks.Loop // at the clients
	stats           stats
}

// New builds a router; with an adapter it speaks that world's words to clients and workers (design 11).
func New(b *settings.Settings, outside *adapter.Adapter) *Router {
	v := &Router{Base: node.New(b, node.RandomID(), membership.Router), waiting: map[uint64]chan verdict{}, claims: map[uint64]chan resultcode.Code{}}
	if v.Adapter = outside; outside != nil {
		v.pool = upstream.NewPool(outside.Headers)
	}
	v.clients = clientwatch.New(v.clientLooks.By)
	v.queue = admission.New(v.Self)
	v.ledger = capacity.New(v.Self)
	v.claimant = idempotency.New(v.Self, v.Tasks.Now())
	v.table = newTable()
	v.table.watch.ExcludeSuspects = outside != nil
	v.tag.Store(uint64(node.RandomID()) >> 1)
	v.OnResume = v.woke
	v.OnPeersEnded = v.gone
	v.OnChange = v.tickSoon
	v.MessageHandlers[message.KindCapacity] = v.permits
	v.MessageHandlers[message.KindClaim] = func(now units.Time, n message.Message) {
		v.screened(func() message.Effects { return v.claimant.Step(now, n) })
	}
	return v
}

// Start opens everything and returns.
func (v *Router) Start() error {
	ln, err := listener.Listen(v.Settings.HTTPAddr)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	if err := v.Base.Start(); err != nil {
		ln.Close()
		return err
	}
	v.began = v.Tasks.Now()
	v.server = &fasthttp.Server{Handler: v.serve, Name: "router", MaxRequestBodySize: MaxBodyBytes, NoDefaultDate: true,
		ReadTimeout: 30 * time.Second, Logger: quiet{}, ErrorHandler: v.malformed, Concurrency: v.MaxClientConnections()}
	if v.Adapter != nil {
		v.useAdapter()
	}
	if err := v.serveReadiness(); err != nil {
		ln.Close()
		return err
	}
	v.clientLooks.Start(v.Tasks, clientwatch.CheckInterval, func(units.Time) time.Duration { return v.clients.CheckAll(v.ending()) })
	v.Serve("clients", ln, v.server.Serve)
	v.ticks.Start(v.Tasks, tickGap, v.tick)
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// permits goes to the asking side and to the keeping side.
func (v *Router) permits(now units.Time, n message.Message) {
	if n.Kind != capacity.Acquire && n.Kind != capacity.Release && n.Kind != capacity.Report {
		v.queueMu.Lock()
		out := v.queue.Step(now, n)
		v.deliverVerdicts(now)
		v.queueMu.Unlock()
		v.Deliver(out)
	}
	if n.Kind == capacity.Acquire || n.Kind == capacity.Release || n.Kind == capacity.Report || n.Kind == capacity.ReportRequest {
		v.ledgerMu.Lock()
		out := v.ledger.Step(now, n)
		busy := v.ledger.Busy()
		v.ledgerMu.Unlock()
		v.Deliver(out)
		if busy {
			v.tickSoon()
		}
	}
}

// deliverVerdicts passes verdicts to the prompts that wait for them; the queue's lock is held.
func (v *Router) deliverVerdicts(now units.Time) {
	for _, x := range v.queue.Decisions {
		if c := v.waiting[x.Tag]; c != nil {
			delete(v.waiting, x.Tag)
			c <- verdict{x, now}
		}
	}
	v.queue.Decisions = v.queue.Decisions[:0]
}

// woke after a freeze: waiting prompts ask anew, and nothing new is taken before the news is confirmed.
func (v *Router) woke(now units.Time) {
	v.unready()
	v.queueMu.Lock()
	v.queue.ProcessResumed(now)
	v.queueMu.Unlock()
	v.tableMu.Lock()
	v.table.fresh = true // the new keeper is told of all workers and routers
	v.ledgerMu.Lock()
	v.ledger = capacity.New(v.Self)
	v.ledgerMu.Unlock()
	v.tableMu.Unlock()
}

func (v *Router) gone(now units.Time, l []units.NodeID) {
	v.ledgerMu.Lock()
	for _, n := range l {
		v.ledger.ProcessEnded(now, n)
	}
	v.ledgerMu.Unlock()
	v.tableMu.Lock()
	for _, n := range l {
		v.table.watch.ProcessEnded(now, n)
		v.table.fresh = true
	}
	v.tableMu.Unlock()
}

func (v *Router) habitOf(service string) *upstream.FirstTokenTimes {
	h, _ := v.habits.LoadOrStore(service, &upstream.FirstTokenTimes{})
	return h.(*upstream.FirstTokenTimes)
}

func (v *Router) budgetOf(service string) *upstream.RetryBudget {
	x, ok := v.budget.Load(service)
	if !ok {
		ratio := v.Settings.Bounds.RetryRatio
		if v.Adapter != nil {
			ratio *= retryPart
		}
		x, _ = v.budget.LoadOrStore(service, &upstream.RetryBudget{Ratio: ratio})
	}
	return x.(*upstream.RetryBudget)
}

// retryPart leaves some of the budget for what nodes that don't see each other count differently.
const retryPart = 0.9

// slack is this node's part of the further tries that are allowed on top of the share: never more than two, since a node
// that has just started may know few of the others.
func (v *Router) slack() int {
	if v.Settings.Bounds.RetrySlack == 0 {
		return 0
	}
	v.tableMu.Lock()
	n := len(v.table.peers)
	v.tableMu.Unlock()
	return min(2, v.Settings.Bounds.RetrySlack/(2*max(1, n)))
}
