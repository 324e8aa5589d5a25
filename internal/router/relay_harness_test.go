package router

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/config"
	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
	"seamshunt/platform"
)

// relayConfig has one route of each variant and a resumable streaming route, all with the same target.
const relayConfig = `{"generation":1,"targets":[{"name":"svc","probe_path":"/health","max_conns":0}],"routes":[
{"name":"pure","domain":"x","path_prefix":"/pure/","variant":"pure","deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"},
{"name":"effectful","domain":"x","path_prefix":"/effectful/","variant":"effectful","deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"},
{"name":"resumable","domain":"x","path_prefix":"/resumable/","variant":"streaming","resumable":true,"deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"},
{"name":"streaming","domain":"x","path_prefix":"/streaming/","variant":"streaming","deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"}]}`

// relaySlots is more than any test needs, since a run of unknown outcome holds its slot until its deadline.
const relaySlots = 1 << 14

// scriptedWorker accepts connections and passes each of them to the test. Its id is its name in the router's worker list.
type scriptedWorker struct {
	id    string
	addr  string
	conns chan *testConn
}

// testConn is the test's end of one connection: as the worker or as the client.
type testConn struct {
	net.Conn
	r *bufio.Reader
}

func newScriptedWorker(t testing.TB, id string) *scriptedWorker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	w := &scriptedWorker{id: id, addr: ln.Addr().String(), conns: make(chan *testConn, 256)}
	go w.accept(ln)
	return w
}

// accept accepts connections until the listener is closed.
func (w *scriptedWorker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // only so that a failing test does not hang
		w.conns <- &testConn{c, bufio.NewReader(c)}
	}
}

// workerRequest is a request as a worker reads it.
type workerRequest struct {
	*http.Request
	id   string
	body string
}

// request reads one complete request. It returns nil if the router has closed the connection.
func (c *testConn) request() *workerRequest {
	q, err := http.ReadRequest(c.r)
	if err != nil {
		return nil
	}
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return nil
	}
	return &workerRequest{q, q.Header.Get("Attempt-Id"), string(b)}
}

// writeText writes formatted text with LF replaced by CRLF.
func (c *testConn) writeText(format string, args ...any) {
	_, _ = io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\r\n"))
}

// responseText returns a worker's complete answer to the request with this ID.
func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nContent-Length: %d\n\n%s", id, len(body), body)
}

func (c *testConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// awaitClose waits until the router has closed the connection.
func (c *testConn) awaitClose() { _, _ = io.Copy(io.Discard, c.r) }

// newRelayRouter starts a single router with the platform's adapter. It coordinates all workers itself, and its retry
// budget allows retries.
func newRelayRouter(t testing.TB, workers ...*scriptedWorker) *Router {
	t.Helper()
	s := &settings.Settings{Name: "n1", Zone: "z1", Addr: testutil.FreeAddr(t), HTTPAddr: testutil.FreeAddr(t), DrainMs: 1000, Bounds: settings.Bounds{WarmUpFactor: 1, RetryRatio: 1}}
	s.Seeds = []string{s.Addr}
	v := New(s, platform.New("", "router"))
	v.OnResume = nil // a single router can't confirm its configuration again if the machine pauses for a second
	if err := v.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	var list []config.Worker
	for _, w := range workers {
		list = append(list, config.Worker{ID: w.id, Addr: w.addr, Zone: "z1", Age: time.Hour, Service: "svc", Slots: relaySlots})
	}
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "config", Version: 1, Data: []byte(relayConfig)})
	v.Feed.Apply(configpush.Item{Key: "workers/" + platform.Pool, Version: 1, Data: config.MarshalWorkers(list)})
	v.FeedMu.Unlock()
	v.ready.Store(true)
	testutil.WaitUntil(t, "the router coordinates its workers", func() bool {
		v.coordinatorMu.Lock()
		defer v.coordinatorMu.Unlock()
		open := 0
		for _, status := range v.coordinator.Status(v.Tasks.Now()) {
			if status.Open {
				open++
			}
		}
		return open == len(workers)
	})
	for range 20 {
		v.retryBudgetOf("svc").RecordFirstAttempt(v.Tasks.Now())
	}
	return v
}

// requestText returns a client's request to one route.
func requestText(route, id, body string) string {
	return fmt.Sprintf("POST /%s/q HTTP/1.1\r\nHost: x\r\nAttempt-Id: %s\r\nTime-Left-Ms: 15000\r\nContent-Length: %d\r\n\r\n%s", route, id, len(body), body)
}

// dialRelayClient connects a client to the router.
func dialRelayClient(t testing.TB, v *Router) *testConn {
	t.Helper()
	c, err := net.Dial("tcp", v.Settings.HTTPAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &testConn{c, bufio.NewReader(c)}
}

// send writes one request.
func (c *testConn) send(route, id, body string) {
	_, _ = io.WriteString(c, requestText(route, id, body))
}

// clientResponse is what a client read. It is complete only if it ended as HTTP requires.
type clientResponse struct {
	status   int
	id       string
	body     string
	complete bool
	close    bool
}

// receive reads one response. Its status is 0 if the connection ended instead.
func (c *testConn) receive() clientResponse {
	_, a := c.receiveWithHeader()
	return a
}

// receiveWithHeader reads one response and returns its headers as well.
func (c *testConn) receiveWithHeader() (http.Header, clientResponse) {
	r, err := http.ReadResponse(c.r, &http.Request{Method: "POST"})
	if err != nil {
		return nil, clientResponse{}
	}
	var b bytes.Buffer
	_, err = io.Copy(&b, r.Body)
	return r.Header, clientResponse{r.StatusCode, r.Header.Get("Attempt-Id"), b.String(), err == nil, r.Close}
}

// firstConn returns the first connection that one of the workers accepts, and the other worker.
func firstConn(a, b *scriptedWorker) (first *testConn, other *scriptedWorker) {
	select {
	case c := <-a.conns:
		return c, b
	case c := <-b.conns:
		return c, a
	}
}

// noMoreConns reports whether no worker has accepted a further connection.
func noMoreConns(workers ...*scriptedWorker) bool {
	for _, w := range workers {
		if len(w.conns) > 0 {
			return false
		}
	}
	return true
}
