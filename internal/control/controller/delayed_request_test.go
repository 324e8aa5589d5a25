package controller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

const (
	testZone    = "z9"
	evacuation  = "POST /evacuation/z9 HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n"
	withdrawal  = "DELETE /evacuation/z9 HTTP/1.1\r\nHost: control\r\n\r\n"
	readRequest = "GET /config HTTP/1.1\r\nHost: control\r\n\r\n"
)

// zoneAdapter returns an adapter whose handler evacuates zone z9 on POST and readmits it on DELETE.
func zoneAdapter() *adapter.Adapter {
	siteAdapter := testAdapter()
	siteAdapter.Control = func(control adapter.Control) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			if ctx.IsGet() {
				return
			}
			if control.EvacuateZone(ctx.Conn(), testZone, ctx.IsPost()) != resultcode.OK {
				ctx.SetStatusCode(503)
			}
		}
	}
	return siteAdapter
}

// stateText returns a zone's state as it is stored.
func stateText(evacuated bool) string { return fmt.Sprintf(`{"evacuated":%v}`, evacuated) }

// setZoneUntilClear sets the zone's state through a controller and retries until the outcome is clear.
func setZoneUntilClear(t *testing.T, c *Controller, evacuated bool) {
	t.Helper()
	if code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
		return c.Control().EvacuateZone(nil, testZone, evacuated), nil
	}); code != resultcode.OK {
		t.Fatalf("set to %v: %d", evacuated, code)
	}
}

// toggleZone sets a state, its opposite and the state again at one node, waits until the observer knows the last write,
// and returns its version.
func toggleZone(t *testing.T, setter, observer *Controller, evacuated bool) units.Version {
	t.Helper()
	for _, evacuated := range []bool{evacuated, !evacuated, evacuated} {
		setZoneUntilClear(t, setter, evacuated)
	}
	latest, _ := readZone(t, setter)
	testutil.WaitUntil(t, "the observer knows the last write", func() bool {
		version, _ := observer.knownValue(node.ZonePrefix + testZone)
		return version == latest
	})
	return latest
}

// readZone returns the zone's state as confirmed by a majority, with its version.
func readZone(t *testing.T, c *Controller) (version units.Version, state string) {
	t.Helper()
	retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
		ctx, cancel := withAnswerTimeout(register.AnswerTimeout)
		defer cancel()
		result := c.Submit(ctx, register.Request{Key: node.ZonePrefix + testZone})
		version, state = result.Version, string(result.Data)
		return result.Code, nil
	})
	return version, state
}

// expectState checks the zone's state and its version.
func expectState(t *testing.T, c *Controller, version units.Version, evacuated bool) {
	t.Helper()
	if n, state := readZone(t, c); n != version || state != stateText(evacuated) {
		t.Errorf("version %d, %s; want %d, %s", n, state, version, stateText(evacuated))
	}
}

// heldConn is a client's connection whose request waits in the socket of a paused process, which has not accepted it yet.
type heldConn struct {
	*net.TCPConn
	listener *closeListener
}

func holdRequest(t *testing.T, request string) *heldConn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err == nil {
		_, err = conn.Write([]byte(request))
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); ln.Close() })
	return &heldConn{conn.(*net.TCPConn), &closeListener{Listener: ln, closed: make(chan struct{}, 1)}}
}

// closeListener reports when the server has closed a connection.
type closeListener struct {
	net.Listener
	closed chan struct{}
}

type closeConn struct {
	*net.TCPConn
	closed chan<- struct{}
}

func (l *closeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeConn{c.(*net.TCPConn), l.closed}, nil
}

func (c *closeConn) Close() error {
	select {
	case c.closed <- struct{}{}:
	default:
	}
	return c.TCPConn.Close()
}

// disconnects holds the ways in which a client ends its connection.
var disconnects = map[string]func(*net.TCPConn) error{
	"closes":        (*net.TCPConn).Close,
	"closes writes": (*net.TCPConn).CloseWrite,
	"resets":        func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
}

// EVAC: a withdrawal waited in the socket of a paused controller. Its client disconnected, and the zone was evacuated again.
func TestWithdrawalOfADisconnectedClientUndoesNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, zoneAdapter())
	for name, disconnect := range disconnects {
		for _, request := range []string{withdrawal, readRequest + withdrawal} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(request)), func(t *testing.T) {
				conn := holdRequest(t, request)
				if err := disconnect(conn.TCPConn); err != nil {
					t.Fatal(err)
				}
				latest := toggleZone(t, controllers[1], controllers[0], true)
				controllers[0].Tasks.Go(func() { _ = controllers[0].httpServer.Serve(conn.listener) })
				<-conn.listener.closed
				expectState(t, controllers[1], latest, true)
			})
		}
	}
}

// TestRequestOfADisconnectedClientIsRefused checks the same for changes on the built-in interface.
func TestRequestOfADisconnectedClientIsRefused(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, zoneAdapter())
	latest := toggleZone(t, controllers[1], controllers[0], true)
	for i, request := range []string{
		fmt.Sprintf("PUT /v1/zones/z9?number=%d HTTP/1.1\r\nHost: control\r\nContent-Length: 19\r\n\r\n", latest) + stateText(false),
		"PUT /v1/config?number=0 HTTP/1.1\r\nHost: control\r\nContent-Length: 7\r\n\r\n{\"v\":5}",
	} {
		conn := holdRequest(t, request)
		conn.Close()
		controllers[0].Tasks.Go(func() { _ = controllers[0].httpServer.Serve(conn.listener) })
		<-conn.listener.closed
		if n := controllers[0].abandonedRequests.Load(); n != uint64(i+1) {
			t.Errorf("%d requests were refused as abandoned, want %d", n, i+1)
		}
	}
	expectState(t, controllers[1], latest, true)
	if _, _, code := readUntilClear(t, controllers[0].Control()); code != resultcode.NotFound {
		t.Errorf("a configuration is in force: %d", code)
	}
}

// probeHealth requests /healthz on a new connection and waits for the answer.
func probeHealth(t *testing.T, addr string) {
	t.Helper()
	if code, _, _, err := transport.HTTPRequest("GET", addr, "/healthz", nil, nil, 10*time.Second); err != nil || code != 200 {
		t.Fatalf("%d %v", code, err)
	}
}

// EVAC: a withdrawal arrived late on a connection that was opened before the zone was evacuated again, as after a network
// partition during which the client's kernel keeps retransmitting.
func TestWithdrawalOnAnOldConnectionUndoesNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, zoneAdapter())
	for _, first := range []string{"", readRequest} {
		t.Run(fmt.Sprintf("behind %d bytes", len(first)), func(t *testing.T) {
			conn, err := net.Dial("tcp", controllers[0].Settings.HTTPAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			if first != "" {
				exchange(t, conn, answers, first)
			}
			probeHealth(t, controllers[0].Settings.HTTPAddr) // by then conn has been accepted
			latest := toggleZone(t, controllers[1], controllers[0], true)
			if status := exchange(t, conn, answers, withdrawal); status != 503 {
				t.Errorf("answered %d", status)
			}
			expectState(t, controllers[1], latest, true)
		})
	}
}

// exchange sends a request, unless it is empty, and returns the status of the next answer.
func exchange(t *testing.T, conn net.Conn, answers *bufio.Reader, request string) int {
	t.Helper()
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	return answer.StatusCode
}
