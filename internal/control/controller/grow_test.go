package controller

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
)

// What a disk bears of the very first start: a process that comes back without being told of it, and with other seeds,
// still takes part; a disk that was blank later never does.
func TestDiskOfTheFirstStart(t *testing.T) {
	dir := t.TempDir()
	look := func(b *settings.Settings) (bool, []string) {
		o, err := openDisk(b)
		if err != nil {
			t.Fatal(err)
		}
		defer o.log.Close()
		f := founding(b, o.log.Records())
		return f.Participates, f.SeedAddrs
	}
	first := []string{"a", "b", "c"}
	if ok, l := look(&settings.Settings{DataDir: dir, GrowVoters: true, Bootstrap: true, MayVote: true, Seeds: first}); !ok || !slices.Equal(l, first) {
		t.Error(ok, l)
	}
	if ok, l := look(&settings.Settings{DataDir: dir, GrowVoters: true, MayVote: true, Seeds: []string{"x"}}); !ok || !slices.Equal(l, first) {
		t.Error(ok, l)
	}
	for name, b := range map[string]*settings.Settings{
		"a later blank disk":         {GrowVoters: true, MayVote: true, Seeds: first},
		"one that counts founders":   {Bootstrap: true, MayVote: true, Seeds: first},
		"a later one without a disk": {GrowVoters: true, Seeds: first},
	} {
		b.DataDir = t.TempDir()
		if ok, _ := look(b); ok {
			t.Errorf("%s takes part in a founding", name)
		}
	}
	if ok, _ := look(&settings.Settings{DataDir: t.TempDir(), GrowVoters: true, Bootstrap: true, Seeds: first}); !ok {
		t.Error("without a disk that counts, a process of the first start may still propose")
	}
}

// Real processes: one of three seeds is ended before the last comes up, and starts again as a later start would.
func TestFoundedAfterARestart(t *testing.T) {
	t.Parallel()
	var bs []*settings.Settings
	var seeds []string
	for i := range 3 {
		b := &settings.Settings{Name: fmt.Sprint("c", i), Zone: "z", Addr: testutil.Addr(t), HTTPAddr: testutil.Addr(t), DataDir: t.TempDir(), Platform: testutil.Addr(t), PollMs: 500, ReserveBytes: 64 << 10, GrowVoters: true, Bootstrap: true, MayVote: true}
		bs, seeds = append(bs, b), append(seeds, b.Addr)
	}
	start := func(b *settings.Settings) *Controller {
		c, err := New(b, nil)
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for _, b := range bs {
		b.Seeds = seeds
	}
	one, two := start(bs[0]), start(bs[1])
	t.Cleanup(two.Drain)
	testutil.Until(t, "it waits for the third", func() bool {
		_, b := call(t, one, "GET", "/status", "")
		return strings.Contains(string(b), "founding: 2 of 3 seeds seen")
	})
	id := one.Self
	one.Drain()
	bs[0].Bootstrap, bs[0].Seeds = false, []string{bs[1].Addr}
	one = start(bs[0])
	t.Cleanup(one.Drain)
	three := start(bs[2])
	t.Cleanup(three.Drain)
	testutil.Until(t, "all three vote", func() bool { v := three.voters(); return len(v.Members) == 3 && v.Has(id) })
}

// One list for all services, over a wire that is held: pages that fail or an empty list change nothing and are counted; a
// wire that the platform closed meanwhile costs no answer.
func TestWorkersOfABook(t *testing.T) {
	t.Parallel()
	var mode atomic.Value
	var wires atomic.Int32
	mode.Store("")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch m := mode.Load().(string); {
		case m == "429":
			w.WriteHeader(429)
		case m == "broken" && r.URL.Path == "/two":
			fmt.Fprint(w, "id-of-no-")
		case r.URL.Path == "/one":
			fmt.Fprint(w, m)
		default:
			fmt.Fprint(w, "end")
		}
	}), ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			wires.Add(1)
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	book := toyBook()
	// Two pages: the first holds lines "ID SERVICE COLD", the second must be "end".
	book.Workers = func(get func(string) (int, []byte, error)) (l []config.Worker, err error) {
		for _, p := range []string{"/one", "/two"} {
			code, b, err := get(p)
			if err != nil || code != 200 {
				return nil, fmt.Errorf("status %d, %v", code, err)
			}
			if p == "/two" && string(b) != "end" {
				return nil, errors.New("a broken page")
			}
			for _, s := range strings.Split(string(b), "\n") {
				var w config.Worker
				var ms int
				if k, _ := fmt.Sscan(s, &w.ID, &w.Service, &ms); k == 3 {
					w.Addr, w.WarmingUpFor = "a:"+w.ID, time.Duration(ms)*time.Millisecond
					l = append(l, w)
				}
			}
		}
		return l, nil
	}
	c := alone(t, t.TempDir(), func(c *Controller) {
		c.adapter, c.Settings.Platform, c.Settings.Pools, c.Settings.PollMs = book, ln.Addr().String(), []string{allPools}, 50
	})
	t.Cleanup(c.Drain)
	testutil.Until(t, "the first is taken", func() bool {
		code, _ := c.Control().Put(0, []byte(`{"v":1}`))
		return code == 100
	})
	mode.Store("w1 s 0\nw2 s 1000\nw3 r 0")
	testutil.Until(t, "three workers", func() bool { return len(c.listed(allPools)) == 3 })
	for _, w := range c.listed(allPools) {
		if want := map[string]time.Duration{"w1": longAgo, "w2": 2 * time.Second, "w3": longAgo}[w.ID]; w.Age != want {
			t.Errorf("%s is %v old, %v wanted: its service's workers are cold for 3 s", w.ID, w.Age, want)
		}
	}
	counts := func() (uint64, uint64) {
		c.polled.mu.Lock()
		defer c.polled.mu.Unlock()
		return c.polled.ok, c.polled.bad
	}
	for _, m := range []string{"429", "broken", ""} {
		_, bad := counts()
		mode.Store(m)
		testutil.Until(t, "it is counted: "+m, func() bool { _, b := counts(); return b > bad+1 })
		if n := len(c.listed(allPools)); n != 3 {
			t.Errorf("%q: %d workers left", m, n)
		}
	}
	mode.Store("w1 s 0\nw3 r 0")
	testutil.Until(t, "one is gone", func() bool { return len(c.listed(allPools)) == 2 })
	if n := wires.Load(); n > 2 {
		t.Errorf("%d wires were opened", n)
	}
}
