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

const stepConfig = `{"services":[{"name":"big","pool":"main","cap":1,"warm_ms":0,"first_ms":20,"waitlist":1},{"name":"small","pool":"side","cap":1,"warm_ms":0,"first_ms":20,"waitlist":1}],
"promises":[{"name":"p","first_ms":100,"deadline_ms":3000,"smaller":true}],
"layout":"mapping stepped { when path = \"/stepped\" to big, small step small promise p repeat }\nmapping plain { when path = \"/plain\" to big promise p repeat }"}`

var markers atomic.Uint64

// take gives the router a change, and waits until it has been looked at: news is applied in its order, so a marker
// behind it shows that.
func take(t *testing.T, v *Router, its ...configpush.Item) {
	t.Helper()
	v.FeedMu.Lock()
	for _, it := range its {
		v.Feed.Apply(it)
	}
	v.FeedMu.Unlock()
	marker := fmt.Sprintf("marker%d", markers.Add(1))
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "zone/" + marker, Version: 1, Data: []byte(`{"evacuated":true}`)})
	v.FeedMu.Unlock()
	testutil.Until(t, "the news is looked at", func() bool {
		v.tableMu.Lock()
		defer v.tableMu.Unlock()
		return v.table.evacuated[marker]
	})
}

// A step down leads only to the service that the mapping allows, and only once the first is full; a mapping that
// names none is refused honestly.
func TestStepDown(t *testing.T) {
	t.Parallel()
	a, big := scripted(t)
	b, small := scripted(t)
	v := rig(t, a)
	take(t, v, configpush.Item{Key: "config", Version: 2, Data: []byte(stepConfig)},
		configpush.Item{Key: "workers/side", Version: 1, Data: config.MarshalWorkers([]config.Worker{{ID: "s1", Addr: b, Zone: "z1", Age: 1 << 40}})})
	testutil.Until(t, "both workers are kept", func() bool {
		v.ledgerMu.Lock()
		defer v.ledgerMu.Unlock()
		k := v.ledger.Status(v.Tasks.Now())
		return len(k) == 2 && k[0].Open && k[1].Open
	})
	ask(t, v, "/stepped")
	first := <-big
	defer first.Close()
	waits := ask(t, v, "/stepped") // waits for big: its list has room
	defer waits.Close()
	testutil.Until(t, "one waits", func() bool {
		v.ledgerMu.Lock()
		defer v.ledgerMu.Unlock()
		return v.ledger.Status(v.Tasks.Now())[0].Waiting == 1
	})
	if status, body := ask(t, v, "/plain").reply(t); status != 503 || !strings.Contains(body, `"code":301`) || !strings.Contains(body, `"not_run":true`) {
		t.Errorf("no step named: %d %s", status, body)
	}
	c := ask(t, v, "/stepped")
	h := <-small
	h.whole(2)
	if status, body := c.reply(t); status != 200 || !strings.Contains(body, `"seal"`) {
		t.Errorf("stepped: %d %s", status, body)
	}
	if len(big)+len(small) > 0 {
		t.Error("something more was handed over")
	}
}

// A change of the configuration, even one that takes the mapping away, leaves a stream under way as it began.
func TestChangeCutsNoStream(t *testing.T) {
	t.Parallel()
	a, hands := scripted(t)
	v := rig(t, a)
	c := ask(t, v, "/chat")
	h := <-hands
	h.head()
	h.chunk(piece(0))
	if _, err := c.r.ReadString('}'); err != nil {
		t.Fatal(err)
	}
	take(t, v, configpush.Item{Key: "config", Version: 2, Data: []byte(stepConfig)}, configpush.Item{Key: "zone/z1", Version: 1, Data: []byte(`{"evacuated":true}`)})
	if status, body := ask(t, v, "/chat").reply(t); status != 404 || !strings.Contains(body, `"code":203`) {
		t.Errorf("the mapping is gone: %d %s", status, body)
	}
	if status, body := ask(t, v, "/plain").reply(t); status != 503 || !strings.Contains(body, `"code":303`) {
		t.Errorf("the zone is evacuated: %d %s", status, body)
	}
	v.departure.Store(newDeparture(v.Tasks.Now(), time.Minute)) // as a warning would
	if status, body := ask(t, v, "/plain").reply(t); status != 503 || !strings.Contains(body, `"code":305`) {
		t.Errorf("leaving: %d %s", status, body)
	}
	h.chunk(piece(1))
	h.chunk(seal(h.id, 2))
	fmt.Fprint(h, "0\r\n\r\n")
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			t.Fatalf("the stream was cut: %v", err)
		}
		if line == "0\r\n" {
			break
		}
	}
}

// An older configuration is never taken again.
func TestNewsNeverGoesBack(t *testing.T) {
	t.Parallel()
	a, _ := scripted(t)
	v := rig(t, a)
	take(t, v, configpush.Item{Key: "config", Version: 3, Data: []byte(stepConfig)})
	take(t, v, configpush.Item{Key: "config", Version: 2, Data: []byte(rigConfig)})
	if n := v.rules.Load().num; n != 3 {
		t.Errorf("number %d in force", n)
	}
}

// A worker list that can't be read, and a note of permits or claims that can't, change nothing and are counted.
func TestBadNotesAreCounted(t *testing.T) {
	t.Parallel()
	a, _ := scripted(t)
	v := rig(t, a)
	take(t, v, configpush.Item{Key: "workers/main/ff", Version: 9, Data: []byte(`{"workers":[{"id":""}]}`)})
	for _, k := range []message.Kind{capacity.Acquire, capacity.Report, capacity.Grant, idempotency.Claim, idempotency.CopyReply} {
		v.MessageHandlers[k&^15](v.Tasks.Now(), message.Message{From: 77, Kind: k, Body: []byte{1}})
	}
	v.ledgerMu.Lock()
	kept := v.ledger.Status(v.Tasks.Now())
	v.ledgerMu.Unlock()
	if len(kept) != 1 || kept[0].InUse != 0 {
		t.Errorf("kept %+v", kept)
	}
	if _, b, err := fasthttp.Get(nil, "http://"+v.Settings.HTTPAddr+"/metrics"); err != nil || !strings.Contains(string(b), "seamshunt_bad_notes_total 6\n") {
		t.Errorf("%v %s", err, b)
	}
}
