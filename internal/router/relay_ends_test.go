package router

import (
	"strings"
	"sync"
	"testing"
)

// ending is one way in which a worker ends the first run of a request. The request's id is in the text as ID.
type ending struct {
	name string
	text string // what the worker writes
	end  func(*workerConn)
	// what is owed to an effectful request: its status, and whether another worker is asked
	status int
	again  bool
}

func closes(c *workerConn) { c.Close() }
func resets(c *workerConn) { c.reset() }
func stays(*workerConn)    {}

const (
	okHead = "HTTP/1.1 200 OK\nAttempt-Id: ID\nWorker-Seal: s\n"
	chunks = "Transfer-Encoding: chunked\n\n"
)

var endings = []ending{
	{"closed without a byte", "", closes, 502, false},
	{"reset without a byte", "", resets, 502, false},
	{"closed in the head", "HTTP/1.1 200 OK\nAtt", closes, 502, false},
	{"reset in the head", "HTTP/1.1 200 OK\nAtt", resets, 502, false},
	{"closed behind the head", okHead + "Content-Length: 9\n\n", closes, 502, false},
	{"closed in the body", okHead + "Content-Length: 9\n\nabc", closes, 502, false},
	{"reset in the body", okHead + "Content-Length: 9\n\nabc", resets, 502, false},
	{"closed behind an interim answer", "HTTP/1.1 103 Early Hints\n\n", closes, 502, false},
	{"nine interim answers", strings.Repeat("HTTP/1.1 100 Continue\n\n", 9) + okHead + "Content-Length: 1\n\nx", stays, 502, false},
	{"switching protocols", "HTTP/1.1 101 Switching Protocols\n\n", stays, 502, false},
	{"bytes that are no answer", "\x16\x03\x01 no answer", stays, 502, false},
	{"no answer behind the mark", "HTTP/1.1 2x0 OK\n\n", stays, 502, false},
	{"two lengths", okHead + "Content-Length: 1\nContent-Length: 2\n\nxy", stays, 502, false},
	{"a length that is none", okHead + "Content-Length: -4\n\nxy", stays, 502, false},
	{"no length, ended by closing", okHead + "\nabc", closes, 502, false},
	{"no id", "HTTP/1.1 200 OK\nContent-Length: 1\n\nx", stays, 502, false},
	{"two ids", okHead + "Attempt-Id: other\nContent-Length: 1\n\nx", stays, 502, false},
	{"another's answer alone", "HTTP/1.1 200 OK\nAttempt-Id: other\nContent-Length: 1\n\nx", closes, 502, false},
	{"four answers of others", strings.Repeat("HTTP/1.1 200 OK\nAttempt-Id: other\nContent-Length: 1\n\nx", 4) + okHead + "Content-Length: 1\n\ny", stays, 502, false},
	{"another's refusal", "HTTP/1.1 503 No\nAttempt-Id: other\nNot-Run: 1\nContent-Length: 0\n\n", closes, 502, false},
	{"503 that promises nothing", "HTTP/1.1 503 No\nAttempt-Id: ID\nContent-Length: 0\n\n", stays, 502, false},
	{"429 that promises nothing", "HTTP/1.1 429 No\nAttempt-Id: ID\nContent-Length: 0\n\n", stays, 502, false},
	{"408 that promises nothing", "HTTP/1.1 408 No\nAttempt-Id: ID\nContent-Length: 0\n\n", stays, 502, false},
	{"504 that says not run", "HTTP/1.1 504 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n", stays, 504, false},
	{"failure of its own", "HTTP/1.1 500 No\nAttempt-Id: ID\nContent-Length: 1\n\nx", stays, 500, false},
	{"garbled last chunk of a small answer", okHead + chunks + "1\nx\nzz\n", stays, 200, false}, // broken off, below
	{"refused with 503", "HTTP/1.1 503 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n", stays, 200, true},
	{"refused with 429", "HTTP/1.1 429 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n", stays, 200, true},
	{"refused with 503 and cut in its body", "HTTP/1.1 503 No\nAttempt-Id: ID\nNot-Run: 1\nContent-Length: 9\n\nabc", closes, 200, true},
	{"another worker is there", "HTTP/1.1 421 No\nAttempt-Id: ID\nContent-Length: 0\n\n", stays, 200, true},
}

// twoWorkers has two workers that end the first arrival of an id as its ending says and answer a second one rightly. It
// counts arrivals by id.
type twoWorkers struct {
	mu      sync.Mutex
	arrived map[string]int
	by      map[string]ending
}

func (w *twoWorkers) serve(s *scriptedWorker) {
	for c := range s.conns {
		go func() {
			for q := c.request(); q != nil; q = c.request() {
				w.mu.Lock()
				w.arrived[q.id]++
				n, e := w.arrived[q.id], w.by[q.id]
				w.mu.Unlock()
				if n > 1 || e.end == nil {
					c.say("%s", answer(q.id, "rightly"))
					continue
				}
				c.say("%s", strings.ReplaceAll(e.text, "ID", q.id))
				e.end(c)
			}
		}()
	}
}

func (w *twoWorkers) came(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived[id]
}

// However a worker ends a run: an effectful request is sent on only behind a promise that it has not run, and is
// answered with a promise never; a pure one goes to the other worker.
func TestEveryEndOfARun(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"effectful", "pure"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
			v := relayRig(t, a, b)
			w := &twoWorkers{arrived: map[string]int{}, by: map[string]ending{}}
			go w.serve(a)
			go w.serve(b)
			for _, e := range endings {
				id := strings.ReplaceAll(e.name, " ", "-")
				w.mu.Lock()
				w.by[id] = e
				w.mu.Unlock()
				c := clientConn(t, v)
				c.send(route, id, "prompt")
				got := c.receive()
				w.check(t, route, e, id, got)
				c.Close()
			}
		})
	}
}

func (w *twoWorkers) check(t *testing.T, route string, e ending, id string, got clientAnswer) {
	t.Helper()
	status, came := e.status, 1
	if e.again {
		came = 2
	}
	whole := true
	if strings.Contains(e.text, chunks) {
		whole = false // its head has gone on before its end was known
	} else if route == "pure" && status >= 500 && !strings.Contains(e.text, "HTTP/1.1 4") {
		status, came = 200, 2
	}
	if got.status != status || got.whole != whole || w.came(id) != came {
		t.Errorf("%s, %s: answered %+v behind %d arrivals, want %d behind %d", route, e.name, got, w.came(id), status, came)
	}
	if got.status == 200 && got.whole && (got.id != id || got.body != "rightly") {
		t.Errorf("%s, %s: an answer that nobody gave to it: %+v", route, e.name, got)
	}
}
