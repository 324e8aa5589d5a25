package socket

import (
	"net"
	"testing"
	"time"
)

const soon = 10 * time.Second // what never comes in a test that passes

// pair gives both ends of a TCP connection.
func pair(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// until waits for the other side's doing to arrive.
func until(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for end := time.Now().Add(soon); Peek(c) != want; {
		if time.Now().After(end) {
			t.Fatalf("the socket shows %d, want %d", Peek(c), want)
		}
	}
}

// A read deadline that has passed, as the one of a request that was read long ago, is no hang-up; bytes of a next
// request are none; closing is one, of the write side alone, too, and so is a reset.
func TestHungUp(t *testing.T) {
	here, there := pair(t)
	_ = here.SetReadDeadline(time.Now().Add(-time.Hour))
	if PeerClosed(here) || Peek(here) != Idle {
		t.Error("a passed deadline is taken for a hang-up")
	}
	_, _ = there.Write([]byte("POST"))
	until(t, here, Readable)
	if PeerClosed(here) {
		t.Error("a next request is taken for a hang-up")
	}
	_ = there.CloseWrite()
	until(t, here, Closed) // behind those bytes
	here, there = pair(t)
	_ = there.CloseWrite()
	until(t, here, Closed)
	here, there = pair(t)
	_ = there.SetLinger(0)
	there.Close()
	until(t, here, Closed)
	here, _ = pair(t)
	here.Close()
	if !PeerClosed(here) {
		t.Error("one that was closed here is open")
	}
	if c, _ := net.Pipe(); PeerClosed(c) {
		t.Error("what is no socket can't be looked at")
	}
}
