package standin

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
)

// Platform lists workers, marks leaving ones, and limits how often it may be asked.
type Platform struct {
	mu               sync.Mutex
	pools            map[string][]config.Worker
	born             map[string]time.Time
	FailureMode      string            // "", refuse, empty, slow, bad, old
	before           map[string][]byte // what it answers while it is old
	MaxPerSecond     int               // questions allowed in a second; 0 for any number
	second           int64
	asked            int
	RequestCount     int
	RateLimitedCount int
	HandleEvent      func(event string) error // what the harness does on a drill's wish
}

// NewPlatform gives one without workers.
func NewPlatform(perSec int) *Platform {
	return &Platform{pools: map[string][]config.Worker{}, born: map[string]time.Time{}, MaxPerSecond: perSec}
}

// SetWorker adds a worker or replaces its entry; age is how long it has been warm already.
func (p *Platform) SetWorker(pool string, w config.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.born[w.ID]; !ok {
		p.born[w.ID] = time.Now().Add(-w.Age)
	}
	for i, x := range p.pools[pool] {
		if x.ID == w.ID {
			p.pools[pool][i] = w
			return
		}
	}
	p.pools[pool] = append(p.pools[pool], w)
}

// RecordRestart says that a worker has just started again in its place.
func (p *Platform) RecordRestart(id string) {
	p.mu.Lock()
	p.born[id] = time.Now()
	p.mu.Unlock()
}

// RemoveWorker takes a worker off the list.
func (p *Platform) RemoveWorker(pool, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []config.Worker
	for _, x := range p.pools[pool] {
		if x.ID != id {
			l = append(l, x)
		}
	}
	p.pools[pool] = l
}

// FindWorker finds a worker.
func (p *Platform) FindWorker(pool, id string) (config.Worker, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.pools[pool] {
		if x.ID == id {
			return x, true
		}
	}
	return config.Worker{}, false
}

// SetFailureMode changes how the platform answers.
func (p *Platform) SetFailureMode(m string) {
	p.mu.Lock()
	p.FailureMode, p.before = m, map[string][]byte{}
	for pool := range p.pools {
		p.before[pool] = p.list(pool)
	}
	p.mu.Unlock()
}

// Serve answers on ln until it is closed.
func (p *Platform) Serve(ln net.Listener) error {
	return (&fasthttp.Server{Handler: p.handle, Name: "platform", NoDefaultDate: true}).Serve(ln)
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/harness" && p.HandleEvent != nil {
		if err := p.HandleEvent(string(ctx.QueryArgs().Peek("event"))); err != nil {
			ctx.SetStatusCode(400)
			ctx.SetBodyString(err.Error())
		}
		return
	}
	pool, ok := strings.CutPrefix(string(ctx.Path()), "/v1/pools/")
	pool, ok2 := strings.CutSuffix(pool, "/workers")
	if !ok || !ok2 {
		ctx.SetStatusCode(404)
		return
	}
	p.mu.Lock()
	slow := p.FailureMode == "slow"
	p.mu.Unlock()
	if slow {
		time.Sleep(800 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.RequestCount++
	if now := time.Now().Unix(); now != p.second {
		p.second, p.asked = now, 0
	}
	p.asked++
	switch {
	case p.MaxPerSecond > 0 && p.asked > p.MaxPerSecond:
		p.RateLimitedCount++
		ctx.SetStatusCode(429)
	case p.FailureMode == "refuse":
		ctx.SetStatusCode(503)
	case p.FailureMode == "bad":
		ctx.SetBodyString(`{"workers": [`)
	case p.FailureMode == "empty":
		ctx.SetBodyString(`{"workers": []}`)
	case p.FailureMode == "old":
		ctx.SetBody(p.before[pool])
	default:
		ctx.SetContentType("application/json")
		ctx.SetBody(p.list(pool))
	}
}

func (p *Platform) list(pool string) []byte {
	l := append([]config.Worker(nil), p.pools[pool]...)
	for i := range l {
		l[i].Age = time.Since(p.born[l[i].ID])
	}
	return config.MarshalWorkers(l)
}
