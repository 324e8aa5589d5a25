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

const testConfig = `{"services":[{"name":"advice","pool":"main","cap":2,"warm_ms":0,"first_ms":20,"waitlist":1}],
"promises":[{"name":"p","first_ms":100,"deadline_ms":3000}],
"layout":"mapping notice { when path = \"/notice\" to advice promise p once }\nmapping chat { when path = \"/chat\" to advice promise p repeat }"}`

// nativeWorkerConn is a connection that a scripted worker has accepted, after the request has been read.
type nativeWorkerConn struct {
	net.Conn
	id string
}

// startNativeWorker starts a worker whose answers the test writes itself, byte for byte. It returns the address and the
// accepted connections.
func startNativeWorker(t *testing.T) (string, chan nativeWorkerConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns := make(chan nativeWorkerConn, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if req.Read(bufio.NewReader(c)) == nil {
				conns <- nativeWorkerConn{c, string(req.Header.Peek("Request-Id"))}
			}
		}
	}()
	return ln.Addr().String(), conns
}

func (h nativeWorkerConn) writeHeader() {
	fmt.Fprintf(h, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", h.id)
}

func (h nativeWorkerConn) writeChunk(s string) { fmt.Fprintf(h, "%x\r\n%s\r\n", len(s), s) }

func pieceLine(n int) string { return fmt.Sprintf("{\"n\":%d,\"text\":\"p%d\"}\n", n, n) }

func sealLine(id string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "p%d", i)
	}
	d := sha256.Sum256([]byte(b.String()))
	return fmt.Sprintf("{\"seal\":{\"id\":%q,\"pieces\":%d,\"bytes\":%d,\"digest\":%q}}\n", id, n, b.Len(), hex.EncodeToString(d[:]))
}

// respond sends a correct answer of n pieces.
func (h nativeWorkerConn) respond(n int) {
	h.writeHeader()
	for i := range n {
		h.writeChunk(pieceLine(i))
	}
	h.writeChunk(sealLine(h.id, n))
	fmt.Fprint(h, "0\r\n\r\n")
	h.Close()
}

// newTestRouter starts a single router with testConfig. Updates are inserted directly, and it coordinates all workers
// itself.
func newTestRouter(t testing.TB, workers ...string) *Router {
	t.Helper()
	return newTestRouterWithConfig(t, testConfig, workers...)
}

// newTestRouterWithConfig is newTestRouter with another configuration.
func newTestRouterWithConfig(t testing.TB, configText string, workers ...string) *Router {
	t.Helper()
	s := &settings.Settings{Name: "n1", Zone: "z1", Addr: testutil.FreeAddr(t), HTTPAddr: testutil.FreeAddr(t), DrainMs: 1000, Bounds: settings.Bounds{WarmUpFactor: 1}}
	s.Seeds = []string{s.Addr}
	v := New(s, nil)
	v.OnResume = nil // a single router can't confirm its configuration again if the machine pauses for a second
	if err := v.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	var list []config.Worker
	for i, a := range workers {
		list = append(list, config.Worker{ID: fmt.Sprintf("w%d", i+1), Addr: a, Zone: "z1", Age: time.Hour})
	}
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "config", Version: 1, Data: []byte(configText)})
	v.Feed.Apply(configpush.Item{Key: "workers/main", Version: 1, Data: config.MarshalWorkers(list)})
	v.FeedMu.Unlock()
	v.ready.Store(true)
	testutil.WaitUntil(t, "the router coordinates its workers", func() bool {
		v.coordinatorMu.Lock()
		defer v.coordinatorMu.Unlock()
		statuses := v.coordinator.Status(v.Tasks.Now())
		for _, status := range statuses {
			if !status.Open {
				return false
			}
		}
		return len(statuses) == len(workers)
	})
	testutil.WaitUntil(t, "the router takes part in claims", func() bool {
		v.claimantMu.Lock()
		defer v.claimantMu.Unlock()
		return v.claimant.Complete()
	})
	return v
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	r *bufio.Reader
}

func dialClient(t *testing.T, v *Router) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", v.Settings.HTTPAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

func (c *testClient) post(path string, head string, body string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
}

const promptBody = `{"prompt":"hello there"}`

func sendPrompt(t *testing.T, v *Router, path string) *testClient {
	t.Helper()
	c := dialClient(t, v)
	c.post(path, "Time-Left-Ms: 2500\r\n", promptBody)
	return c
}

// readAll returns all remaining bytes.
func (c *testClient) readAll() string {
	b, _ := io.ReadAll(c.r)
	return string(b)
}

// readResponse reads one complete response with a Content-Length.
func (c *testClient) readResponse(t *testing.T) (int, string) {
	t.Helper()
	var r fasthttp.Response
	if err := r.Read(c.r); err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return r.StatusCode(), string(r.Body())
}
