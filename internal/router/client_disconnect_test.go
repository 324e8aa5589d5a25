package router

import (
	"fmt"
	"io"
	"testing"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/config"
	"seamshunt/platform"
)

// relayRoutes are the routes of relayConfig, one of each variant.
var relayRoutes = []string{"pure", "effectful", "resumable", "streaming"}

// disconnectPoints are the stages of a request at which its client disconnects. Each function returns, once the router has
// finished with the request, the worker that would have received it.
var disconnectPoints = map[string]func(t *testing.T, route string) *scriptedWorker{
	"connecting":            leftWhileConnecting,
	"held for confirmation": leftWhileAwaitingConfirmation,
	"held for coordinators": leftWhileAwaitingCoordinators,
	"paused at admission":   leftWhilePaused,
	"pipelining":            leftAfterFurtherBytes,
}

// Once a client has disconnected, its request is sent to no worker, whichever stage it was at.
func TestNothingIsSentAfterClientDisconnect(t *testing.T) {
	t.Parallel()
	for name, disconnect := range disconnectPoints {
		for _, route := range relayRoutes {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				if ids := disconnect(t, route).received(t); len(ids) > 0 {
					t.Errorf("the worker received %v", ids)
				}
			})
		}
	}
	t.Run("stream resumed", func(t *testing.T) {
		t.Parallel()
		if ids := leftBeforeResumption(t).received(t); len(ids) > 0 {
			t.Errorf("the worker received %v", ids)
		}
	})
	for _, stage := range []string{"claim", "admission"} {
		t.Run("native API, paused at "+stage, func(t *testing.T) {
			t.Parallel()
			if ids := leftNativeAPI(t, stage).received(t); len(ids) > 0 {
				t.Errorf("the worker received %v", ids)
			}
		})
	}
}

func leftWhileConnecting(t *testing.T, route string) *scriptedWorker {
	w := newSilentWorker(t, "i-1")
	v := newRelayRouter(t, w.scriptedWorker)
	c := dialRelayClient(t, v)
	c.send(route, "s", "prompt")
	awaitPermit(t, v)
	c.disconnect(t)
	w.startAccepting()
	awaitIdle(t, v)
	v.pool.CloseIdle(w.id)
	return w.scriptedWorker
}

func leftWhileAwaitingConfirmation(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	v.ready.Store(false)
	c := dialRelayClient(t, v)
	c.send(route, "s", "prompt")
	awaitInFlight(t, v)
	c.disconnect(t)
	v.ready.Store(true)
	awaitIdle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

func leftWhileAwaitingCoordinators(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t)
	applyUpdates(t, v) // waits until the configuration is in force
	c := dialRelayClient(t, v)
	c.send(route, "s", "prompt")
	awaitInFlight(t, v)
	c.disconnect(t)
	list := []config.Worker{{ID: w.id, Addr: w.addr, Zone: "z1", Age: time.Hour, Service: "svc", Slots: relaySlots}}
	applyUpdates(t, v, configpush.Item{Key: "workers/" + platform.Pool, Version: 2, Data: config.MarshalWorkers(list)})
	awaitIdle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

// leftWhilePaused blocks the router where it requests admission, as a pause of its process would.
func leftWhilePaused(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	v.queueMu.Lock()
	c := dialRelayClient(t, v)
	c.send(route, "s", "prompt")
	awaitInFlight(t, v)
	c.disconnect(t)
	v.queueMu.Unlock()
	awaitIdle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

// leftAfterFurtherBytes has a client send the beginning of another request before it disconnects, so that the FIN is not
// the next thing that the router can read.
func leftAfterFurtherBytes(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, w)
	v.queueMu.Lock()
	c := dialRelayClient(t, v)
	c.send(route, "s", "prompt")
	awaitInFlight(t, v)
	_, _ = io.WriteString(c, requestText(route, "next", "prompt")[:20]) // stays unread in the socket buffer
	c.disconnect(t)
	v.queueMu.Unlock()
	awaitIdle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

// leftBeforeResumption breaks a resumable stream at its worker after its client has disconnected.
func leftBeforeResumption(t *testing.T) *scriptedWorker {
	a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
	v := newRelayRouter(t, a, b)
	c := dialRelayClient(t, v)
	c.send("resumable", "s", "prompt")
	k, other := firstConn(a, b)
	k.request()
	k.writeText(streamHead+chunkedHeader, "s")
	k.writeChunk(event(1))
	if _, err := c.r.ReadString('e'); err != nil {
		t.Fatal(err)
	}
	c.disconnect(t)
	k.reset()
	awaitIdle(t, v)
	v.pool.CloseIdle(other.id)
	return other
}

// leftNativeAPI blocks the router where a request of the native API claims its key or requests admission.
func leftNativeAPI(t *testing.T, stage string) *scriptedWorker {
	w := newScriptedWorker(t, "w1")
	v := newTestRouter(t, w.addr)
	lock := &v.queueMu
	if stage == "claim" {
		lock = &v.claimantMu
	}
	lock.Lock()
	c := dialRelayClient(t, v)
	fmt.Fprintf(c, "POST /notice HTTP/1.1\r\nHost: x\r\nTime-Left-Ms: 2500\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", len(promptBody), promptBody)
	awaitInFlight(t, v)
	c.disconnect(t)
	lock.Unlock()
	awaitIdle(t, v)
	return w
}

// A worker that does not answer connection attempts is marked down, like one that refuses them.
func TestSilentWorkerIsPassedOver(t *testing.T) {
	t.Parallel()
	w := newSilentWorker(t, "i-1")
	v := newRelayRouter(t, w.scriptedWorker)
	c := dialRelayClient(t, v)
	c.send("pure", "s", "prompt")
	if a := c.receive(); a.status != 503 {
		t.Errorf("answered %+v", a)
	}
	if n := v.pool.Stats.TimedOut.Load(); n == 0 {
		t.Fatal("no connection attempt timed out, so the test proves nothing")
	}
	v.viewMu.Lock()
	_, down := v.view.outages["svc/i-1"]
	v.viewMu.Unlock()
	if !down {
		t.Error("the worker is not marked down")
	}
}
