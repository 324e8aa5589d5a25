package clientwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// connPair returns both ends of a connection.
func connPair(t testing.TB) (router net.Conn, client *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	r, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close(); c.Close() })
	return r, c.(*net.TCPConn)
}

// newWatcher returns a watcher and the number of its wake calls.
func newWatcher() (w *Watcher, woken *int) {
	woken = new(int)
	return New(func(time.Duration) { *woken++ }), woken
}

// awaitEOF waits until the other side's end of stream or reset has arrived.
func awaitEOF(router net.Conn) { _, _ = router.Read(make([]byte, 1)) }

// A client that closes or resets its connection, or closes only its write side, is detected by the next check, and all derived
// contexts are cancelled with that cause.
func TestClientDisconnects(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn) error{
		"closes":        (*net.TCPConn).Close,
		"closes writes": (*net.TCPConn).CloseWrite,
		"resets":        func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newWatcher()
			router, client := connPair(t)
			r := w.Watch(router)
			defer r.End()
			if again := w.CheckAll(false); again != CheckInterval || r.Err() != nil || r.Check() != nil {
				t.Fatal("cancelled while the client waits", again, r.Cause())
			}
			child, release := context.WithCancel(r)
			defer release()
			if err := disconnect(client); err != nil {
				t.Fatal(err)
			}
			awaitEOF(router)
			w.CheckAll(false)
			if !errors.Is(r.Cause(), ErrClientDisconnected) || !errors.Is(context.Cause(child), ErrClientDisconnected) {
				t.Fatal(r.Cause(), context.Cause(child))
			}
		})
	}
}

// Check detects a disconnected client without CheckAll.
func TestCheckNow(t *testing.T) {
	w, _ := newWatcher()
	router, client := connPair(t)
	r := w.Watch(router)
	defer r.End()
	client.Close()
	awaitEOF(router)
	if err := r.Check(); !errors.Is(err, ErrClientDisconnected) || r.Err() == nil {
		t.Fatal(err)
	}
}

// A router that shuts down cancels only requests without an answer.
func TestRouterShutdown(t *testing.T) {
	w, _ := newWatcher()
	routerA, _ := connPair(t)
	routerB, _ := connPair(t)
	waiting, answered := w.Watch(routerA), w.Watch(routerB)
	defer waiting.End()
	defer answered.End()
	answered.AnswerStarted()
	w.CheckAll(true)
	if !errors.Is(waiting.Cause(), ErrRouterShutdown) || answered.Cause() != nil {
		t.Fatal(waiting.Cause(), answered.Cause())
	}
}

// Only the first request wakes the watcher, and the checks stop once no request is in progress.
func TestWatcherRests(t *testing.T) {
	w, woken := newWatcher()
	if w.CheckAll(false) != 0 {
		t.Error("it keeps checking with no request in progress")
	}
	a, _ := connPair(t)
	b, _ := connPair(t)
	first, second := w.Watch(a), w.Watch(b)
	if *woken != 1 {
		t.Errorf("woken %d times, want once", *woken)
	}
	first.End()
	if w.CheckAll(false) != CheckInterval {
		t.Error("the checks stopped with a request in progress")
	}
	second.End()
	if w.CheckAll(false) != 0 || first.Err() == nil {
		t.Error("it keeps checking, or the context of an ended request is not cancelled")
	}
	w.Watch(a).End()
	if *woken != 2 {
		t.Errorf("woken %d times, want twice", *woken)
	}
}

// Requests start, end and lose their clients in any order while CheckAll runs: a request is cancelled with
// ErrClientDisconnected exactly if its client disconnected before the request ended.
func TestRandomDisconnects(t *testing.T) {
	for seed := range uint64(20) {
		w := New(func(time.Duration) {})
		done := make(chan struct{})
		var rounds, requests sync.WaitGroup
		rounds.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					w.CheckAll(false)
				}
			}
		})
		for n := range uint64(16) {
			router, client := connPair(t)
			requests.Go(func() {
				rng := rand.New(rand.NewPCG(seed, n))
				disconnects := rng.IntN(2) == 0
				r := w.Watch(router)
				if disconnects {
					client.Close()
					<-r.Done()
				}
				if cancelled := errors.Is(r.Cause(), ErrClientDisconnected); cancelled != disconnects {
					t.Errorf("seed %d: client disconnected %v, cancelled for it %v", seed, disconnects, cancelled)
				}
				r.End()
			})
		}
		requests.Wait()
		close(done)
		rounds.Wait()
		if again := w.CheckAll(false); again != 0 {
			t.Errorf("seed %d: requests are left", seed)
		}
	}
}
