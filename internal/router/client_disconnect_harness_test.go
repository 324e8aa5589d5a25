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

// silentWorker is a worker whose machine does not answer connection attempts until startAccepting is called.
type silentWorker struct {
	*scriptedWorker
	listener *netfault.Listener
}

func newSilentWorker(t testing.TB, id string) *silentWorker {
	t.Helper()
	l := netfault.BlackholeListener(t)
	return &silentWorker{&scriptedWorker{id: id, addr: l.Addr().String(), conns: make(chan *testConn, 256)}, l}
}

// startAccepting makes the worker accept connections from now on.
func (w *silentWorker) startAccepting() {
	w.listener.Restore()
	go w.accept(w.listener)
}

// received returns the IDs of the requests that a worker got on connections that the test has not read. It must be called
// after the router has finished: the test's own connection then is the last one in the worker's accept queue.
func (w *scriptedWorker) received(t testing.TB) (ids []string) {
	t.Helper()
	marker, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer marker.Close()
	for c := range w.conns {
		if c.RemoteAddr().String() == marker.LocalAddr().String() {
			return ids
		}
		for q := c.request(); q != nil; q = c.request() {
			ids = append(ids, q.id+q.Header.Get("Request-Id"))
		}
	}
	return ids
}

// disconnect closes a client's connection and waits until the router's kernel has seen the FIN.
func (c *testConn) disconnect(t testing.TB) {
	t.Helper()
	client, router := c.LocalAddr().(*net.TCPAddr), c.RemoteAddr().(*net.TCPAddr)
	c.Close()
	testutil.WaitUntil(t, "the client's connection is closed at the router", func() bool {
		const closeWait = "08"
		state, ok := socketState(t, router, client)
		return ok && state == closeWait || !ok
	})
}

// socketState returns the state of a connection from the kernel's TCP table.
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

// awaitInFlight waits until a request is in flight at the router, and awaitIdle until none is.
func awaitInFlight(t testing.TB, v *Router) {
	t.Helper()
	testutil.WaitUntil(t, "a request is in flight", func() bool { return v.inFlight.Load() > 0 })
}

func awaitIdle(t testing.TB, v *Router) {
	t.Helper()
	testutil.WaitUntil(t, "no request is in flight", func() bool { return v.inFlight.Load() == 0 })
}

// awaitPermit waits until the router holds a permit.
func awaitPermit(t testing.TB, v *Router) {
	t.Helper()
	testutil.WaitUntil(t, "a permit is held", func() bool {
		v.queueMu.Lock()
		defer v.queueMu.Unlock()
		n := 0
		for _, k := range v.queue.InFlight {
			n += k
		}
		return n > 0
	})
}
