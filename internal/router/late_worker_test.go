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

// A worker that takes a prompt and says nothing is left for another once first words are later than the service's
// habit allows, if the prompt may repeat and the budget has a try; what may not repeat is never handed over again.
func TestDarkWorker(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/chat", "/notice"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			a, ha := scripted(t)
			b, hb := scripted(t)
			v := rig(t, a, b)
			for range 40 {
				v.habitOf("advice").Add(10 * time.Millisecond)
				v.budgetOf("advice").RecordFirstAttempt(v.Tasks.Now())
			}
			c := ask(t, v, path)
			other := hb
			select {
			case <-ha:
			case <-hb:
				other = ha
			}
			if path == "/chat" {
				h := <-other
				h.whole(2)
				if status, body := c.reply(t); status != 200 || !strings.Contains(body, `"seal"`) {
					t.Errorf("%d %s", status, body)
				}
			} else if status, body := c.reply(t); status != 502 || !strings.Contains(body, `"code":401`) || len(ha)+len(hb) > 0 {
				t.Errorf("%d %s, handed over %d times more", status, body, len(ha)+len(hb))
			}
			v.tableMu.Lock()
			down := len(v.table.down)
			v.tableMu.Unlock()
			if down != 1 {
				t.Errorf("%d workers are passed over", down)
			}
		})
	}
}

// With no try left in the budget, or no habit known, a late worker is waited for: it may still answer.
func TestLateWorkerIsWaitedFor(t *testing.T) {
	t.Parallel()
	a, ha := scripted(t)
	b, hb := scripted(t)
	v := rig(t, a, b)
	for range 40 {
		v.habitOf("advice").Add(10 * time.Millisecond) // and nothing in the budget
	}
	c := ask(t, v, "/chat")
	var h hand
	select {
	case h = <-ha:
	case h = <-hb:
	}
	testutil.Until(t, "it is late", func() bool {
		v.tableMu.Lock()
		defer v.tableMu.Unlock()
		return len(v.table.down) == 1
	})
	h.whole(2)
	if status, body := c.reply(t); status != 200 || !strings.Contains(body, `"seal"`) || len(ha)+len(hb) > 0 {
		t.Errorf("%d %s", status, body)
	}
	testutil.Until(t, "it is well again", func() bool {
		v.tableMu.Lock()
		defer v.tableMu.Unlock()
		return len(v.table.down) == 0
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
		t.Errorf("the promise's tally: %v %+v", err, x)
	}
}

// A router that has lost sight of everybody else says so to the platform; one that never knew anybody is no such case.
func TestAloneIsUnready(t *testing.T) {
	t.Parallel()
	a, _ := scripted(t)
	v := rig(t, a)
	ready := func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+v.Settings.HTTPAddr+"/healthz")
		return err == nil && code == 200
	}
	if !ready() {
		t.Fatal("a fleet of one is ready")
	}
	other := membership.New(membership.Member{Node: 9, Incarnation: 1, Role: membership.Controller, Addr: testutil.Addr(t), Zone: "z2"}, []string{v.Settings.Addr}, rand.New(rand.NewPCG(1, 1)))
	v.GossipMu.Lock()
	for _, n := range other.Tick(0).Messages {
		n.From = 9
		v.Gossip.Step(v.Tasks.Now(), n)
	}
	v.GossipMu.Unlock()
	if !ready() {
		t.Error("it sees another")
	}
	testutil.Until(t, "it is alone", func() bool { return !ready() })
}
