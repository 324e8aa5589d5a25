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

// newPartitioned returns one of three voters. It never gets an answer from the other two and believes that one of them
// owns every key. It knows a configuration with stored version 3 and document version 5. Its connections aren't opened.
func newPartitioned(t *testing.T) *Controller {
	t.Helper()
	c, err := New(&settings.Settings{Name: "c", Zone: "z0", Addr: "nowhere:1", DataDir: t.TempDir(), ReserveBytes: 64 << 10, GrowVoters: true, MayVote: true}, testAdapter())
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
	c.replica.Tick(c.Tasks.Now()) // starts the probes of the other voters
	c.Feed.Apply(configpush.Item{Key: keyConfig, Version: 3, Data: []byte(`{"v":5,"x":"a"}`)})
	return c
}

type controlCall struct {
	name string
	do   func(adapter.Control) resultcode.Code
}

// partitionedCalls returns calls of every kind that build on the known version, on older and on newer ones.
func partitionedCalls() (l []controlCall) {
	for _, base := range []uint64{0, 3, 5, 9} {
		doc := fmt.Appendf(nil, `{"v":%d,"x":"b"}`, base+2)
		l = append(l,
			controlCall{fmt.Sprint("PUT on ", base), func(c adapter.Control) resultcode.Code { code, _ := c.Put(base, doc); return code }},
			controlCall{fmt.Sprint("PATCH on ", base), func(c adapter.Control) resultcode.Code { code, _ := c.Change(base, doc); return code }})
	}
	return append(l, controlCall{"PUT of the known configuration", func(c adapter.Control) resultcode.Code { code, _ := c.Put(5, []byte(`{"v":5,"x":"a"}`)); return code }},
		controlCall{"GET", func(c adapter.Control) resultcode.Code { _, _, code := c.Read(); return code }},
		controlCall{"evacuation", func(c adapter.Control) resultcode.Code { return c.EvacuateZone(nil, "z0", true) }},
		controlCall{"withdrawal", func(c adapter.Control) resultcode.Code { return c.EvacuateZone(nil, "z0", false) }})
}

// TestPartitionedControllerAnswersInTime checks that every call on a partitioned controller gets a 5xx within
// AnswerTimeout of virtual time, however many requests the call would make, and at once when the controller knows that no
// majority answers. No call is confirmed or refused.
func TestPartitionedControllerAnswersInTime(t *testing.T) {
	unknown := controlCall{"evacuation of a zone without known members", func(c adapter.Control) resultcode.Code { return c.EvacuateZone(nil, "z7", true) }}
	for _, call := range append(partitionedCalls(), unknown) {
		t.Run(call.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPartitioned(t)
				for i := range 5 {
					startedAt := time.Now()
					code := call.do(c.Control())
					took := time.Since(startedAt)
					if code != resultcode.CommitUnknown && code != resultcode.NoMajority {
						t.Errorf("call %d: %d", i, code)
					}
					if limit := register.AnswerTimeout; took > limit || i > 2 && took > 0 {
						t.Errorf("call %d was answered after %v", i, took)
					}
				}
			})
		})
	}
}

// TestPartitionedOwnerConfirmsNothing checks the same for the owner of the keys, over real connections, after both other
// controllers have stopped. When they are back, changes succeed again.
func TestPartitionedOwnerConfirmsNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, testAdapter())
	if code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
		return controllers[0].Control().Put(0, []byte(`{"v":5,"x":"a"}`))
	}); code != resultcode.OK {
		t.Fatalf("the first write: %d", code)
	}
	testutil.WaitUntil(t, "the controller knows the first write", func() bool { version, _ := controllers[0].knownValue(keyConfig); return version == 1 })
	others := controllers[1:]
	for _, c := range others {
		c.Drain()
	}
	answers := 0
	for range 4 {
		for _, call := range partitionedCalls() {
			if code := call.do(controllers[0].Control()); code != resultcode.CommitUnknown && code != resultcode.NoMajority {
				t.Errorf("%s: %d", call.name, code)
			}
			answers++
		}
		for _, x := range []struct{ method, path, body string }{
			{"GET", "/v1/config", ""}, {"PUT", "/v1/config?number=0", `{"v":9}`}, {"PUT", "/v1/config?number=1", `{"v":9}`},
			{"POST", "/v1/plan", `{"v":9}`}, {"GET", "/v1/zones/z0", ""}, {"PUT", "/v1/zones/z0?number=0", `{"evacuated":true}`},
			{"POST", "/v1/confirm", `{"plan":"` + others[0].Self.String() + `-1"}`},
		} {
			if status, b := sendRequest(t, controllers[0], x.method, x.path, x.body); status < 500 {
				t.Errorf("%s %s: %d %s", x.method, x.path, status, b)
			}
			answers++
		}
	}
	t.Logf("%d answers", answers)
	for _, c := range others {
		restarted, err := New(c.Settings, testAdapter())
		if err == nil {
			err = restarted.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(restarted.Drain)
		controllers = append(controllers, restarted)
	}
	// A change with an unknown outcome may have come into force since. No other document may.
	_, version, code := readUntilClear(t, controllers[0].Control())
	if code != resultcode.OK || version != 5 && version != 7 {
		t.Errorf("after the restart: %d, version %d", code, version)
	}
	next := fmt.Appendf(nil, `{"v":%d}`, version+1)
	if code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) { return controllers[4].Control().Put(version, next) }); code != resultcode.OK {
		t.Errorf("a change after the restart: %d", code)
	}
}
