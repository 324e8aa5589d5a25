package upstream

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"seamshunt/internal/netfault"
)

// testCaller is a caller that a test can cancel. It counts the calls of Check.
type testCaller struct {
	context.Context
	checks atomic.Int64
}

// Check returns the context's cause.
func (c *testCaller) Check() error {
	c.checks.Add(1)
	return context.Cause(c)
}

// waitingCaller returns a caller that waits until the end of the test.
func waitingCaller(t testing.TB) *testCaller {
	c, _ := cancellableCaller(t)
	return c
}

// errCallerCancelled is the reason with which tests cancel their caller.
var errCallerCancelled = errors.New("the test's caller was cancelled")

// cancellableCaller returns a caller and the function that cancels it.
func cancellableCaller(t testing.TB) (caller *testCaller, cancelCaller func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(nil) })
	return &testCaller{Context: ctx}, func() { cancel(errCallerCancelled) }
}

// serveOneRequest serves a worker that reads a request, sends an answer, calls then and closes ended once the connection is
// closed.
func serveOneRequest(t *testing.T, say string, then func()) (addr string, ended chan struct{}) {
	ended = make(chan struct{})
	return serveScript(t, func(w *workerConn) {
		w.readRequest()
		w.send(say)
		then()
		w.awaitClose()
		close(ended)
	}), ended
}

// A caller that is cancelled while the header is awaited, at any point of it, ends the wait and the connection.
func TestCallerIsCancelledBeforeTheHeader(t *testing.T) {
	for _, say := range []string{"", "HTTP/1.1 200 OK\nAttempt", "HTTP/1.1 200 OK\nAttempt-Id: old\nContent-Length: 9\n\nold"} {
		caller, cancelCaller := cancellableCaller(t)
		addr, ended := serveOneRequest(t, say, cancelCaller)
		p := NewPool(headerNames)
		x := p.Do(caller, newDispatch(addr, "a"))
		if x.Outcome != Unknown || !errors.Is(x.Err, errCallerCancelled) || caller.checks.Load() != 1 {
			t.Fatal(x.Outcome, x.Err, caller.checks.Load())
		}
		x.End()
		<-ended
		wantCounts(t, p, 0, 1)
	}
}

// For a caller that was cancelled before, nothing is sent over a new or an idle connection, and the connection is kept for
// others.
func TestNothingIsSentWithoutCaller(t *testing.T) {
	p := NewPool(headerNames)
	addr := serveScript(t, echo)
	for _, reused := range []bool{false, true} {
		caller, cancelCaller := cancellableCaller(t)
		cancelledCaller := &callerCancelledAtCheck{caller, cancelCaller}
		x := p.Do(cancelledCaller, newDispatch(addr, "left"))
		if x.Outcome != NotSent || !errors.Is(x.Err, errCallerCancelled) || x.Unreachable || x.Reused != reused {
			t.Fatal(x.Outcome, x.Err, x.Unreachable, x.Reused)
		}
		x.End()
		wantCounts(t, p, 1, 1)
	}
	if n := p.Stats.Abandoned.Load(); n != 2 {
		t.Errorf("%d requests were abandoned, want 2", n)
	}
	if y := wantAnswer(t, p, newDispatch(addr, "b"), "b"); !y.Reused {
		t.Error("the connection was not used again")
	}
}

// callerCancelledAtCheck is a caller that is cancelled by the check right before the request would be sent.
type callerCancelledAtCheck struct {
	*testCaller
	cancelCaller func()
}

func (c *callerCancelledAtCheck) Check() error {
	c.cancelCaller()
	return c.testCaller.Check()
}

// A caller that is cancelled while a connection is made ends the attempt. The worker isn't considered unreachable.
func TestCallerIsCancelledWhileConnecting(t *testing.T) {
	caller, cancelCaller := cancellableCaller(t)
	p, l := NewPool(headerNames), netfault.BlackholeListener(t)
	got := make(chan *Exchange)
	go func() { got <- p.Do(caller, newDispatch(l.Addr().String(), "a")) }()
	cancelCaller()
	x := <-got
	if x.Outcome != NotSent || !errors.Is(x.Err, errCallerCancelled) || x.Unreachable {
		t.Error(x.Outcome, x.Err, x.Unreachable)
	}
	x.End()
	if s := &p.Stats; s.Cancelled.Load() != 1 || s.TimedOut.Load() != 0 || len(p.workers) != 0 {
		t.Errorf("%d cancelled, %d timed out, %d hosts", s.Cancelled.Load(), s.TimedOut.Load(), len(p.workers))
	}
}

// A worker that doesn't answer a connection attempt within the whole dialTimeout is unreachable; one that had less time may
// not be.
func TestSilentWorkerIsUnreachable(t *testing.T) {
	l := netfault.BlackholeListener(t)
	p := NewPool(headerNames)
	if x := wantOutcome(t, p, newDispatch(l.Addr().String(), "a"), NotSent); !x.Unreachable {
		t.Error("not unreachable after the whole dialTimeout", x.Err)
	}
	o := newDispatch(l.Addr().String(), "b")
	o.Deadline = time.Now().Add(dialTimeout / 5)
	if x := wantOutcome(t, p, o, NotSent); x.Unreachable {
		t.Error("unreachable after a fifth of dialTimeout", x.Err)
	}
	if n := p.Stats.TimedOut.Load(); n != 2 {
		t.Errorf("%d timed out, want 2", n)
	}
}

// After the header, the exchange waits for the rest of the answer however long it takes; only the caller may cancel it.
func TestSilenceAfterTheHeader(t *testing.T) {
	next := make(chan struct{})
	addr := serveScript(t, func(w *workerConn) {
		w.readRequest()
		w.send("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 2\n\na")
		<-next
		w.send("b")
		w.awaitClose()
	})
	x := NewPool(headerNames).Do(waitingCaller(t), newDispatch(addr, "a"))
	defer x.End()
	if x.Outcome != Partial {
		t.Fatal(x.Outcome, x.Err)
	}
	var b [4]byte
	if n, err := x.Read(b[:]); n != 1 || err != nil { // returned before the rest has arrived
		t.Fatal(n, err)
	}
	close(next)
	if n, err := x.Read(b[:]); n != 1 || err != nil {
		t.Fatal(n, err)
	}
}

// A caller that is cancelled in the middle of an answer ends it. One that is cancelled after a complete answer doesn't
// affect the connection's next dispatch.
func TestCallerIsCancelledDuringTheAnswer(t *testing.T) {
	p := NewPool(headerNames)
	addr, ended := serveOneRequest(t, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 9\n\nabc", func() {})
	caller, cancelCaller := cancellableCaller(t)
	x := p.Do(caller, newDispatch(addr, "a"))
	var b [9]byte
	if n, err := io.ReadFull(x.bodyReader(), b[:3]); n != 3 || err != nil {
		t.Fatal(n, err)
	}
	got := make(chan error)
	go func() {
		_, err := x.Read(b[:])
		got <- err
	}()
	cancelCaller()
	if err := <-got; !errors.Is(err, errCallerCancelled) {
		t.Fatal(err)
	}
	x.End()
	<-ended
	wantCounts(t, p, 0, 1)

	// A connection whose caller is cancelled after the whole body but before End isn't reused. After End, cancellation has
	// no effect.
	addr = serveScript(t, echo)
	p = NewPool(headerNames)
	caller, cancelCaller = cancellableCaller(t)
	x = p.Do(caller, newDispatch(addr, "a"))
	_, _ = io.ReadAll(x.bodyReader())
	cancelCaller()
	x.End()
	wantCounts(t, p, 0, 1)
	caller, cancelCaller = cancellableCaller(t)
	x = p.Do(caller, newDispatch(addr, "b"))
	_, _ = io.ReadAll(x.bodyReader())
	x.End()
	cancelCaller()
	if y := wantAnswer(t, p, newDispatch(addr, "c"), "c"); !y.Reused {
		t.Fatal("another dispatch's connection was cancelled")
	}
}
