package router

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/testutil"
)

// Every invalid prompt is refused with its code and as not run.
func TestBadPrompts(t *testing.T) {
	t.Parallel()
	addr, conns := startNativeWorker(t)
	v := newTestRouter(t, addr)
	timeLeft := "Time-Left-Ms: 1000\r\n"
	for _, x := range []struct {
		name, path, head, body string
		status                 int
		code                   resultcode.Code
	}{
		{"no time left", "/chat", "", promptBody, 400, resultcode.MissingTimeLeft},
		{"time left no number", "/chat", "Time-Left-Ms: soon\r\n", promptBody, 400, resultcode.InvalidTimeLeft},
		{"time left zero", "/chat", "Time-Left-Ms: 0\r\n", promptBody, 400, resultcode.InvalidTimeLeft},
		{"time left negative", "/chat", "Time-Left-Ms: -5\r\n", promptBody, 400, resultcode.InvalidTimeLeft},
		{"no mapping", "/other", timeLeft, promptBody, 404, resultcode.NoMapping},
		{"no JSON", "/chat", timeLeft, "{", 400, resultcode.InvalidBody},
		{"no prompt", "/chat", timeLeft, "{}", 400, resultcode.InvalidBody},
		{"prompt no text", "/chat", timeLeft, `{"prompt":7}`, 400, resultcode.InvalidBody},
		{"prompt empty", "/chat", timeLeft, `{"prompt":""}`, 400, resultcode.InvalidBody},
		{"long key", "/notice", timeLeft + "Idempotency-Key: " + strings.Repeat("k", 201) + "\r\n", promptBody, 400, resultcode.InvalidKey},
		{"too late", "/chat", "Time-Left-Ms: 10\r\n", promptBody, 503, resultcode.DeadlineExceeded},
	} {
		c := dialClient(t, v)
		c.post(x.path, x.head, x.body)
		status, body := c.readResponse(t)
		if status != x.status || !strings.Contains(body, fmt.Sprintf(`"code":%d,`, x.code)) || !strings.Contains(body, `"not_run":true`) {
			t.Errorf("%s: %d %s", x.name, status, body)
		}
	}
	c := dialClient(t, v)
	fmt.Fprintf(c, "POST /chat HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", timeLeft, MaxBodyBytes+1)
	if status, body := c.readResponse(t); status != 413 || !strings.Contains(body, `"code":204`) {
		t.Errorf("too large: %d %s", status, body)
	}
	c = dialClient(t, v)
	fmt.Fprint(c, "what is this\r\n\r\n")
	if status, body := c.readResponse(t); status != 400 || !strings.Contains(body, `"not_run":true`) {
		t.Errorf("not HTTP: %d %s", status, body)
	}
	if len(conns) > 0 {
		t.Error("an invalid prompt reached the worker")
	}
}

// Each piece reaches the client before the worker sends the next one: nothing is held back in a buffer.
func TestStreamIsUnbuffered(t *testing.T) {
	t.Parallel()
	addr, conns := startNativeWorker(t)
	v := newTestRouter(t, addr)
	c := sendPrompt(t, v, "/chat")
	h := <-conns
	h.writeHeader()
	for i := range 5 {
		h.writeChunk(pieceLine(i))
		for want := strings.TrimSpace(pieceLine(i)); ; {
			line, err := c.r.ReadString('\n')
			if err != nil {
				t.Fatalf("piece %d did not arrive: %v", i, err)
			}
			if strings.TrimSpace(line) == want {
				break
			}
		}
	}
	h.writeChunk(sealLine(h.id, 5))
	fmt.Fprint(h, "0\r\n\r\n")
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			t.Fatalf("no final chunk: %v", err)
		}
		if line == "0\r\n" {
			break
		}
	}
}

// A broken answer never ends like a complete one: it has no final chunk and no seal, whatever the worker's fault was.
func TestBrokenStreamIsUnterminated(t *testing.T) {
	t.Parallel()
	end := "0\r\n\r\n"
	for name, misbehave := range map[string]func(h nativeWorkerConn){
		"closed":          func(h nativeWorkerConn) { h.writeChunk(pieceLine(0)) },
		"closed in chunk": func(h nativeWorkerConn) { h.writeChunk(pieceLine(0)); fmt.Fprint(h, "40\r\n{\"n\":1,") },
		"no seal":         func(h nativeWorkerConn) { h.writeChunk(pieceLine(0)); fmt.Fprint(h, end) },
		"gap": func(h nativeWorkerConn) {
			h.writeChunk(pieceLine(0))
			h.writeChunk(pieceLine(2))
			h.writeChunk(sealLine(h.id, 2))
			fmt.Fprint(h, end)
		},
		"doubled": func(h nativeWorkerConn) {
			h.writeChunk(pieceLine(0))
			h.writeChunk(pieceLine(0))
			h.writeChunk(sealLine(h.id, 2))
			fmt.Fprint(h, end)
		},
		"sealed short": func(h nativeWorkerConn) {
			h.writeChunk(pieceLine(0))
			h.writeChunk(pieceLine(1))
			h.writeChunk(sealLine(h.id, 1))
			fmt.Fprint(h, end)
		},
		"other's seal": func(h nativeWorkerConn) {
			h.writeChunk(pieceLine(0))
			h.writeChunk(sealLine("other", 1))
			fmt.Fprint(h, end)
		},
		"after the seal": func(h nativeWorkerConn) {
			h.writeChunk(pieceLine(0))
			h.writeChunk(sealLine(h.id, 1))
			h.writeChunk(pieceLine(1))
			fmt.Fprint(h, end)
		},
		"no end": func(h nativeWorkerConn) {
			h.writeChunk(pieceLine(0))
			h.writeChunk(sealLine(h.id, 1))
			fmt.Fprint(h, "5\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, conns := startNativeWorker(t)
			v := newTestRouter(t, addr)
			c := sendPrompt(t, v, "/chat")
			h := <-conns
			h.writeHeader()
			misbehave(h)
			h.Close()
			got := c.readAll()
			if !strings.Contains(got, strings.TrimSpace(pieceLine(0))) {
				t.Fatalf("the first piece did not arrive: %q", got)
			}
			if strings.HasSuffix(got, end) || strings.Contains(got, `"seal"`) {
				t.Errorf("a broken answer looks complete: %q", got)
			}
		})
	}
}

// awaitWorkerDisconnect waits until the router has closed the worker's connection.
func awaitWorkerDisconnect(t *testing.T, h nativeWorkerConn) {
	t.Helper()
	if _, err := io.Copy(io.Discard, h); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the worker's connection: %v", err)
	}
}

// When a client disconnects, its run is cancelled, before and after the first token, and its slot becomes free again.
func TestClientDisconnect(t *testing.T) {
	t.Parallel()
	for _, afterFirstToken := range []bool{false, true} {
		t.Run(fmt.Sprint(afterFirstToken), func(t *testing.T) {
			t.Parallel()
			addr, conns := startNativeWorker(t)
			v := newTestRouter(t, addr)
			c := sendPrompt(t, v, "/chat")
			h := <-conns
			if afterFirstToken {
				h.writeHeader()
				h.writeChunk(pieceLine(0))
				if _, err := c.r.ReadString('}'); err != nil {
					t.Fatal(err)
				}
			}
			c.Close()
			awaitWorkerDisconnect(t, h)
			testutil.WaitUntil(t, "the slot is free", func() bool {
				v.coordinatorMu.Lock()
				defer v.coordinatorMu.Unlock()
				return v.coordinator.Status(v.Tasks.Now())[0].InUse == 0 && v.inFlight.Load() == 0
			})
			v.stats.mu.Lock()
			defer v.stats.mu.Unlock()
			if n := v.stats.resultCounts[resultcode.ClientDisconnected]; n != 1 {
				t.Errorf("%d disconnects were counted; the run ended for another reason", n)
			}
		})
	}
}

// A request whose client disconnects while it waits for a slot leaves the waiting queue.
func TestClientDisconnectWhileWaiting(t *testing.T) {
	t.Parallel()
	addr, conns := startNativeWorker(t)
	v := newTestRouter(t, addr)
	sendPrompt(t, v, "/chat")
	sendPrompt(t, v, "/chat")
	a, b := <-conns, <-conns
	defer a.Close()
	defer b.Close()
	waiting := func() int {
		v.coordinatorMu.Lock()
		defer v.coordinatorMu.Unlock()
		return v.coordinator.Status(v.Tasks.Now())[0].Waiting
	}
	c := sendPrompt(t, v, "/chat")
	testutil.WaitUntil(t, "the third waits", func() bool { return waiting() == 1 })
	if status, body := sendPrompt(t, v, "/chat").readResponse(t); status != 503 || !strings.Contains(body, `"code":301`) || !strings.Contains(body, `"retry_after_ms"`) {
		t.Errorf("the fourth request, with a full waiting queue: %d %s", status, body)
	}
	c.Close()
	testutil.WaitUntil(t, "the third has left", func() bool { return waiting() == 0 })
	if len(conns) > 0 {
		t.Error("more requests than the worker's slots reached it")
	}
}
