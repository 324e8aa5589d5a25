package socket

import (
	"net"
	"testing"
	"time"
)

const waitTimeout = 10 * time.Second // not reached in a test that passes

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (local, remote *net.TCPConn) {
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

// waitForState waits until the peer's action shows in the socket's state.
func waitForState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); Peek(c) != want; {
		if time.Now().After(end) {
			t.Fatalf("the socket shows %d, want %d", Peek(c), want)
		}
	}
}

// PeerClosed reports a close, also of the write side alone, and a reset, but neither a read deadline that has passed, as that of
// a request read long ago, nor the data of a next request.
func TestPeerClosed(t *testing.T) {
	local, remote := tcpPair(t)
	_ = local.SetReadDeadline(time.Now().Add(-time.Hour))
	if PeerClosed(local) || Peek(local) != Idle {
		t.Error("a passed deadline is reported as closed")
	}
	_, _ = remote.Write([]byte("POST"))
	waitForState(t, local, Readable)
	if PeerClosed(local) {
		t.Error("a next request is reported as closed")
	}
	_ = remote.CloseWrite()
	waitForState(t, local, Closed) // after unread data
	local, remote = tcpPair(t)
	_ = remote.CloseWrite()
	waitForState(t, local, Closed)
	local, remote = tcpPair(t)
	_ = remote.SetLinger(0)
	remote.Close()
	waitForState(t, local, Closed)
	local, _ = tcpPair(t)
	local.Close()
	if !PeerClosed(local) {
		t.Error("a connection closed locally is reported as open")
	}
	if c, _ := net.Pipe(); PeerClosed(c) {
		t.Error("a connection without a socket is reported as closed")
	}
}
