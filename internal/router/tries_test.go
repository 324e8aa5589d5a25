package router

import (
	"fmt"
	"strings"
	"testing"

	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// What may not repeat is handed over once when the outcome is unknown, and the answer says so.
func TestOnceIsNeverTriedAgain(t *testing.T) {
	t.Parallel()
	a, ha := scripted(t)
	b, hb := scripted(t)
	v := rig(t, a, b)
	for range 50 {
		v.budgetOf("advice").RecordFirstAttempt(v.Tasks.Now()) // the budget would allow it
	}
	c := ask(t, v, "/notice")
	var h hand
	select {
	case h = <-ha:
	case h = <-hb:
	}
	h.Close() // it may have run
	status, body := c.reply(t)
	if status != 502 || !strings.Contains(body, `"code":401`) || !strings.Contains(body, `"not_run":false`) {
		t.Errorf("%d %s", status, body)
	}
	if len(ha)+len(hb) > 0 {
		t.Error("it was handed over again")
	}
}

// A sealed refusal is no run: even what may not repeat goes to the next worker, if the budget allows.
func TestSealedRefusalGoesOn(t *testing.T) {
	t.Parallel()
	a, ha := scripted(t)
	b, hb := scripted(t)
	v := rig(t, a, b)
	for range 20 {
		v.budgetOf("advice").RecordFirstAttempt(v.Tasks.Now())
	}
	c := ask(t, v, "/notice")
	var h, next hand
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
	next.whole(3)
	if status, body := c.reply(t); status != 200 || !strings.Contains(body, `"seal"`) {
		t.Errorf("%d %s", status, body)
	}
}

// A refusal that does not name the request, or does not say so, is no proof that it did not run.
func TestDoubtfulRefusals(t *testing.T) {
	t.Parallel()
	for _, text := range []string{`{"id":"other","ran":false}`, `{"ran":false}`, `{"id":"ID"}`, `{"id":"ID","ran":true}`, `{"id":"ID","ran":0}`, `busy`, ``} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			a, ha := scripted(t)
			v := rig(t, a)
			c := ask(t, v, "/notice")
			h := <-ha
			text := strings.Replace(text, "ID", h.id, 1)
			fmt.Fprintf(h, "HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			h.Close()
			if status, body := c.reply(t); status != 502 || !strings.Contains(body, `"not_run":false`) {
				t.Errorf("%s: %d %s", text, status, body)
			}
		})
	}
}

// The same key is not run twice; what came of it is not known to the second.
func TestSameKey(t *testing.T) {
	t.Parallel()
	a, ha := scripted(t)
	v := rig(t, a)
	send := func() *caller {
		c := dial(t, v)
		c.post("/notice", "Time-Left-Ms: 2500\r\nIdempotency-Key: k1\r\n", prompt)
		return c
	}
	c := send()
	h := <-ha
	if status, body := send().reply(t); status != 409 || !strings.Contains(body, `"code":207`) || !strings.Contains(body, `"not_run":false`) {
		t.Errorf("while it runs: %d %s", status, body)
	}
	h.whole(2)
	if status, _ := c.reply(t); status != 200 {
		t.Errorf("the first: %d", status)
	}
	if status, _ := send().reply(t); status != 409 {
		t.Errorf("after it ran: %d", status)
	}
	if len(ha) > 0 {
		t.Error("it ran twice")
	}
}

// The budget holds further tries to a fifth of the first ones over any ten seconds, with no free minimum.
func TestBudget(t *testing.T) {
	t.Parallel()
	var b upstream.RetryBudget
	if b.AllowRetry(0, 0) {
		t.Error("a further try without any first one")
	}
	type try struct {
		at    units.Time
		again bool
	}
	var l []try
	for i := range 4000 {
		now := units.Time(i) * 10_000_000 // 10 ms
		if i%3 == 0 && (i/500)%2 == 0 {
			b.RecordFirstAttempt(now)
			l = append(l, try{now, false})
		}
		if b.AllowRetry(now, 0) {
			l = append(l, try{now, true})
		}
	}
	again := 0
	for i, x := range l {
		if !x.again {
			continue
		}
		again++
		// The budget counts in tenths of a second, so it may look 100 ms further back than ten seconds.
		first, more := 0, 0
		for _, y := range l[:i+1] {
			if y.at > x.at-10_100_000_000 && !y.again {
				first++
			}
			if y.at > x.at-9_900_000_000 && y.again {
				more++
			}
		}
		if 5*more > first {
			t.Fatalf("at %d: %d further tries on %d first ones", x.at, more, first)
		}
	}
	if again < 100 {
		t.Errorf("only %d further tries were allowed", again)
	}
}

// A few further tries are allowed on top of the share, where the world grants an allowance: each node takes its part.
func TestSlackOfBudget(t *testing.T) {
	b := upstream.RetryBudget{Ratio: 0.1}
	for range 20 {
		b.RecordFirstAttempt(0)
	}
	n := 0
	for b.AllowRetry(0, 2) {
		n++
	}
	if n != 4 {
		t.Errorf("%d further tries for 20 first ones at a tenth and two on top", n)
	}
}
