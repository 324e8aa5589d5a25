package controller

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
)

// testAdapter returns an adapter whose configurations are {"v": VERSION, "x": TEXT}. A change has the same form; its text is
// appended to the old one.
func testAdapter() *adapter.Adapter {
	read := func(data []byte) (uint64, string, []*resultcode.Fault) {
		doc, err := fastjson.ParseBytes(data)
		if err != nil || doc.GetUint64("v") == 0 {
			return 0, "", []*resultcode.Fault{{Code: resultcode.InvalidConfig, Text: "no version"}}
		}
		return doc.GetUint64("v"), string(doc.GetStringBytes("x")), nil
	}
	return &adapter.Adapter{
		Config: func(data []byte) (*config.Config, []*resultcode.Fault) {
			version, _, faults := read(data)
			if len(faults) > 0 {
				return nil, faults
			}
			return &config.Config{Version: version, Services: map[string]*config.Service{"s": {Name: "s", WarmUp: 3 * time.Second}}}, nil
		},
		Change: func(old, change []byte) ([]byte, []*resultcode.Fault) {
			_, oldText, _ := read(old)
			version, text, faults := read(change)
			return fmt.Appendf(nil, `{"v":%d,"x":%q}`, version, oldText+text), faults
		},
		Control: func(adapter.Control) fasthttp.RequestHandler {
			return func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("adapter's handler: " + string(ctx.Path())) }
		},
	}
}

// startSeededControllers starts n controllers that bootstrap from seeds and waits until all know the whole quorum set.
func startSeededControllers(t *testing.T, n int, siteAdapter *adapter.Adapter) []*Controller {
	t.Helper()
	var settingsList []*settings.Settings
	var seeds []string
	for i := range n {
		nodeSettings := &settings.Settings{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i), Addr: testutil.FreeAddr(t), HTTPAddr: testutil.FreeAddr(t), DataDir: t.TempDir(), Platform: testutil.FreeAddr(t),
			PollMs: 500, ReserveBytes: 64 << 10, GrowVoters: true, Bootstrap: true, MayVote: true, Zones: []string{"z0", "z9"}, MaxLostMachines: (n - 1) / 2}
		settingsList = append(settingsList, nodeSettings)
		if len(seeds) < 3 {
			seeds = append(seeds, nodeSettings.Addr)
		}
	}
	var controllers []*Controller
	for _, nodeSettings := range settingsList {
		nodeSettings.Seeds = seeds
		c, err := New(nodeSettings, siteAdapter)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Drain)
		controllers = append(controllers, c)
	}
	members := n - 1 + n%2 // the quorum set has the largest odd size; of an even number of controllers one is a standby
	testutil.WaitUntil(t, "all controllers know the whole quorum set", func() bool {
		inSet := 0
		for _, c := range controllers {
			quorum := c.quorumSet()
			if len(quorum.Members) != members || quorum.Joint() || quorum.Version != controllers[0].quorumSet().Version {
				return false
			}
			if quorum.Has(c.Self) {
				inSet++
			}
		}
		return inSet == members
	})
	return controllers
}

// retryUntilClear repeats a call while its outcome is unknown: the owner of the key may just have changed.
func retryUntilClear(t *testing.T, call func() (resultcode.Code, []*resultcode.Fault)) resultcode.Code {
	t.Helper()
	var code resultcode.Code
	testutil.WaitUntil(t, "a clear outcome", func() bool {
		code, _ = call()
		return code != resultcode.CommitUnknown && code != resultcode.NoMajority
	})
	return code
}

// readUntilClear repeats a read while it fails, as operators do after a 5xx.
func readUntilClear(t *testing.T, c adapter.Control) (data []byte, version uint64, code resultcode.Code) {
	t.Helper()
	code = retryUntilClear(t, func() (code resultcode.Code, _ []*resultcode.Fault) { data, version, code = c.Read(); return code, nil })
	return data, version, code
}

// TestControl makes an adapter's calls at any of four nodes: versions rise, an applied change is recognized at every node
// when it is sent again, and a refused change never comes into force.
func TestControl(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 4, testAdapter())
	at := func(i int) adapter.Control { return controllers[i%4].Control() }
	if _, _, code := readUntilClear(t, at(0)); code != resultcode.NotFound {
		t.Errorf("read before anything was set: %d", code)
	}
	doc := func(v int, x string) []byte { return fmt.Appendf(nil, `{"v":%d,"x":%q}`, v, x) }
	for i, x := range []struct {
		base   uint64
		data   []byte
		change bool
		want   resultcode.Code
	}{
		{0, []byte(`{`), false, resultcode.InvalidConfig},
		{0, doc(5, "a"), false, resultcode.OK},
		{0, doc(5, "a"), false, resultcode.OK},
		{5, doc(5, "a"), false, resultcode.OK},
		{0, doc(6, "b"), false, resultcode.VersionConflict},
		{5, doc(5, "b"), false, resultcode.InvalidConfig},
		{5, doc(3, "b"), false, resultcode.InvalidConfig},
		{9, doc(12, "b"), false, resultcode.VersionConflict},
		{5, doc(8, "b"), false, resultcode.OK},
		{5, doc(8, "b"), false, resultcode.OK},
		{0, doc(5, "a"), false, resultcode.OK}, // applied before, and still recognized
		{5, doc(9, "c"), true, resultcode.VersionConflict},
		{8, doc(8, "c"), true, resultcode.InvalidConfig},
		{8, []byte(`{}`), true, resultcode.InvalidConfig},
		{8, doc(11, "c"), true, resultcode.OK},
		{8, doc(11, "c"), true, resultcode.OK},
		{11, doc(14, "d"), true, resultcode.OK},
		{8, doc(11, "c"), true, resultcode.OK},
	} {
		for k := range 2 {
			do := at(i + k).Put
			if x.change {
				do = at(i + k).Change
			}
			if code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) { return do(x.base, x.data) }); code != x.want {
				t.Errorf("call %d at node %d, on %d %s: %d, want %d", i, (i+k)%4, x.base, x.data, code, x.want)
			}
		}
	}
	for i := range 4 {
		if data, v, code := readUntilClear(t, at(i)); code != resultcode.OK || v != 14 || string(data) != `{"v":14,"x":"bcd"}` {
			t.Errorf("read at %d: %d %d %s", i, code, v, data)
		}
	}
	// After a hundred further changes an applied change is still recognized, and one that lost its race is still refused.
	for v := 15; v < 115; v++ {
		if code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) { return at(v).Change(uint64(v-1), doc(v, "")) }); code != resultcode.OK {
			t.Fatalf("change to %d: %d", v, code)
		}
	}
	for i, x := range []struct {
		base uint64
		data []byte
		want resultcode.Code
	}{{0, doc(5, "a"), resultcode.OK}, {5, doc(8, "b"), resultcode.OK}, {0, doc(6, "b"), resultcode.VersionConflict}, {5, doc(8, "c"), resultcode.VersionConflict}} {
		for k := range 4 {
			if code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) { return at(k).Put(x.base, x.data) }); code != x.want {
				t.Errorf("old change %d, at node %d: %d, want %d", i, k, code, x.want)
			}
		}
	}
	for _, p := range []struct{ path, want string }{{"/config", "adapter's handler: /config"}, {"/healthz", "up\n"}, {"/v1/zones/z0", ""}} {
		if _, b := sendRequest(t, controllers[0], "GET", p.path, ""); p.want != "" && string(b) != p.want || p.want == "" && !bytes.Contains(b, []byte(`"code":208`)) {
			t.Errorf("%s: %s", p.path, b)
		}
	}
}

// TestControlRaces has three operators change one version at three nodes at once: exactly one succeeds, and its bytes are
// read back.
func TestControlRaces(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, testAdapter())
	last := uint64(0)
	for round := range 25 {
		var wg sync.WaitGroup
		outcomes, data := make([]resultcode.Code, 3), make([][]byte, 3)
		for i := range 3 {
			data[i] = fmt.Appendf(nil, `{"v":%d,"x":"%d"}`, last+1+uint64(i), i)
			wg.Go(func() {
				outcomes[i] = retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
					return controllers[(i+round)%3].Control().Put(last, data[i])
				})
			})
		}
		wg.Wait()
		winner := -1
		for i, c := range outcomes {
			if c == resultcode.OK && winner < 0 {
				winner = i
			} else if c != resultcode.VersionConflict {
				t.Fatalf("round %d: %v", round, outcomes)
			}
		}
		if winner < 0 {
			t.Fatalf("round %d: no change succeeded: %v", round, outcomes)
		}
		got, v, code := readUntilClear(t, controllers[round%3].Control())
		if code != resultcode.OK || !bytes.Equal(got, data[winner]) {
			t.Fatalf("round %d: %d won, read back %d %s", round, winner, code, got)
		}
		last = v
	}
}

// TestControlZones evacuates and readmits a zone at any node, also repeatedly. An unknown zone is refused.
func TestControlZones(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, testAdapter())
	for i, evacuated := range []bool{true, true, false, false, true, false} {
		code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
			return controllers[i%3].Control().EvacuateZone(nil, "z9", evacuated), nil
		})
		if _, b := sendRequest(t, controllers[(i+1)%3], "GET", "/v1/zones/z9", ""); code != resultcode.OK || string(b) != fmt.Sprintf(`{"evacuated":%v}`, evacuated) {
			t.Errorf("set to %v: %d, read back %s", evacuated, code, b)
		}
	}
	if code := controllers[0].Control().EvacuateZone(nil, "z1", true); code != resultcode.UnknownZone {
		t.Errorf("a zone that the settings don't list: %d", code)
	}
}
