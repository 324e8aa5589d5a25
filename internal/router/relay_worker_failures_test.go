package router

import (
	"strings"
	"sync"
	"testing"
)

// workerFailure is one way in which a worker ends the first run of a request. In text, ID stands for the request's ID.
type workerFailure struct {
	name    string
	text    string // what the worker writes
	closing func(*testConn)
	// expected for an effectful request: its status, and whether it is retried on another worker
	status  int
	retried bool
}

func closeConn(c *testConn) { c.Close() }
func resetConn(c *testConn) { c.reset() }
func keepOpen(*testConn)    {}

const (
	okHeader      = "HTTP/1.1 200 OK\nAttempt-Id: ID\nWorker-Seal: s\n"
	chunkedHeader = "Transfer-Encoding: chunked\n\n"
)

var workerFailures = []workerFailure{
	{"closed without a byte", "", closeConn, 502, false},
	{"reset without a byte", "", resetConn, 502, false},
	{"closed in the header", "HTTP/1.1 200 OK\nAtt", closeConn, 502, false},
	{"reset in the header", "HTTP/1.1 200 OK\nAtt", resetConn, 502, false},
	{"closed after the header", okHeader + "Content-Length: 9\n\n", closeConn, 502, false},
	{"closed in the body", okHeader + "Content-Length: 9\n\nabc", closeConn, 502, false},
	{"reset in the body", okHeader + "Content-Length: 9\n\nabc", resetConn, 502, false},
	{"closed after an interim answer", "HTTP/1.1 103 Early Hints\n\n", closeConn, 502, false},
	{"nine interim answers", strings.Repeat("HTTP/1.1 100 Continue\n\n", 9) + okHeader + "Content-Length: 1\n\nx", keepOpen, 502, false},
	{"switching protocols", "HTTP/1.1 101 Switching Protocols\n\n", keepOpen, 502, false},
	{"bytes that are no answer", "\x16\x03\x01 no answer", keepOpen, 502, false},
	{"invalid status code", "HTTP/1.1 2x0 OK\n\n", keepOpen, 502, false},
	{"two lengths", okHeader + "Content-Length: 1\nContent-Length: 2\n\nxy", keepOpen, 502, false},
	{"an invalid length", okHeader + "Content-Length: -4\n\nxy", keepOpen, 502, false},
	{"no length, ended by closing", okHeader + "\nabc", closeConn, 502, false},
	{"no id", "HTTP/1.1 200 OK\nContent-Length: 1\n\nx", keepOpen, 502, false},
	{"two ids", okHeader + "Attempt-Id: other\nContent-Length: 1\n\nx", keepOpen, 502, false},
	{"another's answer alone", "HTTP/1.1 200 OK\nAttempt-Id: other\nContent-Length: 1\n\nx", closeConn, 502, false},
	{"four answers of others", strings.Repeat("HTTP/1.1 200 OK\nAttempt-Id: other\nContent-Length: 1\n\nx", 4) + okHeader + "Content-Length: 1\n\ny", keepOpen, 502, false},
	{"another's refusal", "HTTP/1.1 503 No\nAttempt-Id: other\nNot-Run: 1\nContent-Length: 0\n\n", closeConn, 502, false},
	{"503 without proof", "HTTP/1.1 503 No\nAttempt-Id: ID\nContent-Length: 0\n\n", keepOpen, 502, false},
	{"429 without proof", "HTTP/1.1 429 No\nAttempt-Id: ID\nContent-Length: 0\n\n", keepOpen, 502, false},
	{"408 without proof", "HTTP/1.1 408 No\nAttempt-Id: ID\nContent-Length: 0\n\n", keepOpen, 502, false},
	{"504 that says not run", "HTTP/1.1 504 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n", keepOpen, 504, false},
	{"internal error", "HTTP/1.1 500 No\nAttempt-Id: ID\nContent-Length: 1\n\nx", keepOpen, 500, false},
	{"garbled last chunk of a small answer", okHeader + chunkedHeader + "1\nx\nzz\n", keepOpen, 200, false}, // incomplete, see check
	{"refused with 503", "HTTP/1.1 503 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n", keepOpen, 200, true},
	{"refused with 429", "HTTP/1.1 429 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n", keepOpen, 200, true},
	{"refused with 503 and truncated in its body", "HTTP/1.1 503 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 9\n\nabc", closeConn, 200, true},
	{"misdirected to another worker", "HTTP/1.1 421 No\nAttempt-Id: ID\nContent-Length: 0\n\n", keepOpen, 200, true},
}

// failingWorkers are two workers that fail the first run of a request as its workerFailure says and answer a second one
// correctly. They count arrivals by request ID.
type failingWorkers struct {
	mu       sync.Mutex
	arrivals map[string]int
	failures map[string]workerFailure
}

func (w *failingWorkers) serve(s *scriptedWorker) {
	for c := range s.conns {
		go func() {
			for q := c.request(); q != nil; q = c.request() {
				w.mu.Lock()
				w.arrivals[q.id]++
				n, e := w.arrivals[q.id], w.failures[q.id]
				w.mu.Unlock()
				if n > 1 || e.closing == nil {
					c.writeText("%s", responseText(q.id, "correct"))
					continue
				}
				c.writeText("%s", strings.ReplaceAll(e.text, "ID", q.id))
				e.closing(c)
			}
		}()
	}
}

func (w *failingWorkers) arrivalsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals[id]
}

// However a worker ends a run, an effectful request is retried only if the worker has stated that it did not run, and is
// never refused as not run. A pure request is retried on the other worker.
func TestWorkerFailures(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"effectful", "pure"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
			v := newRelayRouter(t, a, b)
			w := &failingWorkers{arrivals: map[string]int{}, failures: map[string]workerFailure{}}
			go w.serve(a)
			go w.serve(b)
			for _, failure := range workerFailures {
				id := strings.ReplaceAll(failure.name, " ", "-")
				w.mu.Lock()
				w.failures[id] = failure
				w.mu.Unlock()
				c := dialRelayClient(t, v)
				c.send(route, id, "prompt")
				got := c.receive()
				w.check(t, route, failure, id, got)
				c.Close()
			}
		})
	}
}

func (w *failingWorkers) check(t *testing.T, route string, failure workerFailure, id string, got clientResponse) {
	t.Helper()
	status, arrivals := failure.status, 1
	if failure.retried {
		arrivals = 2
	}
	complete := true
	if strings.Contains(failure.text, chunkedHeader) {
		complete = false // its header was forwarded before its end was known
	} else if route == "pure" && status >= 500 && !strings.Contains(failure.text, "HTTP/1.1 4") {
		status, arrivals = 200, 2
	}
	if got.status != status || got.complete != complete || w.arrivalsOf(id) != arrivals {
		t.Errorf("%s, %s: answered %+v after %d arrivals, want %d after %d", route, failure.name, got, w.arrivalsOf(id), status, arrivals)
	}
	if got.status == 200 && got.complete && (got.id != id || got.body != "correct") {
		t.Errorf("%s, %s: an answer that no worker gave: %+v", route, failure.name, got)
	}
}
