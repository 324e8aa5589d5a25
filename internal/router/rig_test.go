package router

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/config"
	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
)

const rigConfig = `{"services":[{"name":"advice","pool":"main","cap":2,"warm_ms":0,"first_ms":20,"waitlist":1}],
"promises":[{"name":"p","first_ms":100,"deadline_ms":3000}],
"layout":"mapping notice { when path = \"/notice\" to advice promise p once }\nmapping chat { when path = \"/chat\" to advice promise p repeat }"}`

// hand is one wire that a scripted worker took, with the request read.
type hand struct {
	net.Conn
	id string
}

// scripted gives a worker whose every answer the test writes itself, byte for byte.
func scripted(t *testing.T) (string, chan hand) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	hands := make(chan hand, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if req.Read(bufio.NewReader(c)) == nil {
				hands <- hand{c, string(req.Header.Peek("Request-Id"))}
			}
		}
	}()
	return ln.Addr().String(), hands
}

func (h hand) head() {
	fmt.Fprintf(h, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", h.id)
}

func (h hand) chunk(s string) { fmt.Fprintf(h, "%x\r\n%s\r\n", len(s), s) }

func piece(n int) string { return fmt.Sprintf("{\"n\":%d,\"text\":\"p%d\"}\n", n, n) }

func seal(id string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "p%d", i)
	}
	d := sha256.Sum256([]byte(b.String()))
	return fmt.Sprintf("{\"seal\":{\"id\":%q,\"pieces\":%d,\"bytes\":%d,\"digest\":%q}}\n", id, n, b.Len(), hex.EncodeToString(d[:]))
}

// whole answers rightly with n pieces.
func (h hand) whole(n int) {
	h.head()
	for i := range n {
		h.chunk(piece(i))
	}
	h.chunk(seal(h.id, n))
	fmt.Fprint(h, "0\r\n\r\n")
	h.Close()
}

// rig is one router alone, its news put in by hand; it keeps all workers itself.
func rig(t testing.TB, workers ...string) *Router {
	t.Helper()
	return rigOf(t, rigConfig, workers...)
}

// rigOf is a rig with a configuration of its own.
func rigOf(t testing.TB, configText string, workers ...string) *Router {
	t.Helper()
	b := &settings.Settings{Name: "n1", Zone: "z1", Addr: testutil.Addr(t), HTTPAddr: testutil.Addr(t), DrainMs: 1000, Bounds: settings.Bounds{WarmUpFactor: 1}}
	b.Seeds = []string{b.Addr}
	v := New(b, nil)
	v.OnResume = nil // alone, it could never confirm its news again if the machine stood still for a second
	if err := v.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	var l []config.Worker
	for i, a := range workers {
		l = append(l, config.Worker{ID: fmt.Sprintf("w%d", i+1), Addr: a, Zone: "z1", Age: time.Hour})
	}
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "config", Version: 1, Data: []byte(configText)})
	v.Feed.Apply(configpush.Item{Key: "workers/main", Version: 1, Data: config.MarshalWorkers(l)})
	v.FeedMu.Unlock()
	v.ready.Store(true)
	testutil.Until(t, "the router keeps its workers", func() bool {
		v.ledgerMu.Lock()
		defer v.ledgerMu.Unlock()
		k := v.ledger.Status(v.Tasks.Now())
		for _, x := range k {
			if !x.Open {
				return false
			}
		}
		return len(k) == len(workers)
	})
	testutil.Until(t, "the router takes part in claims", func() bool {
		v.claimantMu.Lock()
		defer v.claimantMu.Unlock()
		return v.claimant.Complete()
	})
	return v
}

// caller is one caller's wire.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, v *Router) *caller {
	t.Helper()
	c, err := net.Dial("tcp", v.Settings.HTTPAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) post(path string, head string, body string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
}

const prompt = `{"prompt":"hello there"}`

func ask(t *testing.T, v *Router, path string) *caller {
	t.Helper()
	c := dial(t, v)
	c.post(path, "Time-Left-Ms: 2500\r\n", prompt)
	return c
}

// rest reads all that still comes, raw.
func (c *caller) rest() string {
	b, _ := io.ReadAll(c.r)
	return string(b)
}

// reply reads one whole answer of known length.
func (c *caller) reply(t *testing.T) (int, string) {
	t.Helper()
	var r fasthttp.Response
	if err := r.Read(c.r); err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return r.StatusCode(), string(r.Body())
}
