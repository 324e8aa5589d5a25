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

var headerNames = adapter.HeaderNames{AttemptID: "Attempt-Id", NotRun: "Not-Run"}

const testTimeout = 10 * time.Second // never reached in a test that passes

// workerConn is the worker's end of a connection.
type workerConn struct {
	t *testing.T
	net.Conn
	r     *bufio.Reader
	index int // number of the connection, from 0
}

// readRequest reads one request and returns its id, or false if the other side has closed.
func (w *workerConn) readRequest() (string, bool) {
	q, err := http.ReadRequest(w.r)
	if err != nil {
		return "", false
	}
	if _, err = io.Copy(io.Discard, q.Body); err != nil {
		return "", false
	}
	return q.Header.Get("Attempt-Id"), true
}

func (w *workerConn) send(s string) {
	_, _ = io.WriteString(w.Conn, strings.ReplaceAll(s, "\n", "\r\n"))
}

// awaitClose waits until the other side has closed.
func (w *workerConn) awaitClose() {
	_, _ = io.Copy(io.Discard, w.r)
}

// serveScript listens and runs the script on each connection.
func serveScript(t *testing.T, script func(w *workerConn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-stopped })
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(2 * testTimeout))
			go func() {
				defer c.Close()
				script(&workerConn{t: t, Conn: c, r: bufio.NewReader(c), index: n})
			}()
		}
	}()
	return l.Addr().String()
}

// newDispatch returns a plain request with the given id to worker "w".
func newDispatch(addr, id string) *Dispatch {
	q := &fasthttp.Request{}
	q.Header.SetMethod("POST")
	q.Header.SetRequestURI("/a/b")
	q.Header.SetHost("site.example")
	q.Header.Set("Attempt-Id", id)
	q.SetBodyString("prompt")
	return &Dispatch{Worker: "w", Addr: addr, ID: id, Request: q, Deadline: time.Now().Add(testTimeout)}
}

// doAndRead runs one dispatch, reads the whole body and ends the exchange.
func doAndRead(t *testing.T, p *Pool, dispatch *Dispatch) (body string, x *Exchange, err error) {
	t.Helper()
	x = p.Do(waitingCaller(t), dispatch)
	defer x.End()
	if x.Outcome != Partial {
		return "", x, x.Err
	}
	b, err := io.ReadAll(x.bodyReader())
	return string(b), x, err
}

// wantAnswer runs one dispatch that must succeed with the given body.
func wantAnswer(t *testing.T, p *Pool, dispatch *Dispatch, body string) *Exchange {
	t.Helper()
	b, x, err := doAndRead(t, p, dispatch)
	if b != body || err != nil || x.Outcome != Partial {
		t.Fatalf("%s: outcome %d, body %q, error %v", dispatch.ID, x.Outcome, b, err)
	}
	return x
}

// wantOutcome runs one dispatch that must fail with the given outcome.
func wantOutcome(t *testing.T, p *Pool, dispatch *Dispatch, outcome Outcome) *Exchange {
	t.Helper()
	_, x, err := doAndRead(t, p, dispatch)
	if x.Outcome != outcome || err == nil {
		t.Fatalf("%s: outcome %d, error %v, want outcome %d", dispatch.ID, x.Outcome, err, outcome)
	}
	return x
}

func wantCounts(t *testing.T, p *Pool, idle int, dials uint64) {
	t.Helper()
	if i, d := p.Idle("w"), p.Dials(); i != idle || d != dials {
		t.Fatalf("%d idle, %d dials; want %d and %d", i, d, idle, dials)
	}
}

// echo answers every request with its id as the body.
func echo(w *workerConn) {
	for id, ok := w.readRequest(); ok; id, ok = w.readRequest() {
		w.send("HTTP/1.1 200 OK\nAttempt-Id: " + id + "\nContent-Length: " + length(id) + "\n\n" + id)
	}
}

func length(s string) string { return string(fasthttp.AppendUint(nil, len(s))) }
