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

// relayRoutes are the routes of a relayRig, one of each kind.
var relayRoutes = []string{"pure", "effectful", "resumable", "streaming"}

// leavings are the places where a request stands at the router when its client leaves. Each gives the worker that would
// get the request, once the router has nothing more to do for it.
var leavings = map[string]func(t *testing.T, route string) *scriptedWorker{
	"connecting":          leftWhileConnecting,
	"held for news":       leftWhileHeldForNews,
	"held for keepers":    leftWhileHeldForKeepers,
	"frozen at admission": leftWhileFrozen,
	"pipelining":          leftBehindFurtherBytes,
}

// Once a client has left, its request reaches no worker any more, wherever it stood.
func TestNothingIsSentAfterTheClientLeft(t *testing.T) {
	t.Parallel()
	for name, leaving := range leavings {
		for _, route := range relayRoutes {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				if ids := leaving(t, route).received(t); len(ids) > 0 {
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
	for _, stands := range []string{"claim", "admission"} {
		t.Run("own interface, frozen at "+stands, func(t *testing.T) {
			t.Parallel()
			if ids := leftOwnInterface(t, stands).received(t); len(ids) > 0 {
				t.Errorf("the worker received %v", ids)
			}
		})
	}
}

func leftWhileConnecting(t *testing.T, route string) *scriptedWorker {
	w := newSilentWorker(t, "i-1")
	v := relayRig(t, w.scriptedWorker)
	c := clientConn(t, v)
	c.send(route, "s", "prompt")
	admitted(t, v)
	c.leave(t)
	w.wake()
	idle(t, v)
	v.pool.CloseIdle(w.id)
	return w.scriptedWorker
}

func leftWhileHeldForNews(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	v.ready.Store(false)
	c := clientConn(t, v)
	c.send(route, "s", "prompt")
	taken(t, v)
	c.leave(t)
	v.ready.Store(true)
	idle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

func leftWhileHeldForKeepers(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t)
	take(t, v) // the configuration is in force
	c := clientConn(t, v)
	c.send(route, "s", "prompt")
	taken(t, v)
	c.leave(t)
	list := []config.Worker{{ID: w.id, Addr: w.addr, Zone: "z1", Age: time.Hour, Service: "svc", Slots: relaySlots}}
	take(t, v, configpush.Item{Key: "workers/" + platform.Pool, Version: 2, Data: config.MarshalWorkers(list)})
	idle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

// leftWhileFrozen stops the router where it asks for admission, as a freeze of its process would.
func leftWhileFrozen(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	v.queueMu.Lock()
	c := clientConn(t, v)
	c.send(route, "s", "prompt")
	taken(t, v)
	c.leave(t)
	v.queueMu.Unlock()
	idle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

// leftBehindFurtherBytes is a client whose end stands behind the beginning of a further request.
func leftBehindFurtherBytes(t *testing.T, route string) *scriptedWorker {
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	v.queueMu.Lock()
	c := clientConn(t, v)
	c.send(route, "s", "prompt")
	taken(t, v)
	_, _ = io.WriteString(c, requestText(route, "next", "prompt")[:20]) // stays in the socket
	c.leave(t)
	v.queueMu.Unlock()
	idle(t, v)
	v.pool.CloseIdle(w.id)
	return w
}

// leftBeforeResumption has a stream break at its worker after its client left.
func leftBeforeResumption(t *testing.T) *scriptedWorker {
	a, b := newScriptedWorker(t, "i-1"), newScriptedWorker(t, "i-2")
	v := relayRig(t, a, b)
	c := clientConn(t, v)
	c.send("resumable", "s", "prompt")
	k, other := next(a, b)
	k.request()
	k.say(streamHead+chunks, "s")
	k.chunk(event(1))
	if _, err := c.r.ReadString('e'); err != nil {
		t.Fatal(err)
	}
	c.leave(t)
	k.reset()
	idle(t, v)
	v.pool.CloseIdle(other.id)
	return other
}

// leftOwnInterface stops the router where a request of the product's own interface is claimed or asks for admission.
func leftOwnInterface(t *testing.T, stands string) *scriptedWorker {
	w := newScriptedWorker(t, "w1")
	v := rig(t, w.addr)
	held := &v.queueMu
	if stands == "claim" {
		held = &v.claimantMu
	}
	held.Lock()
	c := clientConn(t, v)
	fmt.Fprintf(c, "POST /notice HTTP/1.1\r\nHost: x\r\nTime-Left-Ms: 2500\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", len(prompt), prompt)
	taken(t, v)
	c.leave(t)
	held.Unlock()
	idle(t, v)
	return w
}

// A worker that answers no attempt to connect is passed over, like one that refuses them.
func TestSilentWorkerIsPassedOver(t *testing.T) {
	t.Parallel()
	w := newSilentWorker(t, "i-1")
	v := relayRig(t, w.scriptedWorker)
	c := clientConn(t, v)
	c.send("pure", "s", "prompt")
	if a := c.receive(); a.status != 503 {
		t.Errorf("answered %+v", a)
	}
	if n := v.pool.Stats.TimedOut.Load(); n == 0 {
		t.Fatal("no attempt to connect ran out of time: it shows nothing")
	}
	v.tableMu.Lock()
	_, down := v.table.down["svc/i-1"]
	v.tableMu.Unlock()
	if !down {
		t.Error("the worker is tried like any other")
	}
}
