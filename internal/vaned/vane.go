// Package vaned is the data plane: callers' prompts in, workers' streams out (design 1, 4, 6, 8).
package vaned

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/anemometer"
	"seamshunt/internal/boot"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/codebook"
	"seamshunt/internal/crew"
	"seamshunt/internal/gauge"
	"seamshunt/internal/hygrometer"
	"seamshunt/internal/listener"
	"seamshunt/internal/screen"
	"seamshunt/internal/synop"
	"seamshunt/internal/tower"
	"seamshunt/internal/units"
	"seamshunt/internal/windvane"
)

// MaxPrompt bounds a caller's body.
const MaxPrompt = 4 << 20

type verdict struct {
	hygrometer.Verdict
	at units.Time
}

// Vane is one process of the data plane.
type Vane struct {
	*tower.Tower
	rules     atomic.Pointer[rules]
	tableMu   sync.Mutex
	table     table
	deskMu    sync.Mutex
	desk      *hygrometer.Hygrometer
	doors     map[uint64]chan verdict
	gaugeMu   sync.Mutex
	gauge     *gauge.Gauge
	screenMu  sync.Mutex
	screen    *screen.Screen
	claims    map[uint64]chan synop.Code
	wind      windvane.Windvane
	budget    sync.Map // service to *anemometer.Budget
	habits    sync.Map // service to *anemometer.Habit
	tallies   tallies
	tag       atomic.Uint64
	ready     atomic.Bool
	departure atomic.Pointer[departure] // nil: this node stays
	closing   atomic.Bool               // nothing more is taken, however short
	static    atomic.Int64              // since when no barometer has been heard, zero while one is
	began     units.Time
	flight    atomic.Int64
	web       *fasthttp.Server
	ask       *fasthttp.Server // answers whether this node is ready, where that has an address of its own
	Words     *codebook.Book   // the outside world's words; nil: the product's own interface
	pool      *anemometer.Pool
	pace      crew.Pace // of the beat
	stats     stats
}

// New builds a vane; with a book it speaks that world's words to clients and workers (design 11).
func New(b *boot.Boot, book *codebook.Book) *Vane {
	v := &Vane{Tower: tower.New(b, tower.Random(), membership.Router), doors: map[uint64]chan verdict{}, claims: map[uint64]chan synop.Code{}}
	if v.Words = book; book != nil {
		v.pool = anemometer.NewPool(book.Names)
	}
	v.desk = hygrometer.New(v.Self)
	v.gauge = gauge.New(v.Self)
	v.screen = screen.New(v.Self, v.Crew.Now())
	v.table = newTable()
	v.table.watch.Lax = book != nil
	v.tag.Store(uint64(tower.Random()) >> 1)
	v.Woke = v.woke
	v.Refused = v.gone
	v.Moved = v.soon
	v.Steps[message.KindCapacity] = v.permits
	v.Steps[message.KindClaim] = func(now units.Time, n message.Message) {
		v.screened(func() message.Effects { return v.screen.Step(now, n) })
	}
	return v
}

// Start opens everything and returns.
func (v *Vane) Start() error {
	ln, err := listener.Listen(v.Boot.Web)
	if err != nil {
		return fmt.Errorf("vane: %w", err)
	}
	if err := v.Tower.Start(); err != nil {
		ln.Close()
		return err
	}
	v.began = v.Crew.Now()
	v.web = &fasthttp.Server{Handler: v.serve, Name: "vane", MaxRequestBodySize: MaxPrompt, NoDefaultDate: true,
		ReadTimeout: 30 * time.Second, Logger: quiet{}, ErrorHandler: v.malformed, Concurrency: 65536}
	if v.Words != nil {
		v.speak()
	}
	if err := v.askable(); err != nil {
		ln.Close()
		return err
	}
	v.Crew.Go(func() { _ = v.web.Serve(ln) })
	v.pace.Start(v.Crew, often, v.beat)
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// permits goes to the asking side and to the keeping side.
func (v *Vane) permits(now units.Time, n message.Message) {
	if n.Kind != gauge.Ask && n.Kind != gauge.Return && n.Kind != gauge.Report {
		v.deskMu.Lock()
		out := v.desk.Step(now, n)
		v.tell(now)
		v.deskMu.Unlock()
		v.Deliver(out)
	}
	if n.Kind == gauge.Ask || n.Kind == gauge.Return || n.Kind == gauge.Report || n.Kind == gauge.ReportAsk {
		v.gaugeMu.Lock()
		out := v.gauge.Step(now, n)
		busy := v.gauge.Busy()
		v.gaugeMu.Unlock()
		v.Deliver(out)
		if busy {
			v.soon()
		}
	}
}

// tell passes verdicts to the prompts that wait for them; the desk's lock is held.
func (v *Vane) tell(now units.Time) {
	for _, x := range v.desk.Verdicts {
		if c := v.doors[x.Tag]; c != nil {
			delete(v.doors, x.Tag)
			c <- verdict{x, now}
		}
	}
	v.desk.Verdicts = v.desk.Verdicts[:0]
}

// woke after a freeze: waiting prompts ask anew, and nothing new is taken before the news is confirmed.
func (v *Vane) woke(now units.Time) {
	v.unready()
	v.deskMu.Lock()
	v.desk.Woke(now)
	v.deskMu.Unlock()
	v.tableMu.Lock()
	v.table.fresh = true // the new keeper is told of all workers and vanes
	v.gaugeMu.Lock()
	v.gauge = gauge.New(v.Self)
	v.gaugeMu.Unlock()
	v.tableMu.Unlock()
}

func (v *Vane) gone(now units.Time, l []units.Node) {
	v.gaugeMu.Lock()
	for _, n := range l {
		v.gauge.Gone(now, n)
	}
	v.gaugeMu.Unlock()
	v.tableMu.Lock()
	for _, n := range l {
		v.table.watch.Void(now, n)
		v.table.fresh = true
	}
	v.tableMu.Unlock()
}

func (v *Vane) habitOf(service string) *anemometer.Habit {
	h, _ := v.habits.LoadOrStore(service, &anemometer.Habit{})
	return h.(*anemometer.Habit)
}

func (v *Vane) budgetOf(service string) *anemometer.Budget {
	x, ok := v.budget.Load(service)
	if !ok {
		ratio := v.Boot.Bounds.RetryRatio
		if v.Words != nil {
			ratio *= retryPart
		}
		x, _ = v.budget.LoadOrStore(service, &anemometer.Budget{Ratio: ratio})
	}
	return x.(*anemometer.Budget)
}

// retryPart leaves some of the budget for what nodes that don't see each other count differently.
const retryPart = 0.9

// slack is this node's part of the further tries that are allowed on top of the share: never more than two, since a node
// that has just started may know few of the others.
func (v *Vane) slack() int {
	if v.Boot.Bounds.RetrySlack == 0 {
		return 0
	}
	v.tableMu.Lock()
	n := len(v.table.peers)
	v.tableMu.Unlock()
	return min(2, v.Boot.Bounds.RetrySlack/(2*max(1, n)))
}
