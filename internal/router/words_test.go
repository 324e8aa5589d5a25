package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/testutil"
)

const wordsConfig = `{"limits":{"body_bytes":200},
"services":[{"name":"big","pool":"main","slots":true,"warm_ms":0,"first_ms":20,"place":"home","memory":50000,"conns":9,"lax":true},
 {"name":"small","pool":"side","cap":8,"warm_ms":0,"first_ms":20,"warm_rate":1000}],
"promises":[{"name":"p","first_ms":100,"deadline_ms":3000}],
"layout":["mapping part { when host = \"x\" and under = \"/part\" to big 1, small 1 promise p repeat tries 2 }",
 "mapping lone { when host = \"x\" and under = \"/part/lone\" to small promise p repeat tries 1 stream resume pause 100 rank 2 }",
 "mapping free { when host = \"x\" and under = \"/free\" to small promise p once single }"]}`

// words is a rig with one worker for each of two services.
func words(t *testing.T) (v *Router, big, small chan hand) {
	t.Helper()
	a, big := scripted(t)
	b, small := scripted(t)
	v = rigOf(t, wordsConfig, a)
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "workers/side", Version: 1, Data: config.MarshalWorkers([]config.Worker{{ID: "s1", Addr: b, Zone: "z1", Age: time.Hour}})})
	v.FeedMu.Unlock()
	testutil.Until(t, "the router keeps both workers", func() bool {
		v.ledgerMu.Lock()
		defer v.ledgerMu.Unlock()
		k := v.ledger.Status(v.Tasks.Now())
		return len(k) == 2 && k[0].Open && k[1].Open
	})
	return v, big, small
}

func code(c resultcode.Code) string { return fmt.Sprintf(`"code":%d,`, c) }

// A mapping shared by two services reaches both; one key always the same one, and without a key it is drawn anew.
func TestSharesOfOwnInterface(t *testing.T) {
	t.Parallel()
	v, big, small := words(t)
	one := func(key string) (name string) {
		c := dial(t, v)
		head := "Time-Left-Ms: 2500\r\n"
		if key != "" {
			head += "Idempotency-Key: " + key + "\r\n"
		}
		c.post("/part/x", head, prompt)
		select {
		case h := <-big:
			h.whole(1)
			name = "big"
		case h := <-small:
			h.whole(1)
			name = "small"
		case <-time.After(5 * time.Second):
			status, body := c.reply(t)
			t.Fatalf("it reached no worker: %d %s", status, body)
		}
		if status, body := c.reply(t); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
		return name
	}
	got := map[string]int{}
	for i := range 24 {
		key := fmt.Sprint("key", i%4)
		got[key+one(key)]++
		got[one("")]++
	}
	if got["big"] == 0 || got["small"] == 0 {
		t.Errorf("not both were reached: %v", got)
	}
	for i := range 4 {
		if key := fmt.Sprint("key", i); got[key+"big"]*got[key+"small"] != 0 {
			t.Errorf("%s fell to both: %v", key, got)
		}
	}
}

// The host and the longest prefix decide; the mapping's tries and the limits hold; a single one claims nothing.
func TestWordsOfOwnInterface(t *testing.T) {
	t.Parallel()
	v, big, small := words(t)
	left := "Time-Left-Ms: 2500\r\n"
	c := dial(t, v)
	fmt.Fprintf(c, "POST /part/x HTTP/1.1\r\nHost: y\r\n%sContent-Length: %d\r\n\r\n%s", left, len(prompt), prompt)
	if status, body := c.reply(t); status != 404 || !strings.Contains(body, code(resultcode.NoMapping)) {
		t.Errorf("another host: %d %s", status, body)
	}
	c = dial(t, v)
	c.post("/free", left, `{"prompt":"`+strings.Repeat("a", 200)+`"}`)
	if status, body := c.reply(t); status != 413 || !strings.Contains(body, code(resultcode.RequestTooLarge)) || !strings.Contains(body, `"not_run":true`) {
		t.Errorf("over the limit: %d %s", status, body)
	}
	c = dial(t, v)
	c.post("/part/lone/x", left, prompt)
	h := <-small
	h.Close() // it may have run, and it may repeat; but one try is all
	if status, body := c.reply(t); !strings.Contains(body, code(resultcode.OutcomeUnknown)) {
		t.Errorf("one try: %d %s", status, body)
	}
	for range 2 { // both run: nothing is claimed for them
		c = dial(t, v)
		c.post("/free", left+"Idempotency-Key: k\r\n", prompt)
		h = <-small
		h.whole(1)
		if status, body := c.reply(t); status != 200 {
			t.Errorf("single: %d %s", status, body)
		}
	}
	if len(big)+len(small) > 0 {
		t.Error("more tries than the mapping allows")
	}
}
