package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"seamshunt/internal/partition"
)

// A connection that carried a request is never used for the same id again, however many others it carried meanwhile:
// the first one's surplus answer may still come and would bear the right id.
func TestSameIDNeverOnOneConnection(t *testing.T) {
	const kept = 16 // others behind which a surplus answer may still come
	for others := range kept {
		p := NewPool(names)
		addr := serve(t, func(w *wire) {
			if w.n > 0 {
				echo(w)
				return
			}
			w.get()
			w.say("HTTP/1.1 503 Full\nAttempt-Id: a\nNot-Run: 1\nContent-Length: 0\n\n")
			for range others {
				id, _ := w.get()
				w.say("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
			}
			if _, ok := w.get(); ok { // the same id came once more: its old refusal is due first
				w.say("HTTP/1.1 503 Full\nAttempt-Id: a\nNot-Run: 1\nContent-Length: 0\n\n")
			}
		})
		wantKind(t, p, order(addr, "a"), NotRun)
		for i := range others {
			want(t, p, order(addr, fmt.Sprint("other", i)), "")
		}
		if x := want(t, p, order(addr, "a"), "a"); x.Reused {
			t.Fatalf("behind %d others, the id goes over its old connection", others)
		}
	}
}

// A refusal without an id is believed where nobody else asked before; on a connection that others used it may be a
// surplus one of theirs, and proves nothing.
func TestUnnamedRefusalOnAUsedConnection(t *testing.T) {
	for _, status := range []int{400, 421, 429, 503} {
		refusal := fmt.Sprintf("HTTP/1.1 %d No\nNot-Run: 1\nContent-Length: 0\n\n", status)
		addr := serve(t, func(w *wire) {
			if w.n == 0 {
				w.get()
				w.say("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 0\n\n")
			}
			w.get()
			w.say(refusal)
			w.ended()
		})
		p := NewPool(names)
		want(t, p, order(addr, "a"), "")
		if x := wantKind(t, p, order(addr, "b"), Unknown); !x.Reused {
			t.Fatal("not on the used connection")
		}
		if x := p.Do(waiting(t), order(addr, "c")); x.Outcome != NotRun && x.Outcome != WorkerReplaced || x.Reused {
			t.Fatalf("%d on a new connection: kind %d", status, x.Outcome)
		} else {
			x.End()
		}
	}
}

// cutting lets some bytes through and then fails as a connection that the worker closed.
type cutting struct {
	*net.TCPConn
	left  int
	cut   syscall.Errno
	ready chan struct{} // closed once the worker has closed
}

func (c *cutting) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:min(c.left, len(b))])
	if c.left -= n; n == len(b) {
		return n, nil
	}
	<-c.ready
	return n, os.NewSyscallError("write", c.cut)
}

// frozen stands still before each read.
type frozen struct {
	*net.TCPConn
	thaw func()
}

func (f *frozen) Read(b []byte) (int, error) {
	f.thaw()
	return f.TCPConn.Read(b)
}

// A worker that answers and closes before the whole request has come: what it said counts all the same. Without an
// answer the outcome is unknown. The connection is never used again, and nothing is sent a second time.
func TestWorkerAnswersBeforeTheBody(t *testing.T) {
	for _, cut := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET} {
		for _, x := range []struct {
			say  string
			kind Outcome
		}{
			{"HTTP/1.1 503 Full\nAttempt-Id: b\nNot-Run: 1\nContent-Length: 0\n\n", NotRun},
			{"HTTP/1.1 413 Large\nAttempt-Id: b\nContent-Length: 0\n\n", Partial},
			{"HTTP/1.1 200 OK\nAttempt-Id: other\nContent-Length: 0\n\n", Unknown},
			{"", Unknown},
		} {
			full := make(chan struct{})
			addr := serve(t, func(w *wire) {
				w.get()
				w.say("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 0\n\n")
				var b [1]byte
				_, _ = io.ReadFull(w.r, b[:])
				w.say(x.say)
				_ = w.Conn.Close()
				close(full)
			})
			p := NewPool(names)
			want(t, p, order(addr, "a"), "")
			c := p.hosts["w"].idle[0]
			c.Conn = &cutting{partition.Unwrap(c.Conn).(*net.TCPConn), 4000, cut, full}
			o := order(addr, "b")
			o.Request.SetBodyString(strings.Repeat("x", 1<<16))
			y := p.Do(waiting(t), o)
			if y.Outcome != x.kind || !y.Reused {
				t.Fatalf("%v, %q: kind %d, %v", cut, x.say, y.Outcome, y.Err)
			}
			y.End()
			wantCounts(t, p, 0, 1)
		}
	}
}

// A router that stood still until every deadline had passed: the answer that lies in its socket meanwhile is nobody's
// any more, and its connection isn't used again.
func TestFrozenPastTheDeadline(t *testing.T) {
	written := make(chan struct{})
	addr := serve(t, func(w *wire) {
		id, _ := w.get()
		w.say("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
		close(written)
		w.ended()
	})
	p := NewPool(names)
	o := order(addr, "a")
	o.Deadline = time.Now().Add(200 * time.Millisecond)
	due, cancel := context.WithDeadline(t.Context(), o.Deadline.Add(50*time.Millisecond))
	defer cancel()
	c, _, err := p.take(waiting(t), o, false)
	if err != nil {
		t.Fatal(err)
	}
	c.Conn = &frozen{partition.Unwrap(c.Conn).(*net.TCPConn), func() { <-written; <-due.Done() }}
	p.put(c, time.Now().Add(soon))
	if x := wantKind(t, p, o, Unknown); !errors.Is(x.Err, os.ErrDeadlineExceeded) || !x.Reused {
		t.Fatal(x.Err, x.Reused)
	}
	wantCounts(t, p, 0, 1)
}
