package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/socket"
)

// SendOnceMaxIdle is how long a connection may have been idle to be used for a request that must not be sent twice.
const SendOnceMaxIdle = 300 * time.Millisecond

const (
	defaultIdleTime = 4 * time.Second // without a Keep-Alive in the answer
	minIdleTime     = 500 * time.Millisecond
)

// ErrNoConn reports that the limit of connections to the worker is reached and all are in use.
var ErrNoConn = errors.New("upstream: all connections to the worker are in use")

// Pool holds idle connections to workers. Each belongs to one worker id, since another worker may later listen at the same
// address (docs/design.md, sections 8 and 11). Idle connections hold no buffers.
type Pool struct {
	Stats   Stats
	names   adapter.Names
	mu      sync.Mutex
	workers map[string]*workerConns
}

// workerConns is the connections to one worker.
type workerConns struct {
	addr       string
	openCount  int     // idle or in use
	generation int     // connections of an older generation are closed when they come back
	idle       []*conn // the most recently used last
}

// NewPool returns an empty pool.
func NewPool(n adapter.Names) *Pool { return &Pool{names: n, workers: map[string]*workerConns{}} }

// Idle returns the number of idle connections to a worker.
func (p *Pool) Idle(worker string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.workers[worker]; h != nil {
		return len(h.idle)
	}
	return 0
}

// Dials returns the number of connections made so far.
func (p *Pool) Dials() uint64 { return p.Stats.Connected.Load() }

// CloseIdle closes the idle connections of a removed worker. Those in use are closed after their answer.
func (p *Pool) CloseIdle(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.workers[worker]; h != nil {
		h.closeIdle()
		p.removeUnused(worker, h)
	}
}

// CloseExpired closes the idle connections that have expired.
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

// takeIdle takes the most recently used idle connection, if it may be used for the dispatch. Callers hold the pool's lock.
func (h *workerConns) takeIdle(dispatch *Dispatch, now time.Time) *conn {
	for len(h.idle) > 0 {
		i := len(h.idle) - 1
		c := h.idle[i]
		if dispatch.SendOnce && now.Sub(c.lastReadAt) > SendOnceMaxIdle {
			return nil
		}
		h.idle[i], h.idle = nil, h.idle[:i]
		if now.Before(c.idleUntil) && !c.recentIDs.has(dispatch.ID) { // a surplus answer would carry the same id
			return c
		}
		h.closeConn(c)
	}
	return nil
}

// acquire returns a connection to the dispatch's worker: an idle one that is in order, or else, or with forceNew, a new one.
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

// putBack returns a connection to the pool, where it may be reused until the given time.
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

// discard closes a connection that must not be reused.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pooled.closeConn(c)
	p.removeUnused(c.worker, c.pooled)
}
