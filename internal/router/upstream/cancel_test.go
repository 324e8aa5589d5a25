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

// testCaller is a caller that a test cancels.
type testCaller struct {
	context.Context
	looks atomic.Int64
}

// Check gives what the context tells.
func (c *testCaller) Check() error {
	c.looks.Add(1)
	return context.Cause(c)
}

// waiting is a caller that waits until the test is over.
func waiting(t testing.TB) *testCaller {
	c, _ := cancellable(t)
	return c
}

// errLeft is why a test cancels its caller.
var errLeft = errors.New("the test's caller left")

// cancellable is a caller that leaves when the test says so.
func cancellable(t testing.TB) (caller *testCaller, leave func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(nil) })
	return &testCaller{Context: ctx}, func() { cancel(errLeft) }
}

// closed plays a worker that takes a request, says a little, does a thing and tells when the connection has ended.
func closed(t *testing.T, say string, then func()) (addr string, ended chan struct{}) {
	ended = make(chan struct{})
	return serve(t, func(w *wire) {
		w.get()
		w.say(say)
		then()
		w.ended()
		close(ended)
	}), ended
}

// A caller that leaves while the head is awaited, at whatever point of it, ends the wait and the connection.
func TestCallerLeavesBeforeTheHead(t *testing.T) {
	for _, say := range []string{"", "HTTP/1.1 200 OK\nAttempt", "HTTP/1.1 200 OK\nAttempt-Id: old\nContent-Length: 9\n\nold"} {
		caller, leave := cancellable(t)
		addr, ended := closed(t, say, leave)
		p := NewPool(names)
		x := p.Do(caller, order(addr, "a"))
		if x.Outcome != Unknown || !errors.Is(x.Err, errLeft) || caller.looks.Load() != 1 {
			t.Fatal(x.Outcome, x.Err, caller.looks.Load())
		}
		x.End()
		<-ended
		wantCounts(t, p, 0, 1)
	}
}

// For a caller that has left already nothing is sent, neither over a new connection nor over a kept one, and the
// connection is kept for others.
func TestNothingIsSentForNobody(t *testing.T) {
	p := NewPool(names)
	addr := serve(t, echo)
	for _, kept := range []bool{false, true} {
		caller, leave := cancellable(t)
		late := &leavesAtLook{caller, leave}
		x := p.Do(late, order(addr, "left"))
		if x.Outcome != NotSent || !errors.Is(x.Err, errLeft) || x.Unreachable || x.Reused != kept {
			t.Fatal(x.Outcome, x.Err, x.Unreachable, x.Reused)
		}
		x.End()
		wantCounts(t, p, 1, 1)
	}
	if n := p.Stats.Abandoned.Load(); n != 2 {
		t.Errorf("%d requests were abandoned, want 2", n)
	}
	if y := want(t, p, order(addr, "b"), "b"); !y.Reused {
		t.Error("the connection was not used again")
	}
}

// leavesAtLook is a caller that is found gone by the look right before the request would leave.
type leavesAtLook struct {
	*testCaller
	leave func()
}

func (c *leavesAtLook) Check() error {
	c.leave()
	return c.testCaller.Check()
}

// A caller that leaves while a connection is made ends the attempt; nothing is held against the worker.
func TestCallerLeavesWhileConnecting(t *testing.T) {
	caller, leave := cancellable(t)
	p, l := NewPool(names), netfault.BlackholeListener(t)
	got := make(chan *Exchange)
	go func() { got <- p.Do(caller, order(l.Addr().String(), "a")) }()
	leave()
	x := <-got
	if x.Outcome != NotSent || !errors.Is(x.Err, errLeft) || x.Unreachable {
		t.Error(x.Outcome, x.Err, x.Unreachable)
	}
	x.End()
	if s := &p.Stats; s.Cancelled.Load() != 1 || s.TimedOut.Load() != 0 || len(p.hosts) != 0 {
		t.Errorf("%d cancelled, %d timed out, %d hosts", s.Cancelled.Load(), s.TimedOut.Load(), len(p.hosts))
	}
}

// A worker that answers no attempt to connect within the whole span is down; one that had less time may not be.
func TestSilentWorkerIsDown(t *testing.T) {
	l := netfault.BlackholeListener(t)
	p := NewPool(names)
	if x := wantKind(t, p, order(l.Addr().String(), "a"), NotSent); !x.Unreachable {
		t.Error("not down after the whole span", x.Err)
	}
	o := order(l.Addr().String(), "b")
	o.Deadline = time.Now().Add(dialMost / 5)
	if x := wantKind(t, p, o, NotSent); x.Unreachable {
		t.Error("down after a fifth of the span", x.Err)
	}
	if n := p.Stats.TimedOut.Load(); n != 2 {
		t.Errorf("%d timed out, want 2", n)
	}
}

// Once the head has come, silence is the caller's to judge: the rest comes when it comes.
func TestSilenceBehindTheHead(t *testing.T) {
	next := make(chan struct{})
	addr := serve(t, func(w *wire) {
		w.get()
		w.say("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 2\n\na")
		<-next
		w.say("b")
		w.ended()
	})
	x := NewPool(names).Do(waiting(t), order(addr, "a"))
	defer x.End()
	if x.Outcome != Partial {
		t.Fatal(x.Outcome, x.Err)
	}
	var b [4]byte
	if n, err := x.Read(b[:]); n != 1 || err != nil { // handed on before the rest is there
		t.Fatal(n, err)
	}
	close(next)
	if n, err := x.Read(b[:]); n != 1 || err != nil {
		t.Fatal(n, err)
	}
}

// A caller that leaves in the middle of an answer ends it, and one that left behind a whole answer leaves no trace on the
// connection's next order.
func TestCallerLeavesDuringTheAnswer(t *testing.T) {
	p := NewPool(names)
	addr, ended := closed(t, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 9\n\nabc", func() {})
	caller, leave := cancellable(t)
	x := p.Do(caller, order(addr, "a"))
	var b [9]byte
	if n, err := io.ReadFull(x.rest(), b[:3]); n != 3 || err != nil {
		t.Fatal(n, err)
	}
	got := make(chan error)
	go func() {
		_, err := x.Read(b[:])
		got <- err
	}()
	leave()
	if err := <-got; !errors.Is(err, errLeft) {
		t.Fatal(err)
	}
	x.End()
	<-ended
	wantCounts(t, p, 0, 1)

	// What was cancelled behind a whole body isn't used again either; what ended before can't be cancelled any more.
	addr = serve(t, echo)
	p = NewPool(names)
	caller, leave = cancellable(t)
	x = p.Do(caller, order(addr, "a"))
	_, _ = io.ReadAll(x.rest())
	leave()
	x.End()
	wantCounts(t, p, 0, 1)
	caller, leave = cancellable(t)
	x = p.Do(caller, order(addr, "b"))
	_, _ = io.ReadAll(x.rest())
	x.End()
	leave()
	if y := want(t, p, order(addr, "c"), "c"); !y.Reused {
		t.Fatal("a connection of others was cancelled")
	}
}
