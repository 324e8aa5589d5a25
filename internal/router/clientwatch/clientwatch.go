// Package clientwatch cancels the work for a request whose answer is no longer needed. Each request in progress has a
// context that is cancelled when its client has closed its connection, or when the router shuts down (docs/design.md,
// section 8).
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

// CheckInterval is how often the clients of all requests in progress are checked. Code that starts work for a request also
// checks by itself, so this limits only how long work in progress continues for a disconnected client.
const CheckInterval = 100 * time.Millisecond

// Why a request is cancelled.
var (
	// ErrClientDisconnected reports that the client has closed its connection.
	ErrClientDisconnected = errors.New("clientwatch: client disconnected")
	// ErrRouterShutdown reports that the router is shutting down and no answer had started.
	ErrRouterShutdown = errors.New("clientwatch: router is shutting down")
	// errRequestEnded is the cause for contexts derived from a request that has ended.
	errRequestEnded = errors.New("clientwatch: request has ended")
)

// Watcher checks the clients of all requests in progress. One goroutine calls CheckAll; other methods may be called from any.
type Watcher struct {
	wake     func(within time.Duration) // schedules a call of CheckAll
	mu       sync.Mutex
	requests map[*Request]struct{}
	batch    []*Request // requests being checked; kept to reuse its memory
}

// New returns a watcher. It calls wake when the first request starts.
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

// CheckAll checks all clients once. If the router is shutting down, it also cancels the requests without an answer. It returns
// how long the next check may wait, or 0 while no request is in progress.
func (w *Watcher) CheckAll(shuttingDown bool) time.Duration {
	w.mu.Lock()
	w.batch = w.batch[:0]
	for r := range w.requests {
		w.batch = append(w.batch, r)
	}
	w.mu.Unlock()
	for _, r := range w.batch {
		if r.Check() == nil && shuttingDown && !r.answering.Load() {
			r.cancel(ErrRouterShutdown)
		}
	}
	clear(w.batch)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		return 0
	}
	return CheckInterval
}

// Check checks the client now. It returns why the request was cancelled, or nil while the client waits.
func (r *Request) Check() error {
	if r.Err() == nil && socket.PeerClosed(r.conn) {
		r.cancel(ErrClientDisconnected)
	}
	return r.Cause()
}

// Cause returns why the request was cancelled, as far as is known, or nil.
func (r *Request) Cause() error { return context.Cause(r.Context) }

// AnswerStarted is called once a worker's answer has started. Shutdown of the router then no longer cancels the request.
func (r *Request) AnswerStarted() { r.answering.Store(true) }

// End stops watching and cancels all contexts derived from the request.
func (r *Request) End() {
	r.watcher.mu.Lock()
	delete(r.watcher.requests, r)
	r.watcher.mu.Unlock()
	r.cancel(errRequestEnded)
}
