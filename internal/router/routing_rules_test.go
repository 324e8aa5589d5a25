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

const routingConfig = `{"limits":{"body_bytes":200},
"services":[{"name":"big","pool":"main","slots":true,"warm_ms":0,"first_ms":20,"place":"home","memory":50000,"conns":9,"lax":true},
 {"name":"small","pool":"side","cap":8,"warm_ms":0,"first_ms":20,"warm_rate":1000}],
"promises":[{"name":"p","first_ms":100,"deadline_ms":3000}],
"layout":["mapping part { when host = \"x\" and under = \"/part\" to big 1, small 1 promise p repeat tries 2 }",
 "mapping lone { when host = \"x\" and under = \"/part/lone\" to small promise p repeat tries 1 stream resume pause 100 rank 2 }",
 "mapping free { when host = \"x\" and under = \"/free\" to small promise p once single }"]}`

// newRoutingTestRouter starts a test router with one worker for each of two services.
func newRoutingTestRouter(t *testing.T) (v *Router, big, small chan nativeWorkerConn) {
	t.Helper()
	a, big := startNativeWorker(t)
	b, small := startNativeWorker(t)
	v = newTestRouterWithConfig(t, routingConfig, a)
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "workers/side", Version: 1, Data: config.MarshalWorkers([]config.Worker{{ID: "s1", Addr: b, Zone: "z1", Age: time.Hour}})})
	v.FeedMu.Unlock()
	testutil.WaitUntil(t, "the router coordinates both workers", func() bool {
		v.coordinatorMu.Lock()
		defer v.coordinatorMu.Unlock()
		statuses := v.coordinator.Status(v.Tasks.Now())
		return len(statuses) == 2 && statuses[0].Open && statuses[1].Open
	})
	return v, big, small
}

func codeField(c resultcode.Code) string { return fmt.Sprintf(`"code":%d,`, c) }

// A mapping shared by two services uses both. Requests with the same key always use the same one, and those without a key
// a random one.
func TestServiceSharesOfNativeAPI(t *testing.T) {
	t.Parallel()
	v, big, small := newRoutingTestRouter(t)
	sendOne := func(key string) (name string) {
		c := dialClient(t, v)
		head := "Time-Left-Ms: 2500\r\n"
		if key != "" {
			head += "Idempotency-Key: " + key + "\r\n"
		}
		c.post("/part/x", head, promptBody)
		select {
		case h := <-big:
			h.respond(1)
			name = "big"
		case h := <-small:
			h.respond(1)
			name = "small"
		case <-time.After(5 * time.Second):
			status, body := c.readResponse(t)
			t.Fatalf("the request reached no worker: %d %s", status, body)
		}
		if status, body := c.readResponse(t); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
		return name
	}
	got := map[string]int{}
	for i := range 24 {
		key := fmt.Sprint("key", i%4)
		got[key+sendOne(key)]++
		got[sendOne("")]++
	}
	if got["big"] == 0 || got["small"] == 0 {
		t.Errorf("not both services were used: %v", got)
	}
	for i := range 4 {
		if key := fmt.Sprint("key", i); got[key+"big"]*got[key+"small"] != 0 {
			t.Errorf("%s used both services: %v", key, got)
		}
	}
}

// Host and longest path prefix select the mapping, the mapping's attempts and the limits are respected, and a mapping with
// single claims no keys.
func TestRoutingRulesOfNativeAPI(t *testing.T) {
	t.Parallel()
	v, big, small := newRoutingTestRouter(t)
	timeLeft := "Time-Left-Ms: 2500\r\n"
	c := dialClient(t, v)
	fmt.Fprintf(c, "POST /part/x HTTP/1.1\r\nHost: y\r\n%sContent-Length: %d\r\n\r\n%s", timeLeft, len(promptBody), promptBody)
	if status, body := c.readResponse(t); status != 404 || !strings.Contains(body, codeField(resultcode.NoMapping)) {
		t.Errorf("another host: %d %s", status, body)
	}
	c = dialClient(t, v)
	c.post("/free", timeLeft, `{"prompt":"`+strings.Repeat("a", 200)+`"}`)
	if status, body := c.readResponse(t); status != 413 || !strings.Contains(body, codeField(resultcode.RequestTooLarge)) || !strings.Contains(body, `"not_run":true`) {
		t.Errorf("over the limit: %d %s", status, body)
	}
	c = dialClient(t, v)
	c.post("/part/lone/x", timeLeft, promptBody)
	h := <-small
	h.Close() // it may have run and is repeatable, but the mapping allows only one attempt
	if status, body := c.readResponse(t); !strings.Contains(body, codeField(resultcode.OutcomeUnknown)) {
		t.Errorf("one attempt: %d %s", status, body)
	}
	for range 2 { // both run, since no key is claimed
		c = dialClient(t, v)
		c.post("/free", timeLeft+"Idempotency-Key: k\r\n", promptBody)
		h = <-small
		h.respond(1)
		if status, body := c.readResponse(t); status != 200 {
			t.Errorf("single: %d %s", status, body)
		}
	}
	if len(big)+len(small) > 0 {
		t.Error("more attempts than the mapping allows")
	}
}
