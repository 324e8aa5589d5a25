// Package clientwatch ends the work for a request when nobody waits for it any more: each request under way has a context
// that is cancelled once its client has closed its connection, or once the router is about to end (design 8).
package clientwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"seamshunt/internal/socket"
)

// CheckInterval is how often the clients of all requests under way are looked at. Whoever begins something for a request looks
// by itself besides, so this bounds only how long what is under way goes on for nobody.
const CheckInterval = 100 * time.Millisecond

// Why a request is cancelled.
var (
	// ErrClientDisconnected says that the client has closed its connection.
	ErrClientDisconnected = errors.New("clientwatch: the client has left")
	// ErrRouterShutdown says that the router is about to end and no answer had begun.
	ErrRouterShutdown = errors.New("clientwatch: the router is about to end")
	// errEnded releases what still hangs on the context of a request that is over.
	errEnded = errors.New("clientwatch: the request is over")
)

// Watcher looks at the clients of all requests under way. One goroutine calls Look; the rest may be called from any.
type Watcher struct {
	wake     func(within time.Duration) // has Look called
	mu       sync.Mutex
	requests map[*Request]struct{}
	round    []*Request // those of the round under way, kept for its memory
}

// New makes a watcher. It calls wake when the first request is under way.
func New(wake func(within time.Duration)) *Watcher {
	return &Watcher{wake: wake, requests: map[*Request]struct{}{}}
}

// Request is the context of one client's request.
type Request struct {
	context.Context
	cancel    context.CancelCauseFunc
	watcher   *Watcher
	conn      net.Conn
	answering atomic.Bool
}

// Watch watches the client at the other end of a connection until End.
func (w *Watcher) Watch(conn net.Conn) *Request {
	r := &Request{watcher: w, conn: conn}
	r.Context, r.cancel = context.WithCancelCause(context.Background())
	w.mu.Lock()
	w.requests[r] = struct{}{}
	first := len(w.requests) == 1
	w.mu.Unlock()
	if first {
		w.wake(CheckInterval)
	}
	return r
}

// CheckAll looks at all clients once, and cancels what has no answer yet if the router is about to end. It gives how long the
// next look may wait, 0 for as long as nothing is under way.
func (w *Watcher) CheckAll(routerEnds bool) time.Duration {
	w.mu.Lock()
	w.round = w.round[:0]
	for r := range w.requests {
		w.round = append(w.round, r)
	}
	w.mu.Unlock()
	for _, r := range w.round {
		if r.Check() == nil && routerEnds && !r.answering.Load() {
			r.cancel(ErrRouterShutdown)
		}
	}
	clear(w.round)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		return 0
	}
	return CheckInterval
}

// Check looks at the client now, and gives why the request is cancelled; nil while somebody waits for it.
func (r *Request) Check() error {
	if r.Err() == nil && socket.PeerClosed(r.conn) {
		r.cancel(ErrClientDisconnected)
	}
	return r.Cause()
}

// Cause gives why the request is cancelled, as far as that is known.
func (r *Request) Cause() error { return context.Cause(r.Context) }

// AnswerStarted is called once a worker's answer has begun: the end of the router doesn't cancel it any more.
func (r *Request) AnswerStarted() { r.answering.Store(true) }

// End stops watching. What still hangs on the context is released.
func (r *Request) End() {
	r.watcher.mu.Lock()
	delete(r.watcher.requests, r)
	r.watcher.mu.Unlock()
	r.cancel(errEnded)
}
