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

// toyBook is an outside world whose configurations are {"v": VERSION, "x": TEXT}; a change gives a version and a text to
// put behind the old one.
func toyBook() *adapter.Adapter {
	read := func(data []byte) (uint64, string, []*resultcode.Fault) {
		v, err := fastjson.ParseBytes(data)
		if err != nil || v.GetUint64("v") == 0 {
			return 0, "", []*resultcode.Fault{{Code: resultcode.InvalidConfig, Text: "no version"}}
		}
		return v.GetUint64("v"), string(v.GetStringBytes("x")), nil
	}
	return &adapter.Adapter{
		Config: func(data []byte) (*config.Config, []*resultcode.Fault) {
			v, _, fs := read(data)
			if len(fs) > 0 {
				return nil, fs
			}
			return &config.Config{Version: v, Services: map[string]*config.Service{"s": {Name: "s", WarmUp: 3 * time.Second}}}, nil
		},
		Change: func(old, change []byte) ([]byte, []*resultcode.Fault) {
			_, was, _ := read(old)
			v, x, fs := read(change)
			return fmt.Appendf(nil, `{"v":%d,"x":%q}`, v, was+x), fs
		},
		Control: func(adapter.Control) fasthttp.RequestHandler {
			return func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("the door's " + string(ctx.Path())) }
		},
	}
}

// grownCore starts n controllers that are founded from seeds.
func grownCore(t *testing.T, n int, book *adapter.Adapter) []*Controller {
	t.Helper()
	var bs []*settings.Settings
	var seeds []string
	for i := range n {
		b := &settings.Settings{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i), Addr: testutil.Addr(t), HTTPAddr: testutil.Addr(t), DataDir: t.TempDir(), Platform: testutil.Addr(t),
			PollMs: 500, ReserveBytes: 64 << 10, GrowVoters: true, Bootstrap: true, MayVote: true, Zones: []string{"z0", "z9"}, MaxLostMachines: (n - 1) / 2}
		bs = append(bs, b)
		if len(seeds) < 3 {
			seeds = append(seeds, b.Addr)
		}
	}
	var cs []*Controller
	for _, b := range bs {
		b.Seeds = seeds
		c, err := New(b, book)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Drain)
		cs = append(cs, c)
	}
	members := n - 1 + n%2 // the largest odd number: one of an even number stands by
	testutil.Until(t, "all know a whole set", func() bool {
		inSet := 0
		for _, c := range cs {
			v := c.voters()
			if len(v.Members) != members || v.Joint() || v.Version != cs[0].voters().Version {
				return false
			}
			if v.Has(c.Self) {
				inSet++
			}
		}
		return inSet == members
	})
	return cs
}

// until a call gets through: the owner may just have moved.
func sure(t *testing.T, f func() (resultcode.Code, []*resultcode.Fault)) resultcode.Code {
	t.Helper()
	var code resultcode.Code
	testutil.Until(t, "a clear answer", func() bool {
		code, _ = f()
		return code != resultcode.CommitUnknown && code != resultcode.NoMajority
	})
	return code
}

// sureRead reads until a call gets through, as operators do after a 5xx.
func sureRead(t *testing.T, c adapter.Control) (data []byte, version uint64, code resultcode.Code) {
	t.Helper()
	code = sure(t, func() (code resultcode.Code, _ []*resultcode.Fault) { data, version, code = c.Read(); return code, nil })
	return data, version, code
}

// An adapter's calls, at any of four nodes: versions rise, what was taken is known wherever it comes again, and what is
// refused never comes into force.
func TestControl(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 4, toyBook())
	at := func(i int) adapter.Control { return cs[i%4].Control() }
	if _, _, code := sureRead(t, at(0)); code != resultcode.NotFound {
		t.Errorf("read before anything was set: %d", code)
	}
	doc := func(v int, x string) []byte { return fmt.Appendf(nil, `{"v":%d,"x":%q}`, v, x) }
	for i, x := range []struct {
		builds uint64
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
		{0, doc(5, "a"), false, resultcode.OK}, // taken once, and known still
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
			if code := sure(t, func() (resultcode.Code, []*resultcode.Fault) { return do(x.builds, x.data) }); code != x.want {
				t.Errorf("call %d at node %d, on %d %s: %d, want %d", i, (i+k)%4, x.builds, x.data, code, x.want)
			}
		}
	}
	for i := range 4 {
		if data, v, code := sureRead(t, at(i)); code != resultcode.OK || v != 14 || string(data) != `{"v":14,"x":"bcd"}` {
			t.Errorf("read at %d: %d %d %s", i, code, v, data)
		}
	}
	// What was taken is known still a hundred changes later, and what lost its race is refused still.
	for v := 15; v < 115; v++ {
		if code := sure(t, func() (resultcode.Code, []*resultcode.Fault) { return at(v).Change(uint64(v-1), doc(v, "")) }); code != resultcode.OK {
			t.Fatalf("change to %d: %d", v, code)
		}
	}
	for i, x := range []struct {
		builds uint64
		data   []byte
		want   resultcode.Code
	}{{0, doc(5, "a"), resultcode.OK}, {5, doc(8, "b"), resultcode.OK}, {0, doc(6, "b"), resultcode.VersionConflict}, {5, doc(8, "c"), resultcode.VersionConflict}} {
		for k := range 4 {
			if code := sure(t, func() (resultcode.Code, []*resultcode.Fault) { return at(k).Put(x.builds, x.data) }); code != x.want {
				t.Errorf("long ago %d, at node %d: %d, want %d", i, k, code, x.want)
			}
		}
	}
	for _, p := range []struct{ path, want string }{{"/config", "the door's /config"}, {"/healthz", "up\n"}, {"/v1/zones/z0", ""}} {
		if _, b := call(t, cs[0], "GET", p.path, ""); p.want != "" && string(b) != p.want || p.want == "" && !bytes.Contains(b, []byte(`"code":208`)) {
			t.Errorf("%s: %s", p.path, b)
		}
	}
}

// Two operators on one version, at two nodes at once: exactly one is told that it won, and its bytes are read back.
func TestControlRaces(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, toyBook())
	last := uint64(0)
	for round := range 25 {
		var wg sync.WaitGroup
		outcomes, data := make([]resultcode.Code, 3), make([][]byte, 3)
		for i := range 3 {
			data[i] = fmt.Appendf(nil, `{"v":%d,"x":"%d"}`, last+1+uint64(i), i)
			wg.Go(func() {
				outcomes[i] = sure(t, func() (resultcode.Code, []*resultcode.Fault) { return cs[(i+round)%3].Control().Put(last, data[i]) })
			})
		}
		wg.Wait()
		won := -1
		for i, c := range outcomes {
			if c == resultcode.OK && won < 0 {
				won = i
			} else if c != resultcode.VersionConflict {
				t.Fatalf("round %d: %v", round, outcomes)
			}
		}
		if won < 0 {
			t.Fatalf("round %d: nobody won: %v", round, outcomes)
		}
		got, v, code := sureRead(t, cs[round%3].Control())
		if code != resultcode.OK || !bytes.Equal(got, data[won]) {
			t.Fatalf("round %d: %d won, read back %d %s", round, won, code, got)
		}
		last = v
	}
}

// A zone is set and taken back at any node, as often as it is asked; one that there is not is refused.
func TestControlZones(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, toyBook())
	for i, out := range []bool{true, true, false, false, true, false} {
		code := sure(t, func() (resultcode.Code, []*resultcode.Fault) {
			return cs[i%3].Control().EvacuateZone(nil, "z9", out), nil
		})
		if _, b := call(t, cs[(i+1)%3], "GET", "/v1/zones/z9", ""); code != resultcode.OK || string(b) != fmt.Sprintf(`{"evacuated":%v}`, out) {
			t.Errorf("set to %v: %d, read back %s", out, code, b)
		}
	}
	if code := cs[0].Control().EvacuateZone(nil, "z1", true); code != resultcode.UnknownZone {
		t.Errorf("a zone that the boot file doesn't name: %d", code)
	}
}
