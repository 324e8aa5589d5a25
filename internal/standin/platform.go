package standin

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
)

// Platform serves the lists of workers, in which draining ones are marked, and limits the rate of requests.
type Platform struct {
	mu                 sync.Mutex
	pools              map[string][]config.Worker
	startedAt          map[string]time.Time // by worker
	FailureMode        string               // "" (none), refuse, empty, slow, bad or old
	staleAnswers       map[string][]byte    // by pool: the answers in failure mode old
	MaxPerSecond       int                  // rate limit; 0 for none
	currentSecond      int64
	requestsThisSecond int
	RequestCount       int
	RateLimitedCount   int
	HandleEvent        func(event string) error // called by a request to /harness, which runs an event of a drill
}

// NewPlatform returns a platform without workers and with a rate limit in requests per second.
func NewPlatform(maxPerSecond int) *Platform {
	return &Platform{pools: map[string][]config.Worker{}, startedAt: map[string]time.Time{}, MaxPerSecond: maxPerSecond}
}

// SetWorker adds a worker or replaces its entry. For a new worker, w.Age is the time since its start.
func (p *Platform) SetWorker(pool string, w config.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.startedAt[w.ID]; !ok {
		p.startedAt[w.ID] = time.Now().Add(-w.Age)
	}
	for i, x := range p.pools[pool] {
		if x.ID == w.ID {
			p.pools[pool][i] = w
			return
		}
	}
	p.pools[pool] = append(p.pools[pool], w)
}

// RecordRestart sets the start time of a worker to now, as after a restart in place.
func (p *Platform) RecordRestart(id string) {
	p.mu.Lock()
	p.startedAt[id] = time.Now()
	p.mu.Unlock()
}

// RemoveWorker removes a worker from the list.
func (p *Platform) RemoveWorker(pool, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var remaining []config.Worker
	for _, x := range p.pools[pool] {
		if x.ID != id {
			remaining = append(remaining, x)
		}
	}
	p.pools[pool] = remaining
}

// FindWorker returns a worker, and whether it is listed.
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

// SetFailureMode changes how the platform answers. In mode old it keeps answering with its lists at the time of this call.
func (p *Platform) SetFailureMode(mode string) {
	p.mu.Lock()
	p.FailureMode, p.staleAnswers = mode, map[string][]byte{}
	for pool := range p.pools {
		p.staleAnswers[pool] = p.marshalPool(pool)
	}
	p.mu.Unlock()
}

// Serve serves requests on ln until it is closed.
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
	pool, hasPrefix := strings.CutPrefix(string(ctx.Path()), "/v1/pools/")
	pool, hasSuffix := strings.CutSuffix(pool, "/workers")
	if !hasPrefix || !hasSuffix {
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
	if now := time.Now().Unix(); now != p.currentSecond {
		p.currentSecond, p.requestsThisSecond = now, 0
	}
	p.requestsThisSecond++
	switch {
	case p.MaxPerSecond > 0 && p.requestsThisSecond > p.MaxPerSecond:
		p.RateLimitedCount++
		ctx.SetStatusCode(429)
	case p.FailureMode == "refuse":
		ctx.SetStatusCode(503)
	case p.FailureMode == "bad":
		ctx.SetBodyString(`{"workers": [`)
	case p.FailureMode == "empty":
		ctx.SetBodyString(`{"workers": []}`)
	case p.FailureMode == "old":
		ctx.SetBody(p.staleAnswers[pool])
	default:
		ctx.SetContentType("application/json")
		ctx.SetBody(p.marshalPool(pool))
	}
}

func (p *Platform) marshalPool(pool string) []byte {
	workers := append([]config.Worker(nil), p.pools[pool]...)
	for i := range workers {
		workers[i].Age = time.Since(p.startedAt[workers[i].ID])
	}
	return config.MarshalWorkers(workers)
}
