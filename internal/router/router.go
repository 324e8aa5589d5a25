// Package router is the data plane: callers' prompts in, workers' streams out (design 1, 4, 6, 8).
package router

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/boot"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/codes"
	"seamshunt/internal/listener"
	"seamshunt/internal/node"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// MaxBodyBytes bounds a caller's body.
const MaxBodyBytes = 4 << 20

type verdict struct {
	admission.Verdict
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
	claims          map[uint64]chan codes.Code
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
func New(b *boot.Boot, outside *adapter.Adapter) *Router {
	v := &Router{Base: node.New(b, node.Random(), membership.Router), waiting: map[uint64]chan verdict{}, claims: map[uint64]chan codes.Code{}}
	if v.Adapter = outside; outside != nil {
		v.pool = upstream.NewPool(outside.Names)
	}
	v.clients = clientwatch.New(v.clientLooks.By)
	v.queue = admission.New(v.Self)
	v.ledger = capacity.New(v.Self)
	v.claimant = idempotency.New(v.Self, v.Tasks.Now())
	v.table = newTable()
	v.table.watch.Lax = outside != nil
	v.tag.Store(uint64(node.Random()) >> 1)
	v.Woke = v.woke
	v.Refused = v.gone
	v.Moved = v.tickSoon
	v.Steps[message.KindCapacity] = v.permits
	v.Steps[message.KindClaim] = func(now units.Time, n message.Message) {
		v.screened(func() message.Effects { return v.claimant.Step(now, n) })
	}
	return v
}

// Start opens everything and returns.
func (v *Router) Start() error {
	ln, err := listener.Listen(v.Boot.Web)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	if err := v.Base.Start(); err != nil {
		ln.Close()
		return err
	}
	v.began = v.Tasks.Now()
	v.server = &fasthttp.Server{Handler: v.serve, Name: "router", MaxRequestBodySize: MaxBodyBytes, NoDefaultDate: true,
		ReadTimeout: 30 * time.Second, Logger: quiet{}, ErrorHandler: v.malformed, Concurrency: v.ConnectionsMost()}
	if v.Adapter != nil {
		v.useAdapter()
	}
	if err := v.serveReadiness(); err != nil {
		ln.Close()
		return err
	}
	v.clientLooks.Start(v.Tasks, clientwatch.LookEvery, func(units.Time) time.Duration { return v.clients.Look(v.ending()) })
	v.Serve("clients", ln, v.server.Serve)
	v.ticks.Start(v.Tasks, tickGap, v.tick)
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// permits goes to the asking side and to the keeping side.
func (v *Router) permits(now units.Time, n message.Message) {
	if n.Kind != capacity.Ask && n.Kind != capacity.Return && n.Kind != capacity.Report {
		v.queueMu.Lock()
		out := v.queue.Step(now, n)
		v.deliverVerdicts(now)
		v.queueMu.Unlock()
		v.Deliver(out)
	}
	if n.Kind == capacity.Ask || n.Kind == capacity.Return || n.Kind == capacity.Report || n.Kind == capacity.ReportAsk {
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
	for _, x := range v.queue.Verdicts {
		if c := v.waiting[x.Tag]; c != nil {
			delete(v.waiting, x.Tag)
			c <- verdict{x, now}
		}
	}
	v.queue.Verdicts = v.queue.Verdicts[:0]
}

// woke after a freeze: waiting prompts ask anew, and nothing new is taken before the news is confirmed.
func (v *Router) woke(now units.Time) {
	v.unready()
	v.queueMu.Lock()
	v.queue.Woke(now)
	v.queueMu.Unlock()
	v.tableMu.Lock()
	v.table.fresh = true // the new keeper is told of all workers and routers
	v.ledgerMu.Lock()
	v.ledger = capacity.New(v.Self)
	v.ledgerMu.Unlock()
	v.tableMu.Unlock()
}

func (v *Router) gone(now units.Time, l []units.Node) {
	v.ledgerMu.Lock()
	for _, n := range l {
		v.ledger.Gone(now, n)
	}
	v.ledgerMu.Unlock()
	v.tableMu.Lock()
	for _, n := range l {
		v.table.watch.Void(now, n)
		v.table.fresh = true
	}
	v.tableMu.Unlock()
}

func (v *Router) habitOf(service string) *upstream.Habit {
	h, _ := v.habits.LoadOrStore(service, &upstream.Habit{})
	return h.(*upstream.Habit)
}

func (v *Router) budgetOf(service string) *upstream.Budget {
	x, ok := v.budget.Load(service)
	if !ok {
		ratio := v.Boot.Bounds.RetryRatio
		if v.Adapter != nil {
			ratio *= retryPart
		}
		x, _ = v.budget.LoadOrStore(service, &upstream.Budget{Ratio: ratio})
	}
	return x.(*upstream.Budget)
}

// retryPart leaves some of the budget for what nodes that don't see each other count differently.
const retryPart = 0.9

// slack is this node's part of the further tries that are allowed on top of the share: never more than two, since a node
// that has just started may know few of the others.
func (v *Router) slack() int {
	if v.Boot.Bounds.RetrySlack == 0 {
		return 0
	}
	v.tableMu.Lock()
	n := len(v.table.peers)
	v.tableMu.Unlock()
	return min(2, v.Boot.Bounds.RetrySlack/(2*max(1, n)))
}
