package router

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"seamshunt/internal/netfault"
	"seamshunt/internal/testutil"
)

// silentWorker is a worker whose machine answers no attempt to connect, until it wakes.
type silentWorker struct {
	*scriptedWorker
	listener *netfault.Listener
}

func newSilentWorker(t testing.TB, id string) *silentWorker {
	t.Helper()
	l := netfault.BlackholeListener(t)
	return &silentWorker{&scriptedWorker{id: id, addr: l.Addr().String(), conns: make(chan *workerConn, 256)}, l}
}

// wake has the worker take connections from now on.
func (w *silentWorker) wake() {
	w.listener.Restore()
	go w.accept(w.listener)
}

// received gives the ids of the requests that a worker got on connections that the test has not looked at. It comes after
// the router is done: the test's own connection is the last one in the worker's queue.
func (w *scriptedWorker) received(t testing.TB) (ids []string) {
	t.Helper()
	last, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer last.Close()
	for c := range w.conns {
		if c.RemoteAddr().String() == last.LocalAddr().String() {
			return ids
		}
		for q := c.request(); q != nil; q = c.request() {
			ids = append(ids, q.id+q.Header.Get("Request-Id"))
		}
	}
	return ids
}

// leave closes a client's connection, and waits until the router's machine knows.
func (c *workerConn) leave(t testing.TB) {
	t.Helper()
	client, router := c.LocalAddr().(*net.TCPAddr), c.RemoteAddr().(*net.TCPAddr)
	c.Close()
	testutil.Until(t, "the client's end has come", func() bool {
		const closeWait = "08"
		state, ok := socketState(t, router, client)
		return ok && state == closeWait || !ok
	})
}

// socketState gives the state of a connection as the kernel's table shows it.
func socketState(t testing.TB, local, remote *net.TCPAddr) (state string, ok bool) {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	entry := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	for line := range bytes.Lines(table) {
		if f := strings.Fields(string(line)); len(f) > 3 && f[1] == entry(local) && f[2] == entry(remote) {
			return f[3], true
		}
	}
	return "", false
}

// taken waits until a request is under way at the router, and idle until none is.
func taken(t testing.TB, v *Router) {
	t.Helper()
	testutil.Until(t, "a request is under way", func() bool { return v.inFlight.Load() > 0 })
}

func idle(t testing.TB, v *Router) {
	t.Helper()
	testutil.Until(t, "nothing is under way", func() bool { return v.inFlight.Load() == 0 })
}

// admitted waits until a permit is held.
func admitted(t testing.TB, v *Router) {
	t.Helper()
	testutil.Until(t, "a permit is held", func() bool {
		v.queueMu.Lock()
		defer v.queueMu.Unlock()
		n := 0
		for _, k := range v.queue.InFlight {
			n += k
		}
		return n > 0
	})
}
