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

func TestPoolReusesConnections(t *testing.T) {
	p := NewPool(names)
	addr := serveScript(t, echo)
	for i := range 5 {
		x := wantAnswer(t, p, newDispatch(addr, fmt.Sprint("r", i)), fmt.Sprint("r", i))
		if x.Reused != (i > 0) {
			t.Fatalf("request %d: reused %v", i, x.Reused)
		}
	}
	wantCounts(t, p, 1, 1)
	if c := p.workers["w"].idle[0]; c.caller != nil || c.stopWatching != nil || c.idleUntil.Sub(c.lastReadAt) != defaultIdleTime {
		t.Fatal("the idle connection still has a caller, or the wrong idle time")
	}
	// A request with the same id isn't sent over a connection that may hold a surplus answer to it.
	wantAnswer(t, p, newDispatch(addr, "r4"), "r4")
	wantCounts(t, p, 1, 2)
	// The same address with another worker id is another worker.
	o := newDispatch(addr, "v0")
	o.Worker = "v"
	if x := wantAnswer(t, p, o, "v0"); x.Reused {
		t.Fatal("a connection of one worker id was used for another")
	}
	p.CloseIdle("w")
	if p.Idle("w") != 0 || p.Idle("v") != 1 {
		t.Fatal("CloseIdle closed another worker's connections, or not all of this one's")
	}
}

func TestPoolDiscardsConnectionClosedByWorker(t *testing.T) {
	p := NewPool(names)
	addr := serveScript(t, func(w *workerConn) {
		if w.index == 0 {
			id, _ := w.readRequest()
			w.send("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
			return // closes the connection while it is idle
		}
		echo(w)
	})
	wantAnswer(t, p, newDispatch(addr, "a"), "")
	var b [1]byte
	if n, err := p.workers["w"].idle[0].Conn.Read(b[:]); n != 0 || err == nil {
		t.Fatal("the worker didn't close")
	}
	if x := wantAnswer(t, p, newDispatch(addr, "b"), "b"); x.Reused {
		t.Fatal("a closed connection was reused")
	}
	wantCounts(t, p, 1, 2)
}

func TestPoolDiscardsConnectionWithUnreadBytes(t *testing.T) {
	p := NewPool(names)
	sendSurplus := make(chan struct{})
	addr := serveScript(t, func(w *workerConn) {
		if w.index == 0 {
			id, _ := w.readRequest()
			w.send("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
			<-sendSurplus
			w.send("xx")
			w.awaitClose()
			return
		}
		echo(w)
	})
	wantAnswer(t, p, newDispatch(addr, "a"), "")
	wantCounts(t, p, 1, 1)
	close(sendSurplus)
	var b [1]byte
	if _, err := p.workers["w"].idle[0].Conn.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	if x := wantAnswer(t, p, newDispatch(addr, "b"), "b"); x.Reused {
		t.Fatal("a connection with unread bytes was reused")
	}
}

func TestPoolLimitsIdleTime(t *testing.T) {
	p := NewPool(names)
	keepAlive := ""
	addr := serveScript(t, func(w *workerConn) {
		for id, ok := w.readRequest(); ok; id, ok = w.readRequest() {
			w.send("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\n" + keepAlive + "Content-Length: 0\n\n")
		}
	})
	for i, x := range []struct {
		header string
		d      time.Duration
	}{{"", 4 * time.Second}, {"Keep-Alive: timeout=7\n", 6 * time.Second}, {"Keep-Alive: max=5, Timeout=1\n", minIdleTime},
		{"Keep-Alive: timeout=x\n", 4 * time.Second}, {"Keep-Alive: timeout=0\n", minIdleTime}} {
		keepAlive = x.header
		wantAnswer(t, p, newDispatch(addr, fmt.Sprint(i)), "")
		if c := p.workers["w"].idle[0]; c.idleUntil.Sub(c.lastReadAt) != x.d {
			t.Errorf("%q: idle for %v", x.header, c.idleUntil.Sub(c.lastReadAt))
		}
	}
	wantCounts(t, p, 1, 1)
	c := p.workers["w"].idle[0]
	c.lastReadAt = time.Now().Add(-SendOnceMaxIdle)
	o := newDispatch(addr, "once")
	o.SendOnce = true
	if x := wantAnswer(t, p, o, ""); x.Reused {
		t.Fatal("a stale connection was used for a request that must not be sent twice")
	}
	wantCounts(t, p, 2, 2)
	p.workers["w"].idle[1].idleUntil = time.Now()
	p.CloseExpired()
	wantCounts(t, p, 1, 2)
	if p.workers["w"].idle[0] != c {
		t.Fatal("the wrong connection was closed")
	}
	c.idleUntil = time.Now()
	if x := wantAnswer(t, p, newDispatch(addr, "after"), ""); x.Reused {
		t.Fatal("an expired connection was reused")
	}
	p.workers["w"].idle[0].idleUntil = time.Now()
	p.CloseExpired()
	if len(p.workers) != 0 {
		t.Fatal("a worker without connections is kept")
	}
}

func TestPoolLimitsOpenConnections(t *testing.T) {
	p := NewPool(names)
	addr := serveScript(t, echo)
	limited := func(id string) *Dispatch { o := newDispatch(addr, id); o.MaxConns = 1; return o }
	x := p.Do(waitingCaller(t), limited("a"))
	if x.Outcome != Partial {
		t.Fatal(x.Err)
	}
	if y := wantOutcome(t, p, limited("b"), NotSent); !errors.Is(y.Err, ErrNoConn) || y.Unreachable {
		t.Fatal(y.Err)
	}
	x.End() // the body wasn't read, so the connection is closed
	wantCounts(t, p, 0, 1)
	wantAnswer(t, p, limited("c"), "c")
	p.workers["w"].idle[0].lastReadAt = time.Now().Add(-time.Second)
	o := limited("d")
	o.SendOnce = true
	wantAnswer(t, p, o, "d")
	wantCounts(t, p, 1, 3)
	if n := p.workers["w"].openCount; n != 1 {
		t.Fatalf("%d open", n)
	}
}

func TestPoolCloseIdleReachesConnectionsInUse(t *testing.T) {
	p := NewPool(names)
	addr := serveScript(t, echo)
	x := p.Do(waitingCaller(t), newDispatch(addr, "a"))
	p.CloseIdle("w")
	var b [9]byte
	if n, err := x.Read(b[:]); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	x.End()
	x.End()
	wantCounts(t, p, 0, 1)
	if len(p.workers) != 0 {
		t.Fatal("a worker without connections is kept")
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
	if x := wantOutcome(t, p, newDispatch(addr, "a"), NotSent); !x.Unreachable {
		t.Fatal("not unreachable")
	}
	o := newDispatch(addr, "b")
	o.Deadline = time.Now()
	if x := wantOutcome(t, p, o, NotSent); x.Unreachable {
		t.Fatal("unreachable although no connection was attempted")
	}
	if p.Dials() != 0 || len(p.workers) != 0 {
		t.Fatal("connections are left")
	}
}

// failingWriteConn fails each write before a byte is sent.
type failingWriteConn struct{ *net.TCPConn }

func (failingWriteConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A connection on which no byte can be sent is replaced by a new one, once.
func TestPoolRedialsWhenNothingWasSent(t *testing.T) {
	p := NewPool(names)
	addr := serveScript(t, echo)
	wantAnswer(t, p, newDispatch(addr, "a"), "a")
	c := p.workers["w"].idle[0]
	c.Conn = failingWriteConn{partition.Unwrap(c.Conn).(*net.TCPConn)}
	if x := wantAnswer(t, p, newDispatch(addr, "b"), "b"); x.Reused {
		t.Fatal("reused")
	}
	wantCounts(t, p, 1, 2)
	if n := p.workers["w"].openCount; n != 1 {
		t.Fatalf("%d open", n)
	}
}

func TestPoolConcurrentUse(t *testing.T) {
	p := NewPool(names)
	addr := serveScript(t, echo)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			for j := range 50 {
				id := fmt.Sprintf("r%d-%d", i, j)
				if b, x, err := doAndRead(t, p, newDispatch(addr, id)); b != id || err != nil {
					t.Errorf("%s: %q %v outcome %d", id, b, err, x.Outcome)
				}
				p.CloseExpired()
				if j == 25 {
					p.CloseIdle("w")
				}
			}
		})
	}
	g.Wait()
	if h := p.workers["w"]; h.openCount != len(h.idle) {
		t.Fatalf("%d open, %d idle", h.openCount, len(h.idle))
	}
}
