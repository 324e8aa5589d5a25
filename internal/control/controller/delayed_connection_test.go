package controller

import (
	"bufio"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/netfault"
)

// EVAC: a controller accepted the connection of a withdrawal late, without having been paused for long. Meanwhile the
// client had given up without closing the connection, and the zone had been evacuated again. The withdrawal must not be
// applied.
func TestWithdrawalAcceptedLateUndoesNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, zoneAdapter())
	conn := holdRequest(t, withdrawal)
	latest := toggleZone(t, controllers[1], controllers[0], true)
	controllers[0].Tasks.Go(func() { _ = controllers[0].httpServer.Serve(controllers[0].trackSendTimes(conn.listener.Listener)) })
	if status := exchange(t, conn, bufio.NewReader(conn), ""); status != 503 {
		t.Errorf("answered %d", status)
	}
	expectState(t, controllers[1], latest, true)
}

// EVAC: a withdrawal was queued on its connection behind a slow call. The client had given up without closing the
// connection, and the zone had been evacuated again before the slow call was answered. The withdrawal must not be
// applied.
func TestWithdrawalBehindASlowCallUndoesNothing(t *testing.T) {
	t.Parallel()
	started, release := make(chan bool), make(chan bool)
	siteAdapter := zoneAdapter()
	control := siteAdapter.Control
	siteAdapter.Control = func(c adapter.Control) fasthttp.RequestHandler {
		zones := control(c)
		return func(ctx *fasthttp.RequestCtx) {
			if ctx.IsGet() {
				started <- true
				<-release
			}
			zones(ctx)
		}
	}
	controllers := startSeededControllers(t, 3, siteAdapter)
	conn, err := net.Dial("tcp", controllers[0].Settings.HTTPAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(readRequest)); err != nil {
		t.Fatal(err)
	}
	<-started
	if _, err := conn.Write([]byte(withdrawal)); err != nil {
		t.Fatal(err)
	}
	latest := toggleZone(t, controllers[1], controllers[0], true)
	close(release)
	answers := bufio.NewReader(conn)
	for _, want := range []int{200, 503} {
		if status := exchange(t, conn, answers, ""); status != want {
			t.Errorf("answered %d, want %d", status, want)
		}
	}
	expectState(t, controllers[1], latest, true)
}

// EVAC: a withdrawal and the packet that completes its connection's handshake were lost. The client's kernel
// retransmitted them after the client had given up and the zone had been evacuated again, so the controller saw a new
// connection with a new call.
func TestWithdrawalOnALateConnectionUndoesNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, zoneAdapter())
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
	latest := toggleZone(t, controllers[1], controllers[0], true)
	controllers[0].Tasks.Go(func() { _ = controllers[0].httpServer.Serve(controllers[0].trackSendTimes(ln)) })
	if status := exchange(t, conn, bufio.NewReader(conn), ""); status != 503 {
		t.Errorf("answered %d", status)
	}
	expectState(t, controllers[1], latest, true)
}
