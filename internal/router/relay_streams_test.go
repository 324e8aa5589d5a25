package router

import (
	"fmt"
	"strings"
	"testing"
)

const streamHead = "HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nContent-Type: text/event-stream\n"

// event returns one event of a stream. Its ID is its number.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

func eventRange(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// writeChunk writes text as one chunk. Its lines end with LF only: writeText would change its length.
func (c *testConn) writeChunk(s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

// streamBreaks are the ways in which a stream breaks after its second event.
var streamBreaks = map[string]func(c *testConn){
	"closed":            func(c *testConn) { c.Close() },
	"reset":             func(c *testConn) { c.reset() },
	"closed in a chunk": func(c *testConn) { _, _ = c.Write([]byte("40\r\nid: 3\n")); c.Close() },
	"garbled chunk":     func(c *testConn) { _, _ = c.Write([]byte("zz\r\n")) },
	"event doubled":     func(c *testConn) { c.writeChunk(event(2)); _, _ = c.Write([]byte("0\r\n\r\n")) },
	"ended in an event": func(c *testConn) { c.writeChunk("id: 3\ndata"); _, _ = c.Write([]byte("0\r\n\r\n")) },
	"no last line":      func(c *testConn) { _, _ = c.Write([]byte("0\r\n")); c.Close() },
}

// A resumable stream continues on another worker, with each event once and in order. Any other stream ends there, does not
// look complete and is not retried.
func TestEveryBreakOfAStream(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"resumable", "streaming"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			for name, breakStream := range streamBreaks {
				if route == "streaming" && (name == "event doubled" || name == "ended in an event") {
					continue // only resumable streams are parsed event by event
				}
				a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
				v := newRelayRouter(t, a, b)
				c := dialRelayClient(t, v)
				c.send(route, "s", "prompt")
				conn, other := firstConn(a, b)
				conn.request()
				conn.writeText(streamHead+chunkedHeader, "s")
				conn.writeChunk(eventRange(1, 2))
				breakStream(conn)
				want := clientResponse{200, "s", eventRange(1, 2), false, false}
				if route == "resumable" {
					resumed := <-other.conns
					q := resumed.request()
					if after := q.Header.Get("Last-Event-Id"); after != "2" {
						t.Errorf("%s: resumed after %q", name, after)
					}
					resumed.writeText(streamHead+chunkedHeader, "s")
					resumed.writeChunk(eventRange(3, 4))
					_, _ = resumed.Write([]byte("0\r\n\r\n"))
					want.body, want.complete = eventRange(1, 4), true
				}
				if name == "closed in a chunk" && route == "streaming" {
					want.body += "id: 3\n" // forwarded unchanged
				}
				if got := c.receive(); got != want {
					t.Errorf("%s: %+v, want %+v", name, got, want)
				}
				if !noMoreConns(a, b) {
					t.Errorf("%s: the request was sent once more", name)
				}
			}
		})
	}
}

// A stream with a Content-Length may resume with a different length. The client's response is neither truncated at the
// first length nor looks complete before its last event.
func TestResumedStreamOfKnownLength(t *testing.T) {
	t.Parallel()
	a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
	v := newRelayRouter(t, a, b)
	c := dialRelayClient(t, v)
	c.send("resumable", "s", "prompt")
	conn, other := firstConn(a, b)
	conn.request()
	conn.writeText(streamHead+"Content-Length: %d\n\n", "s", len(eventRange(1, 4)))
	_, _ = conn.Write([]byte(eventRange(1, 2)))
	conn.Close()
	resumed := <-other.conns
	resumed.request()
	resumed.writeText(streamHead+"Content-Length: %d\n\n", "s", len(eventRange(3, 6)))
	_, _ = resumed.Write([]byte(eventRange(3, 6)))
	if got, want := c.receive(), (clientResponse{200, "s", eventRange(1, 6), true, false}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// If an event has data but no ID, the last event that the client has is unknown. The stream is not resumed and does not look
// complete.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	t.Parallel()
	a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
	v := newRelayRouter(t, a, b)
	c := dialRelayClient(t, v)
	c.send("resumable", "s", "prompt")
	conn, _ := firstConn(a, b)
	conn.request()
	conn.writeText(streamHead+chunkedHeader, "s")
	conn.writeChunk(event(1) + "data: e2\n\n")
	conn.Close()
	if got := c.receive(); got.complete || got.body != event(1)+"data: e2\n\n" {
		t.Errorf("%+v", got)
	}
	if !noMoreConns(a, b) {
		t.Error("the stream was resumed")
	}
}
