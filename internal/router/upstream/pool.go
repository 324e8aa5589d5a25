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
	defaultIdleTime = 4 * time.Second // without a Keep-Alive in the answer
	minIdleTime     = 500 * time.Millisecond
)

// ErrNoConn says that this node has as many connections to the worker as it may.
var ErrNoConn = errors.New("upstream: no connection to this worker is free")

// Pool holds idle connections to workers, each belonging to one worker id: another worker may come to listen at the
// same address (design 8 and 11). Idle ones hold no buffers.
type Pool struct {
	Stats   Stats
	names   adapter.Names
	mu      sync.Mutex
	workers map[string]*workerConns
}

// workerConns is one worker: idle connections, the newest last, and how many are open in all.
type workerConns struct {
	addr       string
	openCount  int
	generation int // a connection of an older one is closed when it comes back
	idle       []*conn
}

// NewPool makes an empty one.
func NewPool(n adapter.Names) *Pool { return &Pool{names: n, workers: map[string]*workerConns{}} }

// Idle gives how many connections to a worker wait for use.
func (p *Pool) Idle(worker string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.workers[worker]; h != nil {
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
	if h := p.workers[worker]; h != nil {
		h.closeIdle()
		p.removeUnused(worker, h)
	}
}

// CloseExpired closes the idle connections that are past their time.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for worker, h := range p.workers {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				h.closeConn(c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		p.removeUnused(worker, h)
	}
}

func (p *Pool) removeUnused(worker string, h *workerConns) {
	if h.openCount == 0 {
		delete(p.workers, worker)
	}
}

func (h *workerConns) closeConn(c *conn) {
	c.Close()
	h.openCount--
}

func (h *workerConns) closeIdle() {
	for _, c := range h.idle {
		h.closeConn(c)
	}
	h.idle = nil
	h.generation++
}

// takeIdle takes the newest idle connection, if it may be used. Callers hold the lock.
func (h *workerConns) takeIdle(dispatch *Dispatch, now time.Time) *conn {
	for len(h.idle) > 0 {
		i := len(h.idle) - 1
		c := h.idle[i]
		if dispatch.SendOnce && now.Sub(c.lastReadAt) > SendOnceMaxIdle {
			return nil
		}
		h.idle[i], h.idle = nil, h.idle[:i]
		if now.Before(c.idleUntil) && !c.recentIDs.has(dispatch.ID) { // a surplus answer would bear the same id
			return c
		}
		h.closeConn(c)
	}
	return nil
}

// acquire gives a connection to the order's worker: an idle one that is well or, with fresh, a new one.
func (p *Pool) acquire(ctx context.Context, dispatch *Dispatch, forceNew bool) (c *conn, reused bool, err error) {
	now := time.Now()
	for {
		p.mu.Lock()
		h := p.workers[dispatch.Worker]
		if h == nil {
			h = &workerConns{addr: dispatch.Addr}
			p.workers[dispatch.Worker] = h
		}
		if h.addr != dispatch.Addr {
			h.closeIdle()
			h.addr = dispatch.Addr
		}
		if !forceNew {
			if c = h.takeIdle(dispatch, now); c != nil {
				p.mu.Unlock()
				if socket.Peek(c.Conn) == socket.Quiet {
					return c, true, nil
				}
				p.discard(c)
				continue
			}
		}
		if dispatch.MaxConns > 0 && h.openCount >= dispatch.MaxConns {
			if len(h.idle) == 0 {
				p.mu.Unlock()
				return nil, false, ErrNoConn
			}
			h.closeConn(h.idle[0])
			h.idle = append(h.idle[:0], h.idle[1:]...)
		}
		h.openCount++
		generation := h.generation
		p.mu.Unlock()
		if c, err = p.dial(ctx, dispatch); err != nil {
			p.mu.Lock()
			h.openCount--
			p.removeUnused(dispatch.Worker, h)
			p.mu.Unlock()
			return nil, false, err
		}
		c.pooled, c.worker, c.generation = h, dispatch.Worker, generation
		return c, false, nil
	}
}

// putBack takes a connection back that may be used again until a time.
func (p *Pool) putBack(c *conn, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := c.pooled; c.generation == h.generation && time.Now().Before(until) {
		c.idleUntil = until
		h.idle = append(h.idle, c)
		return
	}
	c.pooled.closeConn(c)
	p.removeUnused(c.worker, c.pooled)
}

// discard closes a connection that is not to be used again.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pooled.closeConn(c)
	p.removeUnused(c.worker, c.pooled)
}
