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

// relayConfig has one route of each kind, all of one service.
const relayConfig = `{"generation":1,"targets":[{"name":"svc","probe_path":"/health","max_conns":0}],"routes":[
{"name":"pure","domain":"x","path_prefix":"/pure/","variant":"pure","deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"},
{"name":"effectful","domain":"x","path_prefix":"/effectful/","variant":"effectful","deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"},
{"name":"resumable","domain":"x","path_prefix":"/resumable/","variant":"streaming","resumable":true,"deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"},
{"name":"streaming","domain":"x","path_prefix":"/streaming/","variant":"streaming","deadline_ms":20000,"goal_ms":20000,"tries":2,"target":"svc"}]}`

// relaySlots is more than any test needs: a run of unknown outcome keeps its slot till its deadline.
const relaySlots = 1 << 14

// scriptedWorker takes connections and leaves each of them to the test. Its name at the router is its id.
type scriptedWorker struct {
	id    string
	addr  string
	conns chan *workerConn
}

// workerConn is the worker's end of one connection.
type workerConn struct {
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
	w := &scriptedWorker{id: id, addr: ln.Addr().String(), conns: make(chan *workerConn, 256)}
	go w.accept(ln)
	return w
}

// accept takes connections until the listener closes.
func (w *scriptedWorker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // only ends a test that would hang
		w.conns <- &workerConn{c, bufio.NewReader(c)}
	}
}

// workerRequest is a request as a worker reads it.
type workerRequest struct {
	*http.Request
	id   string
	body string
}

// request reads one request whole; nil when the router has closed the connection.
func (c *workerConn) request() *workerRequest {
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

// say writes text as it stands, but with line ends as HTTP wants them.
func (c *workerConn) say(format string, args ...any) {
	_, _ = io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\r\n"))
}

// answer is a whole answer of one id.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nContent-Length: %d\n\n%s", id, len(body), body)
}

func (c *workerConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// closedByRouter waits until the router has closed the connection.
func (c *workerConn) closedByRouter() { _, _ = io.Copy(io.Discard, c.r) }

// relayRig is one router alone in the platform's words; it keeps all workers itself. Its budget allows further tries.
func relayRig(t testing.TB, workers ...*scriptedWorker) *Router {
	t.Helper()
	b := &settings.Settings{Name: "n1", Zone: "z1", Addr: testutil.Addr(t), HTTPAddr: testutil.Addr(t), DrainMs: 1000, Bounds: settings.Bounds{WarmUpFactor: 1, RetryRatio: 1}}
	b.Seeds = []string{b.Addr}
	v := New(b, platform.New("", "router"))
	v.OnResume = nil // alone, it could never confirm its news again if the machine stood still for a second
	if err := v.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	var l []config.Worker
	for _, w := range workers {
		l = append(l, config.Worker{ID: w.id, Addr: w.addr, Zone: "z1", Age: time.Hour, Service: "svc", Slots: relaySlots})
	}
	v.FeedMu.Lock()
	v.Feed.Apply(configpush.Item{Key: "config", Version: 1, Data: []byte(relayConfig)})
	v.Feed.Apply(configpush.Item{Key: "workers/" + platform.Pool, Version: 1, Data: config.MarshalWorkers(l)})
	v.FeedMu.Unlock()
	v.ready.Store(true)
	testutil.Until(t, "the router keeps its workers", func() bool {
		v.ledgerMu.Lock()
		defer v.ledgerMu.Unlock()
		open := 0
		for _, k := range v.ledger.Status(v.Tasks.Now()) {
			if k.Open {
				open++
			}
		}
		return open == len(workers)
	})
	for range 20 {
		v.budgetOf("svc").RecordFirstAttempt(v.Tasks.Now())
	}
	return v
}

// requestText is a request of a client to one route.
func requestText(route, id, body string) string {
	return fmt.Sprintf("POST /%s/q HTTP/1.1\r\nHost: x\r\nAttempt-Id: %s\r\nTime-Left-Ms: 15000\r\nContent-Length: %d\r\n\r\n%s", route, id, len(body), body)
}

// clientConn dials the router's front.
func clientConn(t testing.TB, v *Router) *workerConn {
	t.Helper()
	c, err := net.Dial("tcp", v.Settings.HTTPAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &workerConn{c, bufio.NewReader(c)}
}

// send writes one request.
func (c *workerConn) send(route, id, body string) {
	_, _ = io.WriteString(c, requestText(route, id, body))
}

// clientAnswer is what a client read: whole only if its end was proper.
type clientAnswer struct {
	status int
	id     string
	body   string
	whole  bool
	close  bool
}

// receive reads one answer; status 0 when the connection ended instead.
func (c *workerConn) receive() clientAnswer {
	_, a := c.receiveHead()
	return a
}

// receiveHead is the same with the answer's headers.
func (c *workerConn) receiveHead() (http.Header, clientAnswer) {
	r, err := http.ReadResponse(c.r, &http.Request{Method: "POST"})
	if err != nil {
		return nil, clientAnswer{}
	}
	var b bytes.Buffer
	_, err = io.Copy(&b, r.Body)
	return r.Header, clientAnswer{r.StatusCode, r.Header.Get("Attempt-Id"), b.String(), err == nil, r.Close}
}

// next gives the first connection that any of the workers takes, and the other worker.
func next(a, b *scriptedWorker) (first *workerConn, other *scriptedWorker) {
	select {
	case c := <-a.conns:
		return c, b
	case c := <-b.conns:
		return c, a
	}
}

// none says whether no worker has taken a further connection.
func none(l ...*scriptedWorker) bool {
	for _, w := range l {
		if len(w.conns) > 0 {
			return false
		}
	}
	return true
}
