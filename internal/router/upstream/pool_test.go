package upstream

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"seamshunt/internal/partition"
)

func TestPoolUsesConnectionsAgain(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, echo)
	for i := range 5 {
		x := want(t, p, order(addr, fmt.Sprint("r", i)), fmt.Sprint("r", i))
		if x.Reused != (i > 0) {
			t.Fatalf("request %d: reused %v", i, x.Reused)
		}
	}
	wantCounts(t, p, 1, 1)
	if c := p.hosts["w"].idle[0]; c.caller != nil || c.stop != nil || c.until.Sub(c.at) != idleFor {
		t.Fatal("the idle connection isn't as it should be")
	}
	// The same id doesn't go over a connection where its own surplus answer may lie.
	want(t, p, order(addr, "r4"), "r4")
	wantCounts(t, p, 1, 2)
	// The same address under another id is another worker.
	o := order(addr, "v0")
	o.Worker = "v"
	if x := want(t, p, o, "v0"); x.Reused {
		t.Fatal("a connection of one worker id was used for another")
	}
	p.CloseIdle("w")
	if p.Idle("w") != 0 || p.Idle("v") != 1 {
		t.Fatal("Drop dropped others, or not all")
	}
}

func TestPoolClosesWhatTheWorkerClosed(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, func(w *wire) {
		if w.n == 0 {
			id, _ := w.get()
			w.say("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
			return // closes the connection while it is idle
		}
		echo(w)
	})
	want(t, p, order(addr, "a"), "")
	var b [1]byte
	if n, err := p.hosts["w"].idle[0].Conn.Read(b[:]); n != 0 || err == nil {
		t.Fatal("the worker didn't close")
	}
	if x := want(t, p, order(addr, "b"), "b"); x.Reused {
		t.Fatal("a closed connection was used")
	}
	wantCounts(t, p, 1, 2)
}

func TestPoolClosesWhereBytesLie(t *testing.T) {
	p := NewPool(names)
	late := make(chan struct{})
	addr := serve(t, func(w *wire) {
		if w.n == 0 {
			id, _ := w.get()
			w.say("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
			<-late
			w.say("xx")
			w.ended()
			return
		}
		echo(w)
	})
	want(t, p, order(addr, "a"), "")
	wantCounts(t, p, 1, 1)
	close(late)
	var b [1]byte
	if _, err := p.hosts["w"].idle[0].Conn.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	if x := want(t, p, order(addr, "b"), "b"); x.Reused {
		t.Fatal("a connection with bytes on it was used")
	}
}

func TestPoolBoundsIdleTime(t *testing.T) {
	p := NewPool(names)
	keep := ""
	addr := serve(t, func(w *wire) {
		for id, ok := w.get(); ok; id, ok = w.get() {
			w.say("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\n" + keep + "Content-Length: 0\n\n")
		}
	})
	for i, x := range []struct {
		head string
		d    time.Duration
	}{{"", 4 * time.Second}, {"Keep-Alive: timeout=7\n", 6 * time.Second}, {"Keep-Alive: max=5, Timeout=1\n", idleLeast},
		{"Keep-Alive: timeout=x\n", 4 * time.Second}, {"Keep-Alive: timeout=0\n", idleLeast}} {
		keep = x.head
		want(t, p, order(addr, fmt.Sprint(i)), "")
		if c := p.hosts["w"].idle[0]; c.until.Sub(c.at) != x.d {
			t.Errorf("%q: idle for %v", x.head, c.until.Sub(c.at))
		}
	}
	wantCounts(t, p, 1, 1)
	c := p.hosts["w"].idle[0]
	c.at = time.Now().Add(-SendOnceMaxIdle)
	o := order(addr, "once")
	o.SendOnce = true
	if x := want(t, p, o, ""); x.Reused {
		t.Fatal("a stale connection was used for what may not be sent twice")
	}
	wantCounts(t, p, 2, 2)
	p.hosts["w"].idle[1].until = time.Now()
	p.CloseExpired()
	wantCounts(t, p, 1, 2)
	if p.hosts["w"].idle[0] != c {
		t.Fatal("the wrong one was swept")
	}
	c.until = time.Now()
	if x := want(t, p, order(addr, "after"), ""); x.Reused {
		t.Fatal("one past its time was used")
	}
	p.hosts["w"].idle[0].until = time.Now()
	p.CloseExpired()
	if len(p.hosts) != 0 {
		t.Fatal("an empty worker is kept")
	}
}

func TestPoolHoldsToMost(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, echo)
	few := func(id string) *Dispatch { o := order(addr, id); o.MaxConns = 1; return o }
	x := p.Do(waiting(t), few("a"))
	if x.Outcome != Partial {
		t.Fatal(x.Err)
	}
	if y := wantKind(t, p, few("b"), NotSent); !errors.Is(y.Err, ErrNoConn) || y.Unreachable {
		t.Fatal(y.Err)
	}
	x.End() // its body wasn't read, so the connection is closed
	wantCounts(t, p, 0, 1)
	want(t, p, few("c"), "c")
	p.hosts["w"].idle[0].at = time.Now().Add(-time.Second)
	o := few("d")
	o.SendOnce = true
	want(t, p, o, "d")
	wantCounts(t, p, 1, 3)
	if n := p.hosts["w"].open; n != 1 {
		t.Fatalf("%d open", n)
	}
}

func TestPoolDropReachesThoseInUse(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, echo)
	x := p.Do(waiting(t), order(addr, "a"))
	p.CloseIdle("w")
	var b [9]byte
	if n, err := x.Read(b[:]); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	x.End()
	x.End()
	wantCounts(t, p, 0, 1)
	if len(p.hosts) != 0 {
		t.Fatal("an empty worker is kept")
	}
}

func TestPoolNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	p := NewPool(names)
	if x := wantKind(t, p, order(addr, "a"), NotSent); !x.Unreachable {
		t.Fatal("not down")
	}
	o := order(addr, "b")
	o.Deadline = time.Now()
	if x := wantKind(t, p, o, NotSent); x.Unreachable {
		t.Fatal("down though never asked")
	}
	if p.Dials() != 0 || len(p.hosts) != 0 {
		t.Fatal("something is left")
	}
}

// mute fails each write before a byte leaves.
type mute struct{ *net.TCPConn }

func (mute) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A connection that takes no byte is given up for a new one, once.
func TestPoolTakesAnotherWhereNothingLeft(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, echo)
	want(t, p, order(addr, "a"), "a")
	c := p.hosts["w"].idle[0]
	c.Conn = mute{partition.Unwrap(c.Conn).(*net.TCPConn)}
	if x := want(t, p, order(addr, "b"), "b"); x.Reused {
		t.Fatal("reused")
	}
	wantCounts(t, p, 1, 2)
	if n := p.hosts["w"].open; n != 1 {
		t.Fatalf("%d open", n)
	}
}

func TestPoolUnderManyHands(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, echo)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			for j := range 50 {
				id := fmt.Sprintf("r%d-%d", i, j)
				if b, x, err := all(t, p, order(addr, id)); b != id || err != nil {
					t.Errorf("%s: %q %v kind %d", id, b, err, x.Outcome)
				}
				p.CloseExpired()
				if j == 25 {
					p.CloseIdle("w")
				}
			}
		})
	}
	g.Wait()
	if h := p.hosts["w"]; h.open != len(h.idle) {
		t.Fatalf("%d open, %d idle", h.open, len(h.idle))
	}
}
