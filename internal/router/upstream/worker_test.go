package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
)

var names = adapter.HeaderNames{AttemptID: "Attempt-Id", NotRun: "Not-Run"}

const soon = 10 * time.Second // what never comes in a test that passes

// wire is the worker's end of a connection in a test.
type wire struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
	n int // which connection it is, from 0
}

// get reads one request and gives its id; false when the other side has closed.
func (w *wire) get() (string, bool) {
	q, err := http.ReadRequest(w.r)
	if err != nil {
		return "", false
	}
	if _, err = io.Copy(io.Discard, q.Body); err != nil {
		return "", false
	}
	return q.Header.Get("Attempt-Id"), true
}

func (w *wire) say(s string) { _, _ = io.WriteString(w.Conn, strings.ReplaceAll(s, "\n", "\r\n")) }

// ended waits until the other side has closed.
func (w *wire) ended() {
	_, _ = io.Copy(io.Discard, w.r)
}

// serve listens, and plays the script on each connection.
func serve(t *testing.T, script func(w *wire)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-over })
	go func() {
		defer close(over)
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(2 * soon))
			go func() {
				defer c.Close()
				script(&wire{t: t, Conn: c, r: bufio.NewReader(c), n: n})
			}()
		}
	}()
	return l.Addr().String()
}

// order makes a plain request of an id to worker "w".
func order(addr, id string) *Dispatch {
	q := &fasthttp.Request{}
	q.Header.SetMethod("POST")
	q.Header.SetRequestURI("/a/b")
	q.Header.SetHost("site.example")
	q.Header.Set("Attempt-Id", id)
	q.SetBodyString("prompt")
	return &Dispatch{Worker: "w", Addr: addr, ID: id, Request: q, Deadline: time.Now().Add(soon)}
}

// all does one order, reads its body whole and ends it.
func all(t *testing.T, p *Pool, o *Dispatch) (body string, x *Exchange, err error) {
	t.Helper()
	x = p.Do(waiting(t), o)
	defer x.End()
	if x.Outcome != Partial {
		return "", x, x.Err
	}
	b, err := io.ReadAll(x.rest())
	return string(b), x, err
}

// want does one order that must go well.
func want(t *testing.T, p *Pool, o *Dispatch, body string) *Exchange {
	t.Helper()
	b, x, err := all(t, p, o)
	if b != body || err != nil || x.Outcome != Partial {
		t.Fatalf("%s: kind %d, body %q, error %v", o.ID, x.Outcome, b, err)
	}
	return x
}

// wantKind does one order that must end so.
func wantKind(t *testing.T, p *Pool, o *Dispatch, k Outcome) *Exchange {
	t.Helper()
	_, x, err := all(t, p, o)
	if x.Outcome != k || err == nil {
		t.Fatalf("%s: kind %d, error %v, want kind %d", o.ID, x.Outcome, err, k)
	}
	return x
}

func wantCounts(t *testing.T, p *Pool, idle int, dials uint64) {
	t.Helper()
	if i, d := p.Idle("w"), p.Dials(); i != idle || d != dials {
		t.Fatalf("%d idle, %d dials; want %d and %d", i, d, idle, dials)
	}
}

// echo answers every request with a body of its id.
func echo(w *wire) {
	for id, ok := w.get(); ok; id, ok = w.get() {
		w.say("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: " + length(id) + "\n\n" + id)
	}
}

func length(s string) string { return string(fasthttp.AppendUint(nil, len(s))) }
