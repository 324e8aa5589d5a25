package controller

import (
	"bufio"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/netfault"
)

// EVAC: a withdrawal waited for a controller that was slow to accept its connection, though it never stood still for long. Its caller
// went on without closing it, and the zone was evacuated again.
func TestWithdrawalAcceptedLateUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	conn := holdRequest(t, withdrawal)
	newest := turnTwice(t, cs[1], cs[0], true)
	cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(cs[0].callersOf(conn.listener.Listener)) })
	if status := exchange(t, conn, bufio.NewReader(conn), ""); status != 503 {
		t.Errorf("answered %d", status)
	}
	expectState(t, cs[1], newest, true)
}

// EVAC: a withdrawal waited behind another call of its caller, which took its time. The caller had gone on without closing its
// connection, and the zone had been evacuated again before the other call was answered.
func TestWithdrawalBehindASlowCallUndoesNothing(t *testing.T) {
	t.Parallel()
	begun, release := make(chan bool), make(chan bool)
	book := zoneBook()
	control := book.Control
	book.Control = func(c adapter.Control) fasthttp.RequestHandler {
		zones := control(c)
		return func(ctx *fasthttp.RequestCtx) {
			if ctx.IsGet() {
				begun <- true
				<-release
			}
			zones(ctx)
		}
	}
	cs := grownCore(t, 3, book)
	conn, err := net.Dial("tcp", cs[0].Settings.HTTPAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(readRequest)); err != nil {
		t.Fatal(err)
	}
	<-begun
	if _, err := conn.Write([]byte(withdrawal)); err != nil {
		t.Fatal(err)
	}
	newest := turnTwice(t, cs[1], cs[0], true)
	close(release)
	answers := bufio.NewReader(conn)
	for _, want := range []int{200, 503} {
		if status := exchange(t, conn, answers, ""); status != want {
			t.Errorf("answered %d, want %d", status, want)
		}
	}
	expectState(t, cs[1], newest, true)
}

// EVAC: a withdrawal was lost on its link with the packet that completes its connection. Its caller's kernel sent it again after the
// caller had gone on and the zone had been evacuated once more, so that the controller saw a new connection with a new call.
func TestWithdrawalOnALateConnectionUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	ln, err := netfault.ListenDeferred()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := ln.Hold(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(withdrawal)); err != nil {
		t.Fatal(err)
	}
	newest := turnTwice(t, cs[1], cs[0], true)
	cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(cs[0].callersOf(ln)) })
	if status := exchange(t, conn, bufio.NewReader(conn), ""); status != 503 {
		t.Errorf("answered %d", status)
	}
	expectState(t, cs[1], newest, true)
}
