package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/socket"
)

// SendOnceMaxIdle is how long a connection may have been idle for what may not be sent twice.
const SendOnceMaxIdle = 300 * time.Millisecond

const (
	idleFor   = 4 * time.Second // without a Keep-Alive in the answer
	idleLeast = 500 * time.Millisecond
)

// ErrNoConn says that this node has as many connections to the worker as it may.
var ErrNoConn = errors.New("upstream: no connection to this worker is free")

// Pool holds idle connections to workers, each belonging to one worker id: another worker may come to listen at the
// same address (design 8 and 11). Idle ones hold no buffers.
type Pool struct {
	Stats Stats
	n     adapter.HeaderNames
	mu    sync.Mutex
	hosts map[string]*host
}

// host is one worker: idle connections, the newest last, and how many are open in all.
type host struct {
	addr string
	open int
	era  int // a connection of an older one is closed when it comes back
	idle []*conn
}

// NewPool makes an empty one.
func NewPool(n adapter.HeaderNames) *Pool { return &Pool{n: n, hosts: map[string]*host{}} }

// Idle gives how many connections to a worker wait for use.
func (p *Pool) Idle(worker string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[worker]; h != nil {
		return len(h.idle)
	}
	return 0
}

// Dials gives the connections made so far.
func (p *Pool) Dials() uint64 { return p.Stats.Connected.Load() }

// CloseIdle closes the idle connections of a worker that is gone; those in use close after their answer.
func (p *Pool) CloseIdle(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[worker]; h != nil {
		h.empty()
		p.tidy(worker, h)
	}
}

// CloseExpired closes the idle connections that are past their time.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for worker, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				h.close(c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		p.tidy(worker, h)
	}
}

func (p *Pool) tidy(worker string, h *host) {
	if h.open == 0 {
		delete(p.hosts, worker)
	}
}

func (h *host) close(c *conn) {
	c.Close()
	h.open--
}

func (h *host) empty() {
	for _, c := range h.idle {
		h.close(c)
	}
	h.idle = nil
	h.era++
}

// pop takes the newest idle connection, if it may be used. Callers hold the lock.
func (h *host) pop(o *Dispatch, now time.Time) *conn {
	for len(h.idle) > 0 {
		i := len(h.idle) - 1
		c := h.idle[i]
		if o.SendOnce && now.Sub(c.at) > SendOnceMaxIdle {
			return nil
		}
		h.idle[i], h.idle = nil, h.idle[:i]
		if now.Before(c.until) && !c.ids.has(o.ID) { // a surplus answer would bear the same id
			return c
		}
		h.close(c)
	}
	return nil
}

// take gives a connection to the order's worker: an idle one that is well or, with fresh, a new one.
func (p *Pool) take(ctx context.Context, o *Dispatch, fresh bool) (c *conn, reused bool, err error) {
	now := time.Now()
	for {
		p.mu.Lock()
		h := p.hosts[o.Worker]
		if h == nil {
			h = &host{addr: o.Addr}
			p.hosts[o.Worker] = h
		}
		if h.addr != o.Addr {
			h.empty()
			h.addr = o.Addr
		}
		if !fresh {
			if c = h.pop(o, now); c != nil {
				p.mu.Unlock()
				if socket.Peek(c.Conn) == socket.Idle {
					return c, true, nil
				}
				p.drop(c)
				continue
			}
		}
		if o.MaxConns > 0 && h.open >= o.MaxConns {
			if len(h.idle) == 0 {
				p.mu.Unlock()
				return nil, false, ErrNoConn
			}
			h.close(h.idle[0])
			h.idle = append(h.idle[:0], h.idle[1:]...)
		}
		h.open++
		era := h.era
		p.mu.Unlock()
		if c, err = p.dial(ctx, o); err != nil {
			p.mu.Lock()
			h.open--
			p.tidy(o.Worker, h)
			p.mu.Unlock()
			return nil, false, err
		}
		c.host, c.worker, c.era = h, o.Worker, era
		return c, false, nil
	}
}

// put takes a connection back that may be used again until a time.
func (p *Pool) put(c *conn, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := c.host; c.era == h.era && time.Now().Before(until) {
		c.until = until
		h.idle = append(h.idle, c)
		return
	}
	c.host.close(c)
	p.tidy(c.worker, c.host)
}

// drop closes a connection that is not to be used again.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.host.close(c)
	p.tidy(c.worker, c.host)
}
