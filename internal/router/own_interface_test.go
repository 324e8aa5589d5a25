package router

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/testutil"
)

// Every bad prompt gets its code, and is said not to run.
func TestBadPrompts(t *testing.T) {
	t.Parallel()
	addr, hands := scripted(t)
	v := rig(t, addr)
	left := "Time-Left-Ms: 1000\r\n"
	for _, x := range []struct {
		name, path, head, body string
		status                 int
		code                   resultcode.Code
	}{
		{"no time left", "/chat", "", prompt, 400, resultcode.MissingTimeLeft},
		{"time left no number", "/chat", "Time-Left-Ms: soon\r\n", prompt, 400, resultcode.InvalidTimeLeft},
		{"time left zero", "/chat", "Time-Left-Ms: 0\r\n", prompt, 400, resultcode.InvalidTimeLeft},
		{"time left negative", "/chat", "Time-Left-Ms: -5\r\n", prompt, 400, resultcode.InvalidTimeLeft},
		{"no mapping", "/other", left, prompt, 404, resultcode.NoMapping},
		{"no JSON", "/chat", left, "{", 400, resultcode.InvalidBody},
		{"no prompt", "/chat", left, "{}", 400, resultcode.InvalidBody},
		{"prompt no text", "/chat", left, `{"prompt":7}`, 400, resultcode.InvalidBody},
		{"prompt empty", "/chat", left, `{"prompt":""}`, 400, resultcode.InvalidBody},
		{"long key", "/notice", left + "Idempotency-Key: " + strings.Repeat("k", 201) + "\r\n", prompt, 400, resultcode.InvalidKey},
		{"too late", "/chat", "Time-Left-Ms: 10\r\n", prompt, 503, resultcode.DeadlineExceeded},
	} {
		c := dial(t, v)
		c.post(x.path, x.head, x.body)
		status, body := c.reply(t)
		if status != x.status || !strings.Contains(body, fmt.Sprintf(`"code":%d,`, x.code)) || !strings.Contains(body, `"not_run":true`) {
			t.Errorf("%s: %d %s", x.name, status, body)
		}
	}
	c := dial(t, v)
	fmt.Fprintf(c, "POST /chat HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", left, MaxBodyBytes+1)
	if status, body := c.reply(t); status != 413 || !strings.Contains(body, `"code":204`) {
		t.Errorf("too large: %d %s", status, body)
	}
	c = dial(t, v)
	fmt.Fprint(c, "what is this\r\n\r\n")
	if status, body := c.reply(t); status != 400 || !strings.Contains(body, `"not_run":true`) {
		t.Errorf("no HTTP: %d %s", status, body)
	}
	if len(hands) > 0 {
		t.Error("a bad prompt reached the worker")
	}
}

// Each piece reaches the caller before the worker sends the next: nothing is held back in a buffer.
func TestStreamIsUnbuffered(t *testing.T) {
	t.Parallel()
	addr, hands := scripted(t)
	v := rig(t, addr)
	c := ask(t, v, "/chat")
	h := <-hands
	h.head()
	for i := range 5 {
		h.chunk(piece(i))
		for want := strings.TrimSpace(piece(i)); ; {
			line, err := c.r.ReadString('\n')
			if err != nil {
				t.Fatalf("piece %d never came: %v", i, err)
			}
			if strings.TrimSpace(line) == want {
				break
			}
		}
	}
	h.chunk(seal(h.id, 5))
	fmt.Fprint(h, "0\r\n\r\n")
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			t.Fatalf("no proper end: %v", err)
		}
		if line == "0\r\n" {
			break
		}
	}
}

// A broken answer never ends like a whole one: no final chunk, no seal, whatever the worker did wrong.
func TestBrokenAnswersHaveNoEnd(t *testing.T) {
	t.Parallel()
	end := "0\r\n\r\n"
	for name, f := range map[string]func(h hand){
		"cut":            func(h hand) { h.chunk(piece(0)) },
		"cut in a chunk": func(h hand) { h.chunk(piece(0)); fmt.Fprint(h, "40\r\n{\"n\":1,") },
		"no seal":        func(h hand) { h.chunk(piece(0)); fmt.Fprint(h, end) },
		"gap":            func(h hand) { h.chunk(piece(0)); h.chunk(piece(2)); h.chunk(seal(h.id, 2)); fmt.Fprint(h, end) },
		"doubled":        func(h hand) { h.chunk(piece(0)); h.chunk(piece(0)); h.chunk(seal(h.id, 2)); fmt.Fprint(h, end) },
		"sealed short":   func(h hand) { h.chunk(piece(0)); h.chunk(piece(1)); h.chunk(seal(h.id, 1)); fmt.Fprint(h, end) },
		"other's seal":   func(h hand) { h.chunk(piece(0)); h.chunk(seal("other", 1)); fmt.Fprint(h, end) },
		"after the seal": func(h hand) { h.chunk(piece(0)); h.chunk(seal(h.id, 1)); h.chunk(piece(1)); fmt.Fprint(h, end) },
		"no end":         func(h hand) { h.chunk(piece(0)); h.chunk(seal(h.id, 1)); fmt.Fprint(h, "5\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, hands := scripted(t)
			v := rig(t, addr)
			c := ask(t, v, "/chat")
			h := <-hands
			h.head()
			f(h)
			h.Close()
			got := c.rest()
			if !strings.Contains(got, strings.TrimSpace(piece(0))) {
				t.Fatalf("the first piece never came: %q", got)
			}
			if strings.HasSuffix(got, end) || strings.Contains(got, `"seal"`) {
				t.Errorf("it looks whole: %q", got)
			}
		})
	}
}

// gone says that the worker's wire was closed from the router's side.
func gone(t *testing.T, h hand) {
	t.Helper()
	if _, err := io.Copy(io.Discard, h); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the worker's wire: %v", err)
	}
}

// A caller that hangs up has its run cancelled, before and after the first words, and its slot is free again.
func TestHangUp(t *testing.T) {
	t.Parallel()
	for _, words := range []bool{false, true} {
		t.Run(fmt.Sprint(words), func(t *testing.T) {
			t.Parallel()
			addr, hands := scripted(t)
			v := rig(t, addr)
			c := ask(t, v, "/chat")
			h := <-hands
			if words {
				h.head()
				h.chunk(piece(0))
				if _, err := c.r.ReadString('}'); err != nil {
					t.Fatal(err)
				}
			}
			c.Close()
			gone(t, h)
			testutil.WaitUntil(t, "the slot is free", func() bool {
				v.ledgerMu.Lock()
				defer v.ledgerMu.Unlock()
				return v.ledger.Status(v.Tasks.Now())[0].InUse == 0 && v.inFlight.Load() == 0
			})
			v.stats.mu.Lock()
			defer v.stats.mu.Unlock()
			if n := v.stats.codes[resultcode.ClientDisconnected]; n != 1 {
				t.Errorf("%d hang-ups were noticed; the run ended for another reason", n)
			}
		})
	}
}

// A caller that hangs up while it waits for a slot leaves the waitlist.
func TestHangUpWhileWaiting(t *testing.T) {
	t.Parallel()
	addr, hands := scripted(t)
	v := rig(t, addr)
	ask(t, v, "/chat")
	ask(t, v, "/chat")
	a, b := <-hands, <-hands
	defer a.Close()
	defer b.Close()
	waiting := func() int {
		v.ledgerMu.Lock()
		defer v.ledgerMu.Unlock()
		return v.ledger.Status(v.Tasks.Now())[0].Waiting
	}
	c := ask(t, v, "/chat")
	testutil.WaitUntil(t, "the third waits", func() bool { return waiting() == 1 })
	if status, body := ask(t, v, "/chat").reply(t); status != 503 || !strings.Contains(body, `"code":301`) || !strings.Contains(body, `"retry_after_ms"`) {
		t.Errorf("the fourth finds the waitlist full: %d %s", status, body)
	}
	c.Close()
	testutil.WaitUntil(t, "the third has left", func() bool { return waiting() == 0 })
	if len(hands) > 0 {
		t.Error("more than the cap reached the worker")
	}
}
