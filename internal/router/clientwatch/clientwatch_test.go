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

// pair gives both ends of a connection.
func pair(t testing.TB) (router net.Conn, client *net.TCPConn) {
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

// watcher counts how often it is woken.
func watcher() (w *Watcher, woken *int) {
	woken = new(int)
	return New(func(time.Duration) { *woken++ }), woken
}

// awaitEnd waits until the end that the other side sent has come: what is read then is that end.
func awaitEnd(router net.Conn) { _, _ = router.Read(make([]byte, 1)) }

// A client that closes its connection, or its write side alone, or resets it, is found at the next look, and all that
// hangs on the context ends with that reason.
func TestClientLeaves(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closes":        (*net.TCPConn).Close,
		"closes writes": (*net.TCPConn).CloseWrite,
		"resets":        func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := watcher()
			router, client := pair(t)
			r := w.Watch(router)
			defer r.End()
			if again := w.CheckAll(false); again != CheckInterval || r.Err() != nil || r.Check() != nil {
				t.Fatal("cancelled while the client waits", again, r.Cause())
			}
			child, release := context.WithCancel(r)
			defer release()
			if err := leave(client); err != nil {
				t.Fatal(err)
			}
			awaitEnd(router)
			w.CheckAll(false)
			if !errors.Is(r.Cause(), ErrClientDisconnected) || !errors.Is(context.Cause(child), ErrClientDisconnected) {
				t.Fatal(r.Cause(), context.Cause(child))
			}
		})
	}
}

// A look of one's own finds a client gone without any round.
func TestLookNow(t *testing.T) {
	w, _ := watcher()
	router, client := pair(t)
	r := w.Watch(router)
	defer r.End()
	client.Close()
	awaitEnd(router)
	if err := r.Check(); !errors.Is(err, ErrClientDisconnected) || r.Err() == nil {
		t.Fatal(err)
	}
}

// A router that is about to end cancels what has no answer yet, and nothing else.
func TestRouterEnds(t *testing.T) {
	w, _ := watcher()
	routerA, _ := pair(t)
	routerB, _ := pair(t)
	waits, answered := w.Watch(routerA), w.Watch(routerB)
	defer waits.End()
	defer answered.End()
	answered.AnswerStarted()
	w.CheckAll(true)
	if !errors.Is(waits.Cause(), ErrRouterShutdown) || answered.Cause() != nil {
		t.Fatal(waits.Cause(), answered.Cause())
	}
}

// The watcher is woken by the first request alone, and rests once none is under way.
func TestWatcherRests(t *testing.T) {
	w, woken := watcher()
	if w.CheckAll(false) != 0 {
		t.Error("it looks on with nothing under way")
	}
	a, _ := pair(t)
	b, _ := pair(t)
	first, second := w.Watch(a), w.Watch(b)
	if *woken != 1 {
		t.Errorf("woken %d times, want once", *woken)
	}
	first.End()
	if w.CheckAll(false) != CheckInterval {
		t.Error("it rests with a request under way")
	}
	second.End()
	if w.CheckAll(false) != 0 || first.Err() == nil {
		t.Error("it looks on, or a request that is over holds what hangs on it")
	}
	w.Watch(a).End()
	if *woken != 2 {
		t.Errorf("woken %d times, want twice", *woken)
	}
}

// Requests begin, end and lose their clients in any order while rounds go on: one is cancelled for its client exactly if
// that left before its end.
func TestRandomLeavings(t *testing.T) {
	for seed := range uint64(20) {
		w := New(func(time.Duration) {})
		over := make(chan struct{})
		var rounds, requests sync.WaitGroup
		rounds.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
					w.CheckAll(false)
				}
			}
		})
		for n := range uint64(16) {
			router, client := pair(t)
			requests.Go(func() {
				rng := rand.New(rand.NewPCG(seed, n))
				leaves := rng.IntN(2) == 0
				r := w.Watch(router)
				if leaves {
					client.Close()
					<-r.Done()
				}
				if left := errors.Is(r.Cause(), ErrClientDisconnected); left != leaves {
					t.Errorf("seed %d: left %v, cancelled for it %v", seed, leaves, left)
				}
				r.End()
			})
		}
		requests.Wait()
		close(over)
		rounds.Wait()
		if again := w.CheckAll(false); again != 0 {
			t.Errorf("seed %d: something is left", seed)
		}
	}
}
