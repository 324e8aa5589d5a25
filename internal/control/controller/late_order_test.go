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
	"seamshunt/internal/codes"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

const (
	lateZone  = "z9"
	evacuated = `{"evacuated":true}`
	withdraw  = "DELETE /evacuation/z9 HTTP/1.1\r\nHost: control\r\n\r\n"
	readFirst = "GET /config HTTP/1.1\r\nHost: control\r\n\r\n"
)

// zoneBook is an outside world whose calls evacuate the zone z9 and take that back.
func zoneBook() *adapter.Adapter {
	book := toyBook()
	book.Control = func(control adapter.Control) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			if ctx.IsGet() {
				return
			}
			if control.Zone(lateZone, ctx.IsPost()) != codes.OK {
				ctx.SetStatusCode(503)
			}
		}
	}
	return book
}

// setZone has a controller set the zone, as callers do until an answer is clear.
func setZone(t *testing.T, c *Controller, out bool) {
	t.Helper()
	if code := sure(t, func() (codes.Code, []*codes.Fault) { return c.Control().Zone(lateZone, out), nil }); code != codes.OK {
		t.Fatalf("set to %v: %d", out, code)
	}
}

// evacuateAgain has an evacuation acknowledged, withdrawn and acknowledged again at one node, and waits until another has
// heard of it.
func evacuateAgain(t *testing.T, at, hears *Controller) {
	t.Helper()
	for _, out := range []bool{true, false, true} {
		setZone(t, at, out)
	}
	testutil.Until(t, "the other node has heard of the evacuation", func() bool {
		newest, _ := at.heardOf(node.ZonePrefix + lateZone)
		num, state := hears.heardOf(node.ZonePrefix + lateZone)
		return num == newest && string(state) == evacuated
	})
}

// stateOf is the zone's state as a majority confirms it.
func stateOf(t *testing.T, c *Controller) (num units.Num, state string) {
	t.Helper()
	sure(t, func() (codes.Code, []*codes.Fault) {
		ctx, release := answerTime(register.AnswerTimeout)
		defer release()
		r := c.Submit(ctx, register.Request{Key: node.ZonePrefix + lateZone})
		num, state = r.Num, string(r.Data)
		return r.Code, nil
	})
	return num, state
}

// EVAC: a withdrawal waited in a frozen controller's socket. Its caller left, and the zone was evacuated again.
func TestWithdrawalOfACallerThatLeftUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closes":        (*net.TCPConn).Close,
		"closes writes": (*net.TCPConn).CloseWrite,
		"resets":        func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		for _, request := range []string{withdraw, readFirst + withdraw} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(request)), func(t *testing.T) {
				inner, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts yet: the process stands still
				if err != nil {
					t.Fatal(err)
				}
				ln := &countedListener{Listener: inner, ended: make(chan struct{}, 1)}
				conn, err := net.Dial("tcp", ln.Addr().String())
				if err == nil {
					_, err = conn.Write([]byte(request))
				}
				if err == nil {
					err = leave(conn.(*net.TCPConn))
				}
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				evacuateAgain(t, cs[1], cs[0])
				before, _ := stateOf(t, cs[1])
				cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(ln) })
				<-ln.ended
				ln.Close()
				if num, state := stateOf(t, cs[1]); num != before || state != evacuated {
					t.Errorf("number %d, %s; want %d, %s", num, state, before, evacuated)
				}
			})
		}
	}
}

// countedListener says when the server has ended a connection.
type countedListener struct {
	net.Listener
	ended chan struct{}
}

type countedConn struct {
	*net.TCPConn
	ended chan<- struct{}
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c.(*net.TCPConn), l.ended}, nil
}

func (c *countedConn) Close() error {
	select {
	case c.ended <- struct{}{}:
	default:
	}
	return c.TCPConn.Close()
}

// probe asks on a connection of its own, and returns with the answer.
func probe(t *testing.T, addr string) {
	t.Helper()
	if code, _, _, err := transport.HTTP("GET", addr, "/healthz", nil, nil, 10*time.Second); err != nil || code != 200 {
		t.Fatalf("%d %v", code, err)
	}
}

// EVAC: a withdrawal's bytes came late on a connection that was made before the zone was evacuated again, as over a cut link
// whose sender's kernel sends on.
func TestWithdrawalOnAnOldConnectionUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	for _, first := range []string{"", readFirst} {
		t.Run(fmt.Sprintf("behind %d bytes", len(first)), func(t *testing.T) {
			probe(t, cs[0].Boot.Web)
			conn, err := net.Dial("tcp", cs[0].Boot.Web)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			if first != "" {
				exchange(t, conn, answers, first)
			}
			probe(t, cs[0].Boot.Web) // it has been accepted
			evacuateAgain(t, cs[1], cs[0])
			before, _ := stateOf(t, cs[1])
			if status := exchange(t, conn, answers, withdraw); status != 503 {
				t.Errorf("answered %d", status)
			}
			if num, state := stateOf(t, cs[1]); num != before || state != evacuated {
				t.Errorf("number %d, %s; want %d, %s", num, state, before, evacuated)
			}
		})
	}
}

// exchange sends a request and gives its answer's status.
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

// EVAC: a withdrawal was held inside the system. Its caller gave it up and had the evacuation acknowledged once more.
func TestHeldWithdrawalMeetsANewerNumber(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, toyBook())
	for round, out := range []bool{true, false, true, false} {
		setZone(t, cs[0], out)
		held, _ := stateOf(t, cs[0])
		opposite := register.Request{Key: node.ZonePrefix + lateZone, Expect: held, Data: fmt.Appendf(nil, `{"evacuated":%v}`, !out)}
		setZone(t, cs[1+round%2], out)
		code := sure(t, func() (codes.Code, []*codes.Fault) {
			ctx, release := answerTime(register.AnswerTimeout)
			defer release()
			return cs[2-round%2].record(ctx, opposite).Code, nil
		})
		if _, state := stateOf(t, cs[0]); code != codes.Conflict || state != fmt.Sprintf(`{"evacuated":%v}`, out) {
			t.Errorf("round %d: the held order got %d, the zone is %s", round, code, state)
		}
	}
}
