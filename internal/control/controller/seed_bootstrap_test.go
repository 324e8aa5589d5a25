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

// TestDiskOfTheFirstStartKeepsItsSeeds checks that a process that took part in the system's first start still takes part
// in the bootstrap after a restart without that setting and with other seeds. A disk that was initialized later never
// does.
func TestDiskOfTheFirstStartKeepsItsSeeds(t *testing.T) {
	dir := t.TempDir()
	seedsOf := func(nodeSettings *settings.Settings) (bool, []string) {
		opened, err := openDisk(nodeSettings)
		if err != nil {
			t.Fatal(err)
		}
		defer opened.log.Close()
		bootstrap := bootstrapSeeds(nodeSettings, opened.log.Records())
		return bootstrap.Participates, bootstrap.SeedAddrs
	}
	first := []string{"a", "b", "c"}
	if ok, l := seedsOf(&settings.Settings{DataDir: dir, GrowVoters: true, Bootstrap: true, MayVote: true, Seeds: first}); !ok || !slices.Equal(l, first) {
		t.Error(ok, l)
	}
	if ok, l := seedsOf(&settings.Settings{DataDir: dir, GrowVoters: true, MayVote: true, Seeds: []string{"x"}}); !ok || !slices.Equal(l, first) {
		t.Error(ok, l)
	}
	for name, nodeSettings := range map[string]*settings.Settings{
		"a disk that is new at a later start":    {GrowVoters: true, MayVote: true, Seeds: first},
		"a fleet of a fixed size":                {Bootstrap: true, MayVote: true, Seeds: first},
		"a later start whose disk doesn't count": {GrowVoters: true, Seeds: first},
	} {
		nodeSettings.DataDir = t.TempDir()
		if ok, _ := seedsOf(nodeSettings); ok {
			t.Errorf("%s takes part in a bootstrap", name)
		}
	}
	if ok, _ := seedsOf(&settings.Settings{DataDir: t.TempDir(), GrowVoters: true, Bootstrap: true, Seeds: first}); !ok {
		t.Error("a process of the first start must take part even if its disk doesn't count")
	}
}

// TestBootstrapAfterARestart stops one of three seeds before the last one starts, and restarts it without the setting of
// a first start.
func TestBootstrapAfterARestart(t *testing.T) {
	t.Parallel()
	var settingsList []*settings.Settings
	var seeds []string
	for i := range 3 {
		nodeSettings := &settings.Settings{Name: fmt.Sprint("c", i), Zone: "z", Addr: testutil.FreeAddr(t), HTTPAddr: testutil.FreeAddr(t), DataDir: t.TempDir(), Platform: testutil.FreeAddr(t), PollMs: 500, ReserveBytes: 64 << 10, GrowVoters: true, Bootstrap: true, MayVote: true}
		settingsList, seeds = append(settingsList, nodeSettings), append(seeds, nodeSettings.Addr)
	}
	start := func(nodeSettings *settings.Settings) *Controller {
		c, err := New(nodeSettings, nil)
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for _, nodeSettings := range settingsList {
		nodeSettings.Seeds = seeds
	}
	one, two := start(settingsList[0]), start(settingsList[1])
	t.Cleanup(two.Drain)
	testutil.WaitUntil(t, "the first seeds wait for the third", func() bool {
		_, body := sendRequest(t, one, "GET", "/status", "")
		return strings.Contains(string(body), "founding: 2 of 3 seeds seen")
	})
	id := one.Self
	one.Drain()
	settingsList[0].Bootstrap, settingsList[0].Seeds = false, []string{settingsList[1].Addr}
	one = start(settingsList[0])
	t.Cleanup(one.Drain)
	three := start(settingsList[2])
	t.Cleanup(three.Drain)
	testutil.WaitUntil(t, "all three are voters", func() bool { v := three.quorumSet(); return len(v.Members) == 3 && v.Has(id) })
}

// TestWorkersOfAnAdapter polls one list for all services over a connection that is kept open. Failed pages and empty
// lists change nothing and are counted; a connection that the platform closed in between causes no failure.
func TestWorkersOfAnAdapter(t *testing.T) {
	t.Parallel()
	var mode atomic.Value
	var connections atomic.Int32
	mode.Store("")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch response := mode.Load().(string); {
		case response == "429":
			w.WriteHeader(429)
		case response == "broken" && r.URL.Path == "/two":
			fmt.Fprint(w, "id-of-no-")
		case r.URL.Path == "/one":
			fmt.Fprint(w, response)
		default:
			fmt.Fprint(w, "end")
		}
	}), ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	siteAdapter := testAdapter()
	// The list has two pages: the first has lines "ID SERVICE COLD", the second must be "end".
	siteAdapter.Workers = func(get func(string) (int, []byte, error)) (l []config.Worker, err error) {
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
	c := startSingle(t, t.TempDir(), func(c *Controller) {
		c.adapter, c.Settings.Platform, c.Settings.Pools, c.Settings.PollMs = siteAdapter, ln.Addr().String(), []string{allPools}, 50
	})
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := c.Control().Put(0, []byte(`{"v":1}`))
		return code == 100
	})
	mode.Store("w1 s 0\nw2 s 1000\nw3 r 0")
	testutil.WaitUntil(t, "three workers are known", func() bool { return len(c.knownWorkers(allPools)) == 3 })
	for _, w := range c.knownWorkers(allPools) {
		if want := map[string]time.Duration{"w1": warmWorkerAge, "w2": 2 * time.Second, "w3": warmWorkerAge}[w.ID]; w.Age != want {
			t.Errorf("%s is %v old, want %v: its service's workers warm up for 3 s", w.ID, w.Age, want)
		}
	}
	counts := func() (uint64, uint64) {
		c.pollStatus.mu.Lock()
		defer c.pollStatus.mu.Unlock()
		return c.pollStatus.successes, c.pollStatus.failures
	}
	for _, response := range []string{"429", "broken", ""} {
		_, failures := counts()
		mode.Store(response)
		testutil.WaitUntil(t, "the failure is counted: "+response, func() bool { _, b := counts(); return b > failures+1 })
		if n := len(c.knownWorkers(allPools)); n != 3 {
			t.Errorf("%q: %d workers left", response, n)
		}
	}
	mode.Store("w1 s 0\nw3 r 0")
	testutil.WaitUntil(t, "one worker is removed", func() bool { return len(c.knownWorkers(allPools)) == 2 })
	if n := connections.Load(); n > 2 {
		t.Errorf("%d connections were opened", n)
	}
}
