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
	names   adapter.HeaderNames
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
func NewPool(n adapter.HeaderNames) *Pool { return &Pool{names: n, workers: map[string]*workerConns{}} }

// Idle returns the number of idle connections to a worker.
func (p *Pool) Idle(worker string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.workers[worker]; conns != nil {
		return len(conns.idle)
	}
	return 0
}

// Dials returns the number of connections made so far.
func (p *Pool) Dials() uint64 { return p.Stats.Connected.Load() }

// CloseIdle closes the idle connections of a removed worker. Those in use are closed after their answer.
func (p *Pool) CloseIdle(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.workers[worker]; conns != nil {
		conns.closeIdle()
		p.removeUnused(worker, conns)
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for worker, conns := range p.workers {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				conns.closeConn(c)
			}
		}
		clear(conns.idle[len(kept):])
		conns.idle = kept
		p.removeUnused(worker, conns)
	}
}

func (p *Pool) removeUnused(worker string, conns *workerConns) {
	if conns.openCount == 0 {
		delete(p.workers, worker)
	}
}

func (w *workerConns) closeConn(c *conn) {
	c.Close()
	w.openCount--
}

func (w *workerConns) closeIdle() {
	for _, c := range w.idle {
		w.closeConn(c)
	}
	w.idle = nil
	w.generation++
}

// takeIdle takes the most recently used idle connection, if it may be used for the dispatch. Callers hold the pool's lock.
func (w *workerConns) takeIdle(dispatch *Dispatch, now time.Time) *conn {
	for len(w.idle) > 0 {
		i := len(w.idle) - 1
		c := w.idle[i]
		if dispatch.SendOnce && now.Sub(c.lastReadAt) > SendOnceMaxIdle {
			return nil
		}
		w.idle[i], w.idle = nil, w.idle[:i]
		if now.Before(c.idleUntil) && !c.recentIDs.has(dispatch.ID) { // a surplus answer would carry the same id
			return c
		}
		w.closeConn(c)
	}
	return nil
}

// acquire returns a connection to the dispatch's worker: an idle one that is in order, or else, or with forceNew, a new one.
func (p *Pool) acquire(ctx context.Context, dispatch *Dispatch, forceNew bool) (c *conn, reused bool, err error) {
	now := time.Now()
	for {
		p.mu.Lock()
		conns := p.workers[dispatch.Worker]
		if conns == nil {
			conns = &workerConns{addr: dispatch.Addr}
			p.workers[dispatch.Worker] = conns
		}
		if conns.addr != dispatch.Addr {
			conns.closeIdle()
			conns.addr = dispatch.Addr
		}
		if !forceNew {
			if c = conns.takeIdle(dispatch, now); c != nil {
				p.mu.Unlock()
				if socket.Peek(c.Conn) == socket.Idle {
					return c, true, nil
				}
				p.discard(c)
				continue
			}
		}
		if dispatch.MaxConns > 0 && conns.openCount >= dispatch.MaxConns {
			if len(conns.idle) == 0 {
				p.mu.Unlock()
				return nil, false, ErrNoConn
			}
			conns.closeConn(conns.idle[0])
			conns.idle = append(conns.idle[:0], conns.idle[1:]...)
		}
		conns.openCount++
		generation := conns.generation
		p.mu.Unlock()
		if c, err = p.dial(ctx, dispatch); err != nil {
			p.mu.Lock()
			conns.openCount--
			p.removeUnused(dispatch.Worker, conns)
			p.mu.Unlock()
			return nil, false, err
		}
		c.pooled, c.worker, c.generation = conns, dispatch.Worker, generation
		return c, false, nil
	}
}

// putBack returns a connection to the pool, where it may be reused until the given time.
func (p *Pool) putBack(c *conn, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := c.pooled; c.generation == conns.generation && time.Now().Before(until) {
		c.idleUntil = until
		conns.idle = append(conns.idle, c)
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
