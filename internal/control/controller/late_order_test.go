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
	lateZone    = "z9"
	evacuation  = "POST /evacuation/z9 HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n"
	withdrawal  = "DELETE /evacuation/z9 HTTP/1.1\r\nHost: control\r\n\r\n"
	readRequest = "GET /config HTTP/1.1\r\nHost: control\r\n\r\n"
)

// zoneBook is an outside world whose calls evacuate the zone z9 and take that back.
func zoneBook() *adapter.Adapter {
	book := toyBook()
	book.Control = func(control adapter.Control) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			if ctx.IsGet() {
				return
			}
			if control.EvacuateZone(ctx.Conn(), lateZone, ctx.IsPost()) != resultcode.OK {
				ctx.SetStatusCode(503)
			}
		}
	}
	return book
}

// stateText is a zone's state as it is stored.
func stateText(out bool) string { return fmt.Sprintf(`{"evacuated":%v}`, out) }

// setZone has a controller set the zone, as callers do until an answer is clear.
func setZone(t *testing.T, c *Controller, out bool) {
	t.Helper()
	if code := sure(t, func() (resultcode.Code, []*resultcode.Fault) {
		return c.Control().EvacuateZone(nil, lateZone, out), nil
	}); code != resultcode.OK {
		t.Fatalf("set to %v: %d", out, code)
	}
}

// turnTwice has a state acknowledged, its opposite, and the state again at one node, and waits until another has heard of it. It
// gives the last number.
func turnTwice(t *testing.T, at, hears *Controller, out bool) units.Version {
	t.Helper()
	for _, out := range []bool{out, !out, out} {
		setZone(t, at, out)
	}
	newest, _ := stateOf(t, at)
	testutil.Until(t, "the other node has heard of it", func() bool {
		num, _ := hears.heardOf(node.ZonePrefix + lateZone)
		return num == newest
	})
	return newest
}

// stateOf is the zone's state as a majority confirms it.
func stateOf(t *testing.T, c *Controller) (num units.Version, state string) {
	t.Helper()
	sure(t, func() (resultcode.Code, []*resultcode.Fault) {
		ctx, release := answerTime(register.AnswerTimeout)
		defer release()
		r := c.Submit(ctx, register.Request{Key: node.ZonePrefix + lateZone})
		num, state = r.Version, string(r.Data)
		return r.Code, nil
	})
	return num, state
}

// expectState checks that a state stands under a number.
func expectState(t *testing.T, c *Controller, num units.Version, out bool) {
	t.Helper()
	if n, state := stateOf(t, c); n != num || state != stateText(out) {
		t.Errorf("number %d, %s; want %d, %s", n, state, num, stateText(out))
	}
}

// heldConn is a connection whose request is in the socket of a process that stands still: nobody accepts yet.
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

// closeListener says when the server has closed a connection.
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

// leavings are the ways in which a caller ends its connection.
var leavings = map[string]func(*net.TCPConn) error{
	"closes":        (*net.TCPConn).Close,
	"closes writes": (*net.TCPConn).CloseWrite,
	"resets":        func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
}

// EVAC: a withdrawal waited in a frozen controller's socket. Its caller left, and the zone was evacuated again.
func TestWithdrawalOfACallerThatLeftUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	for name, leave := range leavings {
		for _, request := range []string{withdrawal, readRequest + withdrawal} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(request)), func(t *testing.T) {
				conn := holdRequest(t, request)
				if err := leave(conn.TCPConn); err != nil {
					t.Fatal(err)
				}
				newest := turnTwice(t, cs[1], cs[0], true)
				cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(conn.listener) })
				<-conn.listener.closed
				expectState(t, cs[1], newest, true)
			})
		}
	}
}

// An order on the product's own interface is not begun either for a caller that has left.
func TestNothingIsBegunForACallerThatLeft(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	newest := turnTwice(t, cs[1], cs[0], true)
	for i, order := range []string{
		fmt.Sprintf("PUT /v1/zones/z9?number=%d HTTP/1.1\r\nHost: control\r\nContent-Length: 19\r\n\r\n", newest) + stateText(false),
		"PUT /v1/config?number=0 HTTP/1.1\r\nHost: control\r\nContent-Length: 7\r\n\r\n{\"v\":5}",
	} {
		conn := holdRequest(t, order)
		conn.Close()
		cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(conn.listener) })
		<-conn.listener.closed
		if n := cs[0].abandonedOrders.Load(); n != uint64(i+1) {
			t.Errorf("%d orders were found abandoned, want %d", n, i+1)
		}
	}
	expectState(t, cs[1], newest, true)
	if _, _, code := sureRead(t, cs[0].Control()); code != resultcode.NotFound {
		t.Errorf("a configuration stands: %d", code)
	}
}

// probe asks on a connection of its own, and returns with the answer.
func probe(t *testing.T, addr string) {
	t.Helper()
	if code, _, _, err := transport.HTTPRequest("GET", addr, "/healthz", nil, nil, 10*time.Second); err != nil || code != 200 {
		t.Fatalf("%d %v", code, err)
	}
}

// EVAC: a withdrawal's bytes came late on a connection that was made before the zone was evacuated again, as over a cut link
// whose sender's kernel sends on.
func TestWithdrawalOnAnOldConnectionUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	for _, first := range []string{"", readRequest} {
		t.Run(fmt.Sprintf("behind %d bytes", len(first)), func(t *testing.T) {
			conn, err := net.Dial("tcp", cs[0].Settings.HTTPAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			if first != "" {
				exchange(t, conn, answers, first)
			}
			probe(t, cs[0].Settings.HTTPAddr) // it has been accepted
			newest := turnTwice(t, cs[1], cs[0], true)
			if status := exchange(t, conn, answers, withdrawal); status != 503 {
				t.Errorf("answered %d", status)
			}
			expectState(t, cs[1], newest, true)
		})
	}
}

// exchange sends a request, if any, and gives the next answer's status.
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
