package router

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/testutil"
)

const fallbackConfig = `{"services":[{"name":"big","pool":"main","cap":1,"warm_ms":0,"first_ms":20,"waitlist":1},{"name":"small","pool":"side","cap":1,"warm_ms":0,"first_ms":20,"waitlist":1}],
"promises":[{"name":"p","first_ms":100,"deadline_ms":3000,"smaller":true}],
"layout":"mapping stepped { when path = \"/stepped\" to big, small step small promise p repeat }\nmapping plain { when path = \"/plain\" to big promise p repeat }"}`

var markers atomic.Uint64

// applyUpdates passes updates to the router and waits until they are applied. Updates are applied in order, so it waits
// for a marker that follows them.
func applyUpdates(t *testing.T, v *Router, updates ...configpush.Item) {
	t.Helper()
	v.FeedMu.Lock()
	for _, update := range updates {
		v.Feed.Apply(update)
	}
	v.FeedMu.Unlock()
	marker := fmt.Sprintf("marker%d", markers.Add(1))
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "zone/" + marker, Version: 1, Data: []byte(`{"evacuated":true}`)})
	v.FeedMu.Unlock()
	testutil.WaitUntil(t, "the updates are applied", func() bool {
		v.viewMu.Lock()
		defer v.viewMu.Unlock()
		return v.view.evacuatedZones[marker]
	})
}

// A request falls back only to the service that the mapping names, and only once the first service is full. A mapping
// without a fallback refuses the request as not run.
func TestFallbackService(t *testing.T) {
	t.Parallel()
	a, big := startNativeWorker(t)
	b, small := startNativeWorker(t)
	v := newTestRouter(t, a)
	applyUpdates(t, v, configpush.Item{Key: "config", Version: 2, Data: []byte(fallbackConfig)},
		configpush.Item{Key: "workers/side", Version: 1, Data: config.MarshalWorkers([]config.Worker{{ID: "s1", Addr: b, Zone: "z1", Age: 1 << 40}})})
	testutil.WaitUntil(t, "the router coordinates both workers", func() bool {
		v.coordinatorMu.Lock()
		defer v.coordinatorMu.Unlock()
		statuses := v.coordinator.Status(v.Tasks.Now())
		return len(statuses) == 2 && statuses[0].Open && statuses[1].Open
	})
	sendPrompt(t, v, "/stepped")
	first := <-big
	defer first.Close()
	queued := sendPrompt(t, v, "/stepped") // waits for big, whose waiting queue has room
	defer queued.Close()
	testutil.WaitUntil(t, "one request waits", func() bool {
		v.coordinatorMu.Lock()
		defer v.coordinatorMu.Unlock()
		return v.coordinator.Status(v.Tasks.Now())[0].Waiting == 1
	})
	if status, body := sendPrompt(t, v, "/plain").readResponse(t); status != 503 || !strings.Contains(body, `"code":301`) || !strings.Contains(body, `"not_run":true`) {
		t.Errorf("no fallback: %d %s", status, body)
	}
	c := sendPrompt(t, v, "/stepped")
	h := <-small
	h.respond(2)
	if status, body := c.readResponse(t); status != 200 || !strings.Contains(body, `"seal"`) {
		t.Errorf("with a fallback: %d %s", status, body)
	}
	if len(big)+len(small) > 0 {
		t.Error("a further request was dispatched")
	}
}

// A configuration change, even one that removes the mapping, does not affect a running stream.
func TestConfigChangeKeepsRunningStreams(t *testing.T) {
	t.Parallel()
	a, conns := startNativeWorker(t)
	v := newTestRouter(t, a)
	c := sendPrompt(t, v, "/chat")
	h := <-conns
	h.writeHeader()
	h.writeChunk(pieceLine(0))
	if _, err := c.r.ReadString('}'); err != nil {
		t.Fatal(err)
	}
	applyUpdates(t, v, configpush.Item{Key: "config", Version: 2, Data: []byte(fallbackConfig)}, configpush.Item{Key: "zone/z1", Version: 1, Data: []byte(`{"evacuated":true}`)})
	if status, body := sendPrompt(t, v, "/chat").readResponse(t); status != 404 || !strings.Contains(body, `"code":203`) {
		t.Errorf("the mapping is removed: %d %s", status, body)
	}
	if status, body := sendPrompt(t, v, "/plain").readResponse(t); status != 503 || !strings.Contains(body, `"code":303`) {
		t.Errorf("the zone is evacuated: %d %s", status, body)
	}
	v.drainWindow.Store(newDrainWindow(v.Tasks.Now(), time.Minute)) // as SIGTERM does
	if status, body := sendPrompt(t, v, "/plain").readResponse(t); status != 503 || !strings.Contains(body, `"code":305`) {
		t.Errorf("draining: %d %s", status, body)
	}
	h.writeChunk(pieceLine(1))
	h.writeChunk(sealLine(h.id, 2))
	fmt.Fprint(h, "0\r\n\r\n")
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			t.Fatalf("the stream was aborted: %v", err)
		}
		if line == "0\r\n" {
			break
		}
	}
}

// An older configuration never replaces a newer one.
func TestOlderConfigIsIgnored(t *testing.T) {
	t.Parallel()
	a, _ := startNativeWorker(t)
	v := newTestRouter(t, a)
	applyUpdates(t, v, configpush.Item{Key: "config", Version: 3, Data: []byte(fallbackConfig)})
	applyUpdates(t, v, configpush.Item{Key: "config", Version: 2, Data: []byte(testConfig)})
	if n := v.activeConfig.Load().updateVersion; n != 3 {
		t.Errorf("version %d in force", n)
	}
}

// Worker lists and capacity or claim messages that can't be decoded change nothing and are counted.
func TestBadMessagesAreCounted(t *testing.T) {
	t.Parallel()
	a, _ := startNativeWorker(t)
	v := newTestRouter(t, a)
	applyUpdates(t, v, configpush.Item{Key: "workers/main/ff", Version: 9, Data: []byte(`{"workers":[{"id":""}]}`)})
	for _, k := range []message.Kind{capacity.Acquire, capacity.Report, capacity.Grant, idempotency.Claim, idempotency.CopyReply} {
		v.MessageHandlers[k&^15](v.Tasks.Now(), message.Message{From: 77, Kind: k, Body: []byte{1}})
	}
	v.coordinatorMu.Lock()
	coordinated := v.coordinator.Status(v.Tasks.Now())
	v.coordinatorMu.Unlock()
	if len(coordinated) != 1 || coordinated[0].InUse != 0 {
		t.Errorf("coordinated workers: %+v", coordinated)
	}
	if _, b, err := fasthttp.Get(nil, "http://"+v.Settings.HTTPAddr+"/metrics"); err != nil || !strings.Contains(string(b), "seamshunt_bad_notes_total 6\n") {
		t.Errorf("%v %s", err, b)
	}
}
