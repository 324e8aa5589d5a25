package router

import (
	"fmt"
	"strings"
	"testing"

	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// A non-repeatable request of unknown outcome is not retried, and the answer reports that the outcome is unknown.
func TestNonRepeatableIsNeverRetried(t *testing.T) {
	t.Parallel()
	a, ha := startNativeWorker(t)
	b, hb := startNativeWorker(t)
	v := newTestRouter(t, a, b)
	for range 50 {
		v.retryBudgetOf("advice").RecordFirstAttempt(v.Tasks.Now()) // the retry budget would allow a retry
	}
	c := sendPrompt(t, v, "/notice")
	var h nativeWorkerConn
	select {
	case h = <-ha:
	case h = <-hb:
	}
	h.Close() // the request may have run
	status, body := c.readResponse(t)
	if status != 502 || !strings.Contains(body, `"code":401`) || !strings.Contains(body, `"not_run":false`) {
		t.Errorf("%d %s", status, body)
	}
	if len(ha)+len(hb) > 0 {
		t.Error("the request was dispatched again")
	}
}

// A sealed refusal proves that the request did not run, so even a non-repeatable one is retried if the budget allows.
func TestSealedRefusalIsRetried(t *testing.T) {
	t.Parallel()
	a, ha := startNativeWorker(t)
	b, hb := startNativeWorker(t)
	v := newTestRouter(t, a, b)
	for range 20 {
		v.retryBudgetOf("advice").RecordFirstAttempt(v.Tasks.Now())
	}
	c := sendPrompt(t, v, "/notice")
	var h, next nativeWorkerConn
	other := hb
	select {
	case h = <-ha:
	case h = <-hb:
		other = ha
	}
	text := fmt.Sprintf(`{"id":%q,"ran":false}`, h.id)
	fmt.Fprintf(h, "HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	h.Close()
	select {
	case next = <-other:
	case next = <-ha:
	case next = <-hb:
	}
	next.respond(3)
	if status, body := c.readResponse(t); status != 200 || !strings.Contains(body, `"seal"`) {
		t.Errorf("%d %s", status, body)
	}
}

// A refusal that does not contain the request's ID or does not state that it did not run is no proof that it did not run.
func TestUnprovenRefusals(t *testing.T) {
	t.Parallel()
	for _, text := range []string{`{"id":"other","ran":false}`, `{"ran":false}`, `{"id":"ID"}`, `{"id":"ID","ran":true}`, `{"id":"ID","ran":0}`, `busy`, ``} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			a, ha := startNativeWorker(t)
			v := newTestRouter(t, a)
			c := sendPrompt(t, v, "/notice")
			h := <-ha
			text := strings.Replace(text, "ID", h.id, 1)
			fmt.Fprintf(h, "HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			h.Close()
			if status, body := c.readResponse(t); status != 502 || !strings.Contains(body, `"not_run":false`) {
				t.Errorf("%s: %d %s", text, status, body)
			}
		})
	}
}

// A request with a claimed key is not run again, and its answer does not say what became of the first.
func TestDuplicateIdempotencyKey(t *testing.T) {
	t.Parallel()
	a, ha := startNativeWorker(t)
	v := newTestRouter(t, a)
	send := func() *testClient {
		c := dialClient(t, v)
		c.post("/notice", "Time-Left-Ms: 2500\r\nIdempotency-Key: k1\r\n", promptBody)
		return c
	}
	c := send()
	h := <-ha
	if status, body := send().readResponse(t); status != 409 || !strings.Contains(body, `"code":207`) || !strings.Contains(body, `"not_run":false`) {
		t.Errorf("while it runs: %d %s", status, body)
	}
	h.respond(2)
	if status, _ := c.readResponse(t); status != 200 {
		t.Errorf("the first: %d", status)
	}
	if status, _ := send().readResponse(t); status != 409 {
		t.Errorf("after it ran: %d", status)
	}
	if len(ha) > 0 {
		t.Error("the request ran twice")
	}
}

// The budget limits retries to a fifth of the first attempts over any ten seconds, without a free minimum.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	var b upstream.RetryBudget
	if b.AllowRetry(0, 0) {
		t.Error("a retry without any first attempt")
	}
	type attempt struct {
		at    units.Time
		retry bool
	}
	var attempts []attempt
	for i := range 4000 {
		now := units.Time(i) * 10_000_000 // 10 ms
		if i%3 == 0 && (i/500)%2 == 0 {
			b.RecordFirstAttempt(now)
			attempts = append(attempts, attempt{now, false})
		}
		if b.AllowRetry(now, 0) {
			attempts = append(attempts, attempt{now, true})
		}
	}
	retries := 0
	for i, x := range attempts {
		if !x.retry {
			continue
		}
		retries++
		// The budget counts in tenths of a second, so it may look 100 ms further back than ten seconds.
		firstBefore, retriesBefore := 0, 0
		for _, y := range attempts[:i+1] {
			if y.at > x.at-10_100_000_000 && !y.retry {
				firstBefore++
			}
			if y.at > x.at-9_900_000_000 && y.retry {
				retriesBefore++
			}
		}
		if 5*retriesBefore > firstBefore {
			t.Fatalf("at %d: %d retries for %d first attempts", x.at, retriesBefore, firstBefore)
		}
	}
	if retries < 100 {
		t.Errorf("only %d retries were allowed", retries)
	}
}

// Where the platform grants an allowance, each node may make its part of these retries on top of the ratio.
func TestRetryBudgetSlack(t *testing.T) {
	b := upstream.RetryBudget{Ratio: 0.1}
	for range 20 {
		b.RecordFirstAttempt(0)
	}
	n := 0
	for b.AllowRetry(0, 2) {
		n++
	}
	if n != 4 {
		t.Errorf("%d retries for 20 first attempts at a ratio of a tenth and two on top", n)
	}
}
