package router

import (
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/testutil"
)

// metricsText returns a router's metrics.
func metricsText(v *Router) string {
	var ctx fasthttp.RequestCtx
	v.metrics(&ctx)
	return string(bytes.Clone(ctx.Response.Body()))
}

// A disconnected client is counted by the stage of its request, and each dial to a worker by its outcome.
func TestDisconnectMetrics(t *testing.T) {
	t.Parallel()
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	c := dialRelayClient(t, v)
	c.send("effectful", "a", "prompt")
	k := <-w.conns
	k.request()
	c.Close()
	k.awaitClose()
	testutil.WaitUntil(t, "no request is in flight", func() bool { return v.inFlight.Load() == 0 })
	text := metricsText(v)
	for _, want := range []string{
		`seamshunt_results_total{code="403"} 1`,
		`seamshunt_client_left_total{stage="answer"} 1`,
		`seamshunt_client_left_total{stage="admission"} 0`,
		`seamshunt_upstream_dials_total{outcome="connected"} 1`,
		`seamshunt_upstream_dials_total{outcome="timed_out"} 0`,
		`seamshunt_upstream_abandoned_requests_total 0`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %q in\n%s", want, text)
		}
	}
}
