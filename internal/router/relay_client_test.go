package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"seamshunt/internal/testutil"
)

// Two requests are sent in one segment, with the second split anywhere. Each reaches a worker as it was sent, one after
// the other, and the responses arrive in the order of the requests.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	worker := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, worker)
	c := dialRelayClient(t, v)
	var conn *testConn
	for _, later := range []int{0, 1, len("two"), len("two") + 1, 40, 1 << 20} { // bytes of the second request that are sent later
		id1, id2 := fmt.Sprint("first", later), fmt.Sprint("second", later)
		first, second := requestText("pure", id1, "one"), requestText("pure", id2, "two")
		split := len(second) - min(later, len(second))
		_, _ = io.WriteString(c, first+second[:split])
		if conn == nil {
			conn = <-worker.conns
		}
		request := conn.request()
		if request.id != id1 || request.body != "one" || conn.r.Buffered() > 0 {
			t.Fatalf("%d left: first at the worker: %q %q", later, request.id, request.body)
		}
		conn.writeText("%s", responseText(id1, "1"))
		if got := c.receive(); got.id != id1 || got.body != "1" || !got.complete {
			t.Fatalf("%d left: first answer %+v", later, got)
		}
		_, _ = io.WriteString(c, second[split:])
		if request = conn.request(); request.id != id2 || request.body != "two" {
			t.Fatalf("%d left: second at the worker: %q %q", later, request.id, request.body)
		}
		conn.writeText("%s", responseText(id2, "2"))
		if got := c.receive(); got.id != id2 || got.body != "2" || !got.complete {
			t.Fatalf("%d left: second answer %+v", later, got)
		}
	}
	if !noMoreConns(worker) {
		t.Error("a further connection was made")
	}
}

// A client sends a second request before the first is answered, and the first answer breaks. The second request is neither
// run nor answered on that connection.
func TestPipelinedRequestAfterBrokenResponse(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	c := dialRelayClient(t, v)
	_, _ = io.WriteString(c, requestText("streaming", "a", "one")+requestText("effectful", "b", "two"))
	conn := <-w.conns
	conn.request()
	conn.writeText(streamHead+chunkedHeader, "a")
	conn.writeChunk(event(1))
	conn.Close()
	if got := c.receive(); got.id != "a" || got.complete || got.body != event(1) {
		t.Errorf("the broken response: %+v", got)
	}
	if b, _ := io.ReadAll(c.r); len(b) > 0 {
		t.Errorf("after it: %q", b)
	}
	if !noMoreConns(w) {
		t.Error("the second request was run, but its client can't be answered")
	}
}

// A truncated request never reaches a worker, not even in part.
func TestTruncatedRequest(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	text := requestText("effectful", "a", "prompt")
	inChunks := strings.Replace(strings.Replace(text, "Content-Length: 6", "Transfer-Encoding: chunked", 1), "prompt", "3\r\npro\r\n3\r\nmpt\r\n0\r\n\r\n", 1)
	for _, text := range []string{text, inChunks} {
		for i := 0; i < len(text); i += 3 {
			for _, end := range []func(*testConn){closeConn, resetConn, func(c *testConn) { _ = c.Conn.(*net.TCPConn).CloseWrite() }} {
				c := dialRelayClient(t, v)
				_, _ = io.WriteString(c, text[:i])
				end(c)
				if a := c.receive(); a.status/100 == 2 || a.status == 503 {
					t.Fatalf("truncated at %d: %+v", i, a)
				}
				c.Close()
			}
		}
	}
	c := dialRelayClient(t, v)
	_, _ = io.WriteString(c, inChunks)
	conn := <-w.conns
	if q := conn.request(); q.id != "a" || q.body != "prompt" {
		t.Fatalf("the complete request: %+v", q)
	}
	if !noMoreConns(w) {
		t.Error("a truncated request was forwarded")
	}
}

// A client closes its connection, or only its write side, while a worker runs its request. The run is aborted and not
// retried, and a half-closed client receives no answer that the request did not run.
func TestClientDisconnectsWhileRequestRuns(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"effectful", "pure", "streaming", "resumable"} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprint(route, half), func(t *testing.T) {
				t.Parallel()
				a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
				v := newRelayRouter(t, a, b)
				c := dialRelayClient(t, v)
				c.send(route, "s", "prompt")
				conn, _ := firstConn(a, b)
				conn.request()
				if half {
					_ = c.Conn.(*net.TCPConn).CloseWrite()
				} else {
					c.Close()
				}
				conn.awaitClose()
				if got := c.receive(); half && got.status != 502 && got.status != 499 && got.status != 0 {
					t.Errorf("answered %+v", got)
				}
				testutil.WaitUntil(t, "no request is in flight", func() bool { return v.inFlight.Load() == 0 })
				if !noMoreConns(a, b) {
					t.Error("the request was retried")
				}
			})
		}
	}
}

// A client disconnects during its response. The rest of the response is never sent to another client.
func TestClientDisconnectsDuringResponse(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	c := dialRelayClient(t, v)
	c.send("effectful", "a", "prompt")
	conn := <-w.conns
	conn.request()
	big := strings.Repeat("x", maxBufferedResponse+1)
	conn.writeText("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: %d\n\n%s", len(big), big[:len(big)/2])
	if _, err := c.r.ReadString('x'); err != nil {
		t.Fatal(err)
	}
	c.reset()
	for err := error(nil); err == nil; { // until the router has closed the connection
		_, err = io.WriteString(conn, big)
	}
	c = dialRelayClient(t, v)
	c.send("effectful", "b", "prompt")
	nextConn := <-w.conns
	if q := nextConn.request(); q.id != "b" {
		t.Fatalf("%+v", q)
	}
	nextConn.writeText("%s", responseText("b", "2"))
	if got := c.receive(); got.id != "b" || got.body != "2" {
		t.Errorf("%+v", got)
	}
}

// A worker closes or resets a kept connection as the next request arrives on it. An effectful request is not retried and
// its outcome is reported as unknown. A pure one is retried on a new connection.
func TestKeepAliveConnectionEndsOnNextRequest(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*testConn){"closed": closeConn, "reset": resetConn} {
		for _, route := range []string{"effectful", "pure"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedWorker(t, "i-1")
				v := newRelayRouter(t, w)
				c := dialRelayClient(t, v)
				c.send(route, "a", "prompt")
				conn := <-w.conns
				conn.request()
				conn.writeText("%s", responseText("a", "1"))
				c.receive()
				conn = sendOnKeptConnection(c, w, conn, route)
				end(conn)
				if route == "pure" {
					conn = <-w.conns
					q := conn.request()
					conn.writeText("%s", responseText(q.id, "2"))
				}
				got := c.receive()
				if route == "pure" && got.body != "2" || route == "effectful" && got.status != 502 {
					t.Errorf("answered %+v", got)
				}
				if !noMoreConns(w) {
					t.Error("the request was sent once more")
				}
			})
		}
	}
}

// sendOnKeptConnection sends requests until one arrives on a kept connection, which it returns. On a busy machine a
// connection may have been idle for too long to be used for a non-repeatable request.
func sendOnKeptConnection(c *testConn, w *scriptedWorker, kept *testConn, route string) *testConn {
	for n := 0; ; n++ {
		id := fmt.Sprint("b", n)
		c.send(route, id, "prompt")
		arrived := make(chan struct{})
		go func(k *testConn) {
			if k.request() != nil {
				close(arrived)
			}
		}(kept)
		select {
		case <-arrived:
			return kept
		case kept = <-w.conns:
			kept.request()
			kept.writeText("%s", responseText(id, "1"))
			c.receive()
		}
	}
}

// The protocol version of a worker's answer applies to its connection only. A client of HTTP/1.0, which can't read chunked
// responses, is refused, since a broken response without chunks would look complete.
func TestHTTPVersions(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	c := dialRelayClient(t, v)
	c.send("effectful", "a", "prompt")
	k := <-w.conns
	k.request()
	k.writeText("HTTP/1.0 200 OK\nAttempt-Id: a\nContent-Length: 1\n\nx")
	if line, _ := c.r.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("answered %q", line)
	}
	c = dialRelayClient(t, v)
	_, _ = io.WriteString(c, strings.Replace(requestText("effectful", "b", "prompt"), "HTTP/1.1", "HTTP/1.0", 1))
	if got := c.receive(); got.status != 400 || !got.close || !noMoreConns(w) {
		t.Errorf("a client of HTTP/1.0: %+v", got)
	}
}
