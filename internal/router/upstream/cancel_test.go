package upstream

import (
	"errors"
	"io"
	"testing"
	"time"
)

// closed plays a worker that takes a request, says a little and tells when the connection has ended.
func closed(t *testing.T, say string) (addr string, ended chan struct{}) {
	ended = make(chan struct{})
	return serve(t, func(w *wire) {
		w.get()
		w.say(say)
		w.ended()
		close(ended)
	}), ended
}

func TestExchangeGone(t *testing.T) {
	for _, say := range []string{"", "HTTP/1.1 200 OK\nAttempt", "HTTP/1.1 200 OK\nAttempt-Id: old\nContent-Length: 9\n\nold"} {
		addr, ended := closed(t, say)
		o, looks := order(addr, "a"), 0
		o.Gone = func() bool { looks++; return looks == 3 }
		if x := wantKind(t, NewPool(names), o, Unknown); !errors.Is(x.Err, ErrGone) || looks != 3 {
			t.Fatal(x.Err, looks)
		}
		<-ended
	}
}

func TestExchangeQuiet(t *testing.T) {
	addr, ended := closed(t, "HTTP/1.1 100 Continue\n\n")
	o := order(addr, "a")
	o.Quiet = 30 * time.Millisecond
	if x := wantKind(t, NewPool(names), o, Unknown); !errors.Is(x.Err, ErrSilent) {
		t.Fatal(x.Err)
	}
	<-ended
	// Once the head has come, silence is the caller's to judge: the rest comes when it comes.
	next := make(chan struct{})
	addr = serve(t, func(w *wire) {
		w.get()
		w.say("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 2\n\na")
		<-next
		w.say("b")
		w.ended()
	})
	o = order(addr, "a")
	o.Quiet, o.Gone = soon/2, func() bool { return false }
	x := NewPool(names).Do(o)
	defer x.End()
	if x.Kind != Piece || x.c.steps {
		t.Fatal(x.Kind, x.Err)
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

func TestExchangeCancel(t *testing.T) {
	p := NewPool(names)
	addr, ended := closed(t, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 9\n\nabc")
	x := p.Do(order(addr, "a"))
	var b [9]byte
	if n, err := io.ReadFull(x.rest(), b[:3]); n != 3 || err != nil {
		t.Fatal(n, err)
	}
	got := make(chan error)
	go func() {
		_, err := x.Read(b[:])
		got <- err
	}()
	x.Cancel()
	if err := <-got; err == nil || errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	<-ended
	x.End()
	x.Cancel()
	wantCounts(t, p, 0, 1)

	// What was cancelled behind a whole body isn't used again either; what ended before can't be cancelled any more.
	addr = serve(t, echo)
	p = NewPool(names)
	x = p.Do(order(addr, "a"))
	_, _ = io.ReadAll(x.rest())
	x.Cancel()
	x.End()
	wantCounts(t, p, 0, 1)
	x = p.Do(order(addr, "b"))
	_, _ = io.ReadAll(x.rest())
	x.End()
	x.Cancel()
	if y := want(t, p, order(addr, "c"), "c"); !y.Reused {
		t.Fatal("a connection of others was cancelled")
	}
}
