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

// A connection that carried a request is never used for the same id again, however many others it carried meanwhile. A
// surplus answer to the first request may still come and would carry the right id.
func TestSameIDNeverOnOneConnection(t *testing.T) {
	const maxOthers = 16 // requests after which a surplus answer may still come
	for others := range maxOthers {
		p := NewPool(names)
		addr := serveScript(t, func(w *workerConn) {
			if w.index > 0 {
				echo(w)
				return
			}
			w.readRequest()
			w.send("HTTP/1.1 503 Full\nAttempt-Id: a\nNot-Run: 1\nContent-Length: 0\n\n")
			for range others {
				id, _ := w.readRequest()
				w.send("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
			}
			if _, ok := w.readRequest(); ok { // the same id again: first send a surplus refusal of the first request
				w.send("HTTP/1.1 503 Full\nAttempt-Id: a\nNot-Run: 1\nContent-Length: 0\n\n")
			}
		})
		wantOutcome(t, p, newDispatch(addr, "a"), NotRun)
		for i := range others {
			wantAnswer(t, p, newDispatch(addr, fmt.Sprint("other", i)), "")
		}
		if x := wantAnswer(t, p, newDispatch(addr, "a"), "a"); x.Reused {
			t.Fatalf("after %d others, the same id uses its old connection", others)
		}
	}
}

// A refusal without an attempt id counts only on a new connection. On a reused one it may be a surplus refusal of an earlier
// request, and proves nothing.
func TestRefusalWithoutIDOnAUsedConnection(t *testing.T) {
	for _, status := range []int{400, 421, 429, 503} {
		refusal := fmt.Sprintf("HTTP/1.1 %d No\nNot-Run: 1\nContent-Length: 0\n\n", status)
		addr := serveScript(t, func(w *workerConn) {
			if w.index == 0 {
				w.readRequest()
				w.send("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 0\n\n")
			}
			w.readRequest()
			w.send(refusal)
			w.awaitClose()
		})
		p := NewPool(names)
		wantAnswer(t, p, newDispatch(addr, "a"), "")
		if x := wantOutcome(t, p, newDispatch(addr, "b"), Unknown); !x.Reused {
			t.Fatal("not on the used connection")
		}
		if x := p.Do(waitingCaller(t), newDispatch(addr, "c")); x.Outcome != NotRun && x.Outcome != WorkerReplaced || x.Reused {
			t.Fatalf("%d on a new connection: outcome %d", status, x.Outcome)
		} else {
			x.End()
		}
	}
}

// truncatingConn writes a limited number of bytes and then fails like a connection that the worker closed.
type truncatingConn struct {
	*net.TCPConn
	writable     int
	errno        syscall.Errno
	workerClosed chan struct{} // closed once the worker has closed the connection
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:min(c.writable, len(b))])
	if c.writable -= n; n == len(b) {
		return n, nil
	}
	<-c.workerClosed
	return n, os.NewSyscallError("write", c.errno)
}

// pausedConn pauses before each read.
type pausedConn struct {
	*net.TCPConn
	awaitResume func()
}

func (f *pausedConn) Read(b []byte) (int, error) {
	f.awaitResume()
	return f.TCPConn.Read(b)
}

// A worker answers and closes the connection before it has read the whole request: its answer counts all the same. Without
// an answer the outcome is unknown. The connection is never reused, and nothing is sent a second time.
func TestWorkerAnswersBeforeTheBody(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET} {
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
			addr := serveScript(t, func(w *workerConn) {
				w.readRequest()
				w.send("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 0\n\n")
				var b [1]byte
				_, _ = io.ReadFull(w.r, b[:])
				w.send(x.say)
				_ = w.Conn.Close()
				close(full)
			})
			p := NewPool(names)
			wantAnswer(t, p, newDispatch(addr, "a"), "")
			c := p.workers["w"].idle[0]
			c.Conn = &truncatingConn{partition.Unwrap(c.Conn).(*net.TCPConn), 4000, errno, full}
			o := newDispatch(addr, "b")
			o.Request.SetBodyString(strings.Repeat("x", 1<<16))
			y := p.Do(waitingCaller(t), o)
			if y.Outcome != x.kind || !y.Reused {
				t.Fatalf("%v, %q: outcome %d, %v", errno, x.say, y.Outcome, y.Err)
			}
			y.End()
			wantCounts(t, p, 0, 1)
		}
	}
}

// A router was paused until all deadlines had passed: the answer in its socket is discarded, and the connection isn't
// reused.
func TestPausedPastTheDeadline(t *testing.T) {
	written := make(chan struct{})
	addr := serveScript(t, func(w *workerConn) {
		id, _ := w.readRequest()
		w.send("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: 0\n\n")
		close(written)
		w.awaitClose()
	})
	p := NewPool(names)
	o := newDispatch(addr, "a")
	o.Deadline = time.Now().Add(200 * time.Millisecond)
	due, cancel := context.WithDeadline(t.Context(), o.Deadline.Add(50*time.Millisecond))
	defer cancel()
	c, _, err := p.acquire(waitingCaller(t), o, false)
	if err != nil {
		t.Fatal(err)
	}
	c.Conn = &pausedConn{partition.Unwrap(c.Conn).(*net.TCPConn), func() { <-written; <-due.Done() }}
	p.putBack(c, time.Now().Add(testTimeout))
	if x := wantOutcome(t, p, o, Unknown); !errors.Is(x.Err, os.ErrDeadlineExceeded) || !x.Reused {
		t.Fatal(x.Err, x.Reused)
	}
	wantCounts(t, p, 0, 1)
}
