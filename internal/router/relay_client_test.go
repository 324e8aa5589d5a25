package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"seamshunt/internal/testutil"
)

// Two requests in one segment, the second cut anywhere: each reaches a worker as it was sent, one behind the other,
// and the answers come in the order of the requests.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	c := clientConn(t, v)
	var k *workerConn
	for _, left := range []int{0, 1, len("two"), len("two") + 1, 40, 1 << 20} { // bytes of the second that come later
		id1, id2 := fmt.Sprint("first", left), fmt.Sprint("second", left)
		first, second := requestText("pure", id1, "one"), requestText("pure", id2, "two")
		cut := len(second) - min(left, len(second))
		_, _ = io.WriteString(c, first+second[:cut])
		if k == nil {
			k = <-w.conns
		}
		q := k.request()
		if q.id != id1 || q.body != "one" || k.r.Buffered() > 0 {
			t.Fatalf("%d left: first at the worker: %q %q", left, q.id, q.body)
		}
		k.say("%s", answer(id1, "1"))
		if got := c.receive(); got.id != id1 || got.body != "1" || !got.whole {
			t.Fatalf("%d left: first answer %+v", left, got)
		}
		_, _ = io.WriteString(c, second[cut:])
		if q = k.request(); q.id != id2 || q.body != "two" {
			t.Fatalf("%d left: second at the worker: %q %q", left, q.id, q.body)
		}
		k.say("%s", answer(id2, "2"))
		if got := c.receive(); got.id != id2 || got.body != "2" || !got.whole {
			t.Fatalf("%d left: second answer %+v", left, got)
		}
	}
	if !none(w) {
		t.Error("a further connection was made")
	}
}

// A client that sends on before its answer is there, and one whose first request ends without an answer: what is
// behind it is not run under the broken answer's connection, nor answered with the first one's bytes.
func TestPipelinedBehindABrokenAnswer(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	c := clientConn(t, v)
	_, _ = io.WriteString(c, requestText("streaming", "a", "one")+requestText("effectful", "b", "two"))
	k := <-w.conns
	k.request()
	k.say(streamHead+chunks, "a")
	k.chunk(event(1))
	k.Close()
	if got := c.receive(); got.id != "a" || got.whole || got.body != event(1) {
		t.Errorf("the broken answer: %+v", got)
	}
	if b, _ := io.ReadAll(c.r); len(b) > 0 {
		t.Errorf("behind it: %q", b)
	}
	if !none(w) {
		t.Error("the second request was run, and nobody can be told")
	}
}

// A request whose sending ends anywhere never reaches a worker, whole or in part.
func TestRequestCutAnywhere(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	text := requestText("effectful", "a", "prompt")
	inChunks := strings.Replace(strings.Replace(text, "Content-Length: 6", "Transfer-Encoding: chunked", 1), "prompt", "3\r\npro\r\n3\r\nmpt\r\n0\r\n\r\n", 1)
	for _, text := range []string{text, inChunks} {
		for i := 0; i < len(text); i += 3 {
			for _, end := range []func(*workerConn){closes, resets, func(c *workerConn) { _ = c.Conn.(*net.TCPConn).CloseWrite() }} {
				c := clientConn(t, v)
				_, _ = io.WriteString(c, text[:i])
				end(c)
				if a := c.receive(); a.status/100 == 2 || a.status == 503 {
					t.Fatalf("cut at %d: %+v", i, a)
				}
				c.Close()
			}
		}
	}
	c := clientConn(t, v)
	_, _ = io.WriteString(c, inChunks)
	k := <-w.conns
	if q := k.request(); q.id != "a" || q.body != "prompt" {
		t.Fatalf("the whole one: %+v", q)
	}
	if !none(w) {
		t.Error("a part was sent on")
	}
}

// A client that closes its connection, or only its write side, while a worker runs its request: the run is broken off,
// nothing is sent on, and what the half-closed one reads promises nothing.
func TestClientGoneWhileItsRequestRuns(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"effectful", "pure", "streaming", "resumable"} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprint(route, half), func(t *testing.T) {
				t.Parallel()
				a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
				v := relayRig(t, a, b)
				c := clientConn(t, v)
				c.send(route, "s", "prompt")
				k, _ := next(a, b)
				k.request()
				if half {
					_ = c.Conn.(*net.TCPConn).CloseWrite()
				} else {
					c.Close()
				}
				k.closedByRouter()
				if got := c.receive(); half && got.status != 502 && got.status != 499 && got.status != 0 {
					t.Errorf("answered %+v", got)
				}
				testutil.WaitUntil(t, "nothing is under way", func() bool { return v.inFlight.Load() == 0 })
				if !none(a, b) {
					t.Error("it was sent on")
				}
			})
		}
	}
}

// A client that goes in the middle of its answer: the rest of it is never given to anybody.
func TestClientGoneInTheMiddleOfItsAnswer(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	c := clientConn(t, v)
	c.send("effectful", "a", "prompt")
	k := <-w.conns
	k.request()
	big := strings.Repeat("x", whole+1)
	k.say("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: %d\n\n%s", len(big), big[:len(big)/2])
	if _, err := c.r.ReadString('x'); err != nil {
		t.Fatal(err)
	}
	c.reset()
	for err := error(nil); err == nil; { // until the router has noticed
		_, err = io.WriteString(k, big)
	}
	c = clientConn(t, v)
	c.send("effectful", "b", "prompt")
	k2 := <-w.conns
	if q := k2.request(); q.id != "b" {
		t.Fatalf("%+v", q)
	}
	k2.say("%s", answer("b", "2"))
	if got := c.receive(); got.id != "b" || got.body != "2" {
		t.Errorf("%+v", got)
	}
}

// A worker that closes or resets a kept connection as the next request arrives there: the effectful one is not sent
// again, and no promise is made; the pure one is, over a new connection.
func TestKeptConnectionEndsAsTheNextArrives(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*workerConn){"closed": closes, "reset": resets} {
		for _, route := range []string{"effectful", "pure"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedWorker(t, "i-1")
				v := relayRig(t, w)
				c := clientConn(t, v)
				c.send(route, "a", "prompt")
				k := <-w.conns
				k.request()
				k.say("%s", answer("a", "1"))
				c.receive()
				k = arrivesAtKept(c, w, k, route)
				end(k)
				if route == "pure" {
					k = <-w.conns
					q := k.request()
					k.say("%s", answer(q.id, "2"))
				}
				got := c.receive()
				if route == "pure" && got.body != "2" || route == "effectful" && got.status != 502 {
					t.Errorf("answered %+v", got)
				}
				if !none(w) {
					t.Error("it was sent on once more")
				}
			})
		}
	}
}

// arrivesAtKept sends requests until one arrives at a kept connection, and gives that: on a busy machine a connection
// may have been idle for too long to be used for what may not repeat.
func arrivesAtKept(c *workerConn, w *scriptedWorker, kept *workerConn, route string) *workerConn {
	for n := 0; ; n++ {
		id := fmt.Sprint("b", n)
		c.send(route, id, "prompt")
		arrived := make(chan struct{})
		go func(k *workerConn) {
			if k.request() != nil {
				close(arrived)
			}
		}(kept)
		select {
		case <-arrived:
			return kept
		case kept = <-w.conns:
			kept.request()
			kept.say("%s", answer(id, "1"))
			c.receive()
		}
	}
}

// The version of a worker's answer concerns its connection alone; a client that can't read chunks is refused, since a
// broken answer without any would look whole.
func TestVersionsOfHTTP(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	c := clientConn(t, v)
	c.send("effectful", "a", "prompt")
	k := <-w.conns
	k.request()
	k.say("HTTP/1.0 200 OK\nAttempt-Id: a\nContent-Length: 1\n\nx")
	if line, _ := c.r.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("answered %q", line)
	}
	c = clientConn(t, v)
	_, _ = io.WriteString(c, strings.Replace(requestText("effectful", "b", "prompt"), "HTTP/1.1", "HTTP/1.0", 1))
	if got := c.receive(); got.status != 400 || !got.close || !none(w) {
		t.Errorf("a client of HTTP/1.0: %+v", got)
	}
}
