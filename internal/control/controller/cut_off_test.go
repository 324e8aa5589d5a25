package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

// cutOff gives a controller, one of three voters, that never gets an answer from the others and believes one of them to be
// the owner of every key. It has heard of a configuration of version 5 at number 3. Its wires are not opened.
func cutOff(t *testing.T) *Controller {
	t.Helper()
	c, err := New(&settings.Settings{Name: "c", Zone: "z0", Addr: "nowhere:1", DataDir: t.TempDir(), ReserveBytes: 64 << 10, GrowVoters: true, MayVote: true}, toyBook())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Tasks.Stop(time.Second)
		c.disk.file.Close()
	})
	c.Transport = &transport.Transport{Self: c.Self}
	set := register.QuorumSet{Version: 1, Members: []units.NodeID{c.Self, 2, 3}}
	if err := c.replica.Load([]message.Record{{Kind: register.RecordQuorum, Data: set.Pack()}}); err != nil {
		t.Fatal(err)
	}
	c.replica.SetEligible([]units.NodeID{2})
	c.replica.Tick(c.Tasks.Now()) // it begins to ask the others whether they answer
	c.Feed.Apply(configpush.Item{Key: keyConfig, Version: 3, Data: []byte(`{"v":5,"x":"a"}`)})
	return c
}

type controlCall struct {
	name string
	do   func(adapter.Control) resultcode.Code
}

// cutOffCalls are calls of every kind, on what the controller has heard of, on older and on newer versions.
func cutOffCalls() (l []controlCall) {
	for _, builds := range []uint64{0, 3, 5, 9} {
		doc := fmt.Appendf(nil, `{"v":%d,"x":"b"}`, builds+2)
		l = append(l,
			controlCall{fmt.Sprint("PUT on ", builds), func(c adapter.Control) resultcode.Code { code, _ := c.Put(builds, doc); return code }},
			controlCall{fmt.Sprint("PATCH on ", builds), func(c adapter.Control) resultcode.Code { code, _ := c.Change(builds, doc); return code }})
	}
	return append(l, controlCall{"PUT of what it has heard of", func(c adapter.Control) resultcode.Code { code, _ := c.Put(5, []byte(`{"v":5,"x":"a"}`)); return code }},
		controlCall{"GET", func(c adapter.Control) resultcode.Code { _, _, code := c.Read(); return code }},
		controlCall{"evacuation", func(c adapter.Control) resultcode.Code { return c.EvacuateZone(nil, "z0", true) }},
		controlCall{"withdrawal", func(c adapter.Control) resultcode.Code { return c.EvacuateZone(nil, "z0", false) }})
}

// Every call on a controller that is cut off gets a 5xx within AnswerTimeout of virtual time, however many requests the call
// would make; once the controller knows that no majority answers, at once. Nothing is confirmed and nothing refused.
func TestCutOffControllerAnswersInTime(t *testing.T) {
	unknown := controlCall{"evacuation of a zone whose members it has not heard of", func(c adapter.Control) resultcode.Code { return c.EvacuateZone(nil, "z7", true) }}
	for _, call := range append(cutOffCalls(), unknown) {
		t.Run(call.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := cutOff(t)
				for i := range 5 {
					began := time.Now()
					code := call.do(c.Control())
					took := time.Since(began)
					if code != resultcode.CommitUnknown && code != resultcode.NoMajority {
						t.Errorf("call %d: %d", i, code)
					}
					if most := register.AnswerTimeout; took > most || i > 2 && took > 0 {
						t.Errorf("call %d was answered after %v", i, took)
					}
				}
			})
		})
	}
}

// The same at a controller that owns the keys, over real wires, after both others have ended; and when they are back it is
// itself again.
func TestCutOffOwnerConfirmsNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, toyBook())
	if code := sure(t, func() (resultcode.Code, []*resultcode.Fault) {
		return cs[0].Control().Put(0, []byte(`{"v":5,"x":"a"}`))
	}); code != resultcode.OK {
		t.Fatalf("the first: %d", code)
	}
	testutil.Until(t, "all have heard of it", func() bool { num, _ := cs[0].heardOf(keyConfig); return num == 1 })
	others := cs[1:]
	for _, c := range others {
		c.Drain()
	}
	answers := 0
	for range 4 {
		for _, call := range cutOffCalls() {
			if code := call.do(cs[0].Control()); code != resultcode.CommitUnknown && code != resultcode.NoMajority {
				t.Errorf("%s: %d", call.name, code)
			}
			answers++
		}
		for _, x := range []struct{ method, path, body string }{
			{"GET", "/v1/config", ""}, {"PUT", "/v1/config?number=0", `{"v":9}`}, {"PUT", "/v1/config?number=1", `{"v":9}`},
			{"POST", "/v1/plan", `{"v":9}`}, {"GET", "/v1/zones/z0", ""}, {"PUT", "/v1/zones/z0?number=0", `{"evacuated":true}`},
			{"POST", "/v1/confirm", `{"plan":"` + others[0].Self.String() + `-1"}`},
		} {
			if status, b := call(t, cs[0], x.method, x.path, x.body); status < 500 {
				t.Errorf("%s %s: %d %s", x.method, x.path, status, b)
			}
			answers++
		}
	}
	t.Logf("%d answers", answers)
	for _, c := range others {
		back, err := New(c.Settings, toyBook())
		if err == nil {
			err = back.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(back.Drain)
		cs = append(cs, back)
	}
	// A change that was left open may have come into force since; no other document may.
	_, version, code := sureRead(t, cs[0].Control())
	if code != resultcode.OK || version != 5 && version != 7 {
		t.Errorf("back in touch: %d, version %d", code, version)
	}
	next := fmt.Appendf(nil, `{"v":%d}`, version+1)
	if code := sure(t, func() (resultcode.Code, []*resultcode.Fault) { return cs[4].Control().Put(version, next) }); code != resultcode.OK {
		t.Errorf("a change after the cut: %d", code)
	}
}
