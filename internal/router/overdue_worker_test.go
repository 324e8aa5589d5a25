package router

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/testutil"
)

// A request whose worker sends no output is retried on another worker once the first token is later than is usual for the
// service, if the request is repeatable and the retry budget allows. A non-repeatable request is never dispatched again.
func TestUnresponsiveWorker(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/chat", "/notice"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			addrA, connsA := startNativeWorker(t)
			addrB, connsB := startNativeWorker(t)
			v := newTestRouter(t, addrA, addrB)
			for range 40 {
				v.firstTokenLatencyOf("advice").Add(10 * time.Millisecond)
				v.retryBudgetOf("advice").RecordFirstAttempt(v.Tasks.Now())
			}
			client := sendPrompt(t, v, path)
			other := connsB
			select {
			case <-connsA:
			case <-connsB:
				other = connsA
			}
			if path == "/chat" {
				conn := <-other
				conn.respond(2)
				if status, body := client.readResponse(t); status != 200 || !strings.Contains(body, `"seal"`) {
					t.Errorf("%d %s", status, body)
				}
			} else if status, body := client.readResponse(t); status != 502 || !strings.Contains(body, `"code":401`) || len(connsA)+len(connsB) > 0 {
				t.Errorf("%d %s, dispatched %d more times", status, body, len(connsA)+len(connsB))
			}
			v.viewMu.Lock()
			down := len(v.view.outages)
			v.viewMu.Unlock()
			if down != 1 {
				t.Errorf("%d workers are marked down", down)
			}
		})
	}
}

// Without a retry left in the budget, or while the usual latency of the service is unknown, the router keeps waiting for
// an overdue worker, which may still answer.
func TestOverdueWorkerIsAwaited(t *testing.T) {
	t.Parallel()
	addrA, connsA := startNativeWorker(t)
	addrB, connsB := startNativeWorker(t)
	v := newTestRouter(t, addrA, addrB)
	for range 40 {
		v.firstTokenLatencyOf("advice").Add(10 * time.Millisecond) // no first attempts are recorded, so the budget has no retry
	}
	client := sendPrompt(t, v, "/chat")
	var conn nativeWorkerConn
	select {
	case conn = <-connsA:
	case conn = <-connsB:
	}
	testutil.WaitUntil(t, "the worker is marked down", func() bool {
		v.viewMu.Lock()
		defer v.viewMu.Unlock()
		return len(v.view.outages) == 1
	})
	conn.respond(2)
	if status, body := client.readResponse(t); status != 200 || !strings.Contains(body, `"seal"`) || len(connsA)+len(connsB) > 0 {
		t.Errorf("%d %s", status, body)
	}
	testutil.WaitUntil(t, "the worker is no longer marked down", func() bool {
		v.viewMu.Lock()
		defer v.viewMu.Unlock()
		return len(v.view.outages) == 0
	})
	_, body, err := fasthttp.Get(nil, "http://"+v.Settings.HTTPAddr+"/status")
	var x struct {
		Promises map[string]struct {
			Asked  int `json:"asked"`
			Missed int `json:"first_missed"`
			OnTime int `json:"on_time"`
		}
	}
	if err != nil || json.Unmarshal(body, &x) != nil || x.Promises["chat"].Asked != 1 || x.Promises["chat"].Missed != 1 || x.Promises["chat"].OnTime != 1 {
		t.Errorf("the mapping's statistics: %v %+v", err, x)
	}
}

// A router that can reach no other known member reports that it is not ready. A router that has never had another member
// is ready.
func TestIsolatedRouterIsNotReady(t *testing.T) {
	t.Parallel()
	a, _ := startNativeWorker(t)
	v := newTestRouter(t, a)
	ready := func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+v.Settings.HTTPAddr+"/healthz")
		return err == nil && code == 200
	}
	if !ready() {
		t.Fatal("a single router is not ready")
	}
	peer := membership.New(membership.Member{Node: 9, Incarnation: 1, Role: membership.Controller, Addr: testutil.FreeAddr(t), Zone: "z2"}, []string{v.Settings.Addr}, rand.New(rand.NewPCG(1, 1)))
	v.GossipMu.Lock()
	for _, n := range peer.Tick(0).Messages {
		n.From = 9
		v.Gossip.Step(v.Tasks.Now(), n)
	}
	v.GossipMu.Unlock()
	if !ready() {
		t.Error("not ready although it reaches another member")
	}
	testutil.WaitUntil(t, "it is isolated and not ready", func() bool { return !ready() })
}
