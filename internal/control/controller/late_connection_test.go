package controller

import (
	"bufio"
	"net"
	"slices"
	"strings"
	"testing"

	"seamshunt/internal/rig/netfault"
	"seamshunt/internal/units"
)

// acceptLate has requests wait at a controller that doesn't accept their connection, in which it does not stand still, until the zone
// is evacuated again, and gives the number of that and the statuses of the answers.
func acceptLate(t *testing.T, cs []*Controller, requests ...string) (newest units.Num, statuses []int) {
	t.Helper()
	conn := holdRequest(t, strings.Join(requests, ""))
	newest = turnTwice(t, cs[1], cs[0], true)
	cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(cs[0].callersOf(conn.listener.Listener)) })
	answers := bufio.NewReader(conn)
	for range requests {
		statuses = append(statuses, exchange(t, conn, answers, ""))
	}
	return newest, statuses
}

// EVAC: a withdrawal waited for a controller that was slow to accept its connection, though it never stood still for long. Its caller
// went on without closing it, and the zone was evacuated again.
func TestWithdrawalAcceptedLateUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	newest, statuses := acceptLate(t, cs, withdrawal)
	if want := []int{503}; !slices.Equal(statuses, want) {
		t.Errorf("answered %v, want %v", statuses, want)
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
