package upstream

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

// answerFirst answers the first request of the first connection with the given answer, and others properly. With shut, it
// closes the first connection after the answer.
func answerFirst(t *testing.T, answer string, shut bool) string {
	return serveScript(t, func(w *workerConn) {
		if w.index == 0 {
			if _, ok := w.readRequest(); ok {
				w.send(answer)
			}
			if shut {
				return
			}
		}
		echo(w)
	})
}

// A client's request is forwarded unchanged.
func TestExchangeForwardsRequestUnchanged(t *testing.T) {
	got := make(chan string, 1)
	const sent = "POST /a//b/../%2e%2F?x=%20y&&z HTTP/1.1\nHost: site.example\nContent-Length: 6\nX-One: 1\nAttempt-Id: a\n\nprompt"
	addr := serveScript(t, func(w *workerConn) {
		b := make([]byte, len(strings.ReplaceAll(sent, "\n", "\r\n")))
		_, _ = io.ReadFull(w.r, b)
		got <- string(b)
		w.send("HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 0\n\n")
		w.awaitClose()
	})
	o := newDispatch(addr, "a")
	o.Request.Header.Del("Attempt-Id")
	o.Request.Header.SetRequestURI("/a//b/../%2e%2F?x=%20y&&z")
	o.Request.Header.Set("X-One", "1")
	o.Request.Header.Set("Attempt-Id", "a")
	_ = o.Request.URI() // as reading the path would do
	wantAnswer(t, NewPool(headerNames), o, "")
	if s := <-got; s != strings.ReplaceAll(sent, "\n", "\r\n") {
		t.Fatalf("%q", s)
	}
}

func TestExchangeLargeBodyAndHead(t *testing.T) {
	big := strings.Repeat("x", 1<<20)
	addr := answerFirst(t, "HTTP/1.1 200 OK\nAttempt-Id: a\nX-Long: "+strings.Repeat("y", 20000)+"\nContent-Length: 1048576\n\n"+big, false)
	o := newDispatch(addr, "a")
	o.Request.SetBodyString(big)
	p := NewPool(headerNames)
	wantAnswer(t, p, o, big)
	wantAnswer(t, p, newDispatch(addr, "b"), "b")
}

func TestExchangeAnswers(t *testing.T) {
	const ok, a = "HTTP/1.1 200 OK\n", "Attempt-Id: a\n"
	old := "HTTP/1.1 200 OK\nAttempt-Id: old\nContent-Length: 3\n\nold"
	for _, x := range []struct {
		name, answer string
		kind         Outcome
		body         string
		broken       bool // error while reading the body
		idle         int
	}{
		{"length", ok + a + "Content-Length: 3\n\nabc", Partial, "abc", false, 1},
		{"chunks", ok + a + "Transfer-Encoding: chunked\n\n1\na\n2;x=y\nbc\n0\n\n", Partial, "abc", false, 1},
		{"trailer", ok + a + "Transfer-Encoding: chunked\n\n3\nabc\n0\nX: y\n\n", Partial, "abc", false, 1},
		{"close", ok + a + "Connection: close\nContent-Length: 3\n\nabc", Partial, "abc", false, 0},
		{"no body", "HTTP/1.1 204 No Content\n" + a + "\n", Partial, "", false, 1},
		{"not modified", "HTTP/1.1 304 Not Modified\n" + a + "Content-Length: 9\n\n", Partial, "", false, 1},
		{"interim", "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\n\n" + ok + a + "Content-Length: 3\n\nabc", Partial, "abc", false, 1},
		{"failure with id", "HTTP/1.1 500 No\n" + a + "Content-Length: 3\n\nabc", Partial, "abc", false, 1},
		{"extra bytes", ok + a + "Content-Length: 3\n\nabcEXTRA", Partial, "abc", false, 0},
		{"extra answer", ok + a + "Content-Length: 3\n\nabc" + old, Partial, "abc", false, 0},
		{"extra behind chunks", ok + a + "Transfer-Encoding: chunked\n\n3\nabc\n0\n\nx", Partial, "abc", false, 0},
		{"surplus", old + ok + a + "Content-Length: 3\n\nabc", Partial, "abc", false, 1},
		{"three surplus", old + old + old + ok + a + "Content-Length: 3\n\nabc", Partial, "abc", false, 1},
		{"surplus in chunks", ok + "Attempt-Id: o\nTransfer-Encoding: chunked\n\n1\na\n0\n\n" + ok + a + "Content-Length: 3\n\nabc", Partial, "abc", false, 1},
		{"refusal behind surplus", old + "HTTP/1.1 503 Full\n" + a + "Not-Run: 1\nContent-Length: 2\n\nno", NotRun, "", false, 1},
		{"four surplus", old + old + old + old + ok + a + "Content-Length: 3\n\nabc", Unknown, "", false, 0},
		{"two ids", ok + a + "Attempt-Id: b\nContent-Length: 3\n\nabc", Unknown, "", false, 0},
		{"no id", ok + "Content-Length: 3\n\nabc", Unknown, "", false, 0},
		{"no id, failure", "HTTP/1.1 500 No\nContent-Length: 0\n\n", Unknown, "", false, 0},
		{"503 of doubt", "HTTP/1.1 503 No\nContent-Length: 0\n\n", Unknown, "", false, 0},
		{"200 that says not run", ok + "Not-Run: 1\nContent-Length: 0\n\n", Unknown, "", false, 0},
		{"503 not run", "HTTP/1.1 503 No\n" + a + "Not-Run: 1\nContent-Length: 0\n\n", NotRun, "", false, 1},
		{"429 not run", "HTTP/1.1 429 No\n" + a + "Not-Run: 1\nTransfer-Encoding: chunked\n\n2\nno\n0\n\n", NotRun, "", false, 1},
		{"400 not run", "HTTP/1.1 400 No\nNot-Run: 1\nContent-Length: 0\n\n", NotRun, "", false, 1},
		{"421", "HTTP/1.1 421 Moved\n" + a + "Not-Run: 1\nContent-Length: 0\n\n", WorkerReplaced, "", false, 0},
		{"garbage", "\x00\x01\x02", Unknown, "", false, 0},
		{"garbage like HTTP", "HTTP/9.1 200 OK\n" + a + "Content-Length: 0\n\n", Unknown, "", false, 0},
		{"garbage behind the mark", "HTTP/1.1 2x0 OK\n" + a + "Content-Length: 0\n\n", Unknown, "", false, 0},
		{"two lengths", ok + a + "Content-Length: 3\nContent-Length: 4\n\nabc", Unknown, "", false, 0},
		{"switching", "HTTP/1.1 101 Switching\n\n", Unknown, "", false, 0},
		{"bad chunk", ok + a + "Transfer-Encoding: chunked\n\n3\nabc\nzz\n", Partial, "abc", true, 0},
		{"chunk too long", ok + a + "Transfer-Encoding: chunked\n\n3\nabcd\n0\n\n", Partial, "abc", true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := NewPool(headerNames)
			addr := answerFirst(t, x.answer, false)
			b, y, err := doAndRead(t, p, newDispatch(addr, "a"))
			if y.Outcome != x.kind || b != x.body || (err != nil) != (x.broken || x.kind != Partial) {
				t.Fatalf("outcome %d, body %q, error %v", y.Outcome, b, err)
			}
			wantCounts(t, p, x.idle, 1)
			if y := wantAnswer(t, p, newDispatch(addr, "b"), "b"); y.Reused != (x.idle == 1) {
				t.Fatalf("reused %v", y.Reused)
			}
		})
	}
}

// A truncated answer is never taken as complete, wherever it was truncated.
func TestExchangeTruncatedAnywhere(t *testing.T) {
	for _, x := range []string{
		"HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 3\n\nabc",
		"HTTP/1.1 200 OK\nAttempt-Id: a\nTransfer-Encoding: chunked\n\n2\nab\n1\nc\n0\nX: y\n\n",
		"HTTP/1.1 200 OK\nAttempt-Id: a\nConnection: close\n\nabc",
	} {
		x = strings.ReplaceAll(x, "\n", "\r\n")
		for i := range len(x) {
			y := exchangeWithAnswer(x[:i], "a")
			err := y.awaitAnswer(headerNames)
			if err == nil {
				_, err = io.ReadAll(y.bodyReader())
			}
			if err == nil {
				t.Fatalf("truncated at %d, it is taken as complete: %q", i, x[:i])
			}
		}
	}
}

func TestExchangeTruncatedInTheBody(t *testing.T) {
	for _, s := range []string{
		"Content-Length: 9\n\nabc", "Transfer-Encoding: chunked\n\n9\nabc", "Transfer-Encoding: chunked\n\n3\nabc\n", "Transfer-Encoding: chunked\n\n3\nabc\n0\n",
	} {
		p := NewPool(headerNames)
		addr := answerFirst(t, "HTTP/1.1 200 OK\nAttempt-Id: a\n"+s, true)
		b, x, err := doAndRead(t, p, newDispatch(addr, "a"))
		if x.Outcome != Partial || b != "abc" || !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			t.Fatalf("%q: outcome %d, body %q, error %v", s, x.Outcome, b, err)
		}
		wantCounts(t, p, 0, 1)
	}
}

func TestExchangeUnknownAfterSilence(t *testing.T) {
	p := NewPool(headerNames)
	addr := answerFirst(t, "", true)
	if x := wantOutcome(t, p, newDispatch(addr, "a"), Unknown); x.Unreachable {
		t.Fatal("unreachable although it took the request")
	}
	o := newDispatch(serveScript(t, (*workerConn).awaitClose), "b")
	o.Worker, o.Deadline = "v", time.Now().Add(20*time.Millisecond)
	if x := wantOutcome(t, p, o, Unknown); !errors.Is(x.Err, os.ErrDeadlineExceeded) {
		t.Fatal(x.Err)
	}
}

func TestExchangeReadEndsAtDeadline(t *testing.T) {
	addr := answerFirst(t, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 9\n\nabc", false)
	o := newDispatch(addr, "a")
	o.Deadline = time.Now().Add(200 * time.Millisecond)
	b, _, err := doAndRead(t, NewPool(headerNames), o)
	if b != "abc" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(b, err)
	}
}

func TestExchangeHead(t *testing.T) {
	p := NewPool(headerNames)
	addr := answerFirst(t, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 9\n\n", false)
	o := newDispatch(addr, "a")
	o.Request.ResetBody()
	o.Request.Header.SetMethod("HEAD")
	if x := wantAnswer(t, p, o, ""); x.Length() != 0 {
		t.Fatal(x.Length())
	}
	wantCounts(t, p, 0, 1)
}

func TestExchangeRefusalKeepsItsBody(t *testing.T) {
	p := NewPool(headerNames)
	addr := answerFirst(t, "HTTP/1.1 503 Full\nNot-Run: 1\nRetry-After: 0.3\nContent-Length: 2\n\nno", false)
	x := p.Do(waitingCaller(t), newDispatch(addr, "a"))
	if x.Outcome != NotRun || string(x.Response.Body()) != "no" || string(x.Response.Header.Peek("Retry-After")) != "0.3" {
		t.Fatal(x.Outcome, x.Err, x.Response)
	}
	if n, err := x.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatal(n, err)
	}
	x.End()
	wantCounts(t, p, 1, 1)
	// A refusal whose body doesn't arrive counts all the same; only its connection is lost.
	p = NewPool(headerNames)
	addr, ended := serveOneRequest(t, "HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 2\n\nn", func() {})
	x = p.Do(waitingCaller(t), newDispatch(addr, "a"))
	if x.Outcome != NotRun || bytes.Contains(x.Response.Body(), []byte("n")) {
		t.Fatal(x.Outcome, x.Err)
	}
	x.End()
	<-ended
	wantCounts(t, p, 0, 1)
}
