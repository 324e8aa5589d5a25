package transport

import (
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/tasks"
	"seamshunt/internal/testutil"
)

// Invariant CONFIG: a listener that fails is reopened, and the failure is reported. If it stayed closed, the node would
// never again receive messages from others.
func TestListenerIsReopened(t *testing.T) {
	addr := testutil.FreeAddr(t)
	group := tasks.New(clockwork.NewRealClock(), 1)
	received, ended := make(chan message.Message, 1), make(chan error, 8)
	transport, err := Open(1, addr, group, Handlers{Receive: func(n message.Message) { received <- n }, ListenerFailed: func(err error) { ended <- err }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { transport.Close(); group.Stop(time.Second) })
	transport.mu.Lock()
	transport.listener.Close()
	transport.mu.Unlock()
	if err := <-ended; err == nil {
		t.Error("ListenerFailed was called without an error")
	}
	testutil.WaitUntil(t, "the listener is reopened", func() bool { return delivers(addr, received) })
}

// delivers reports whether a message sent by a peer arrives.
func delivers(addr string, received <-chan message.Message) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Write(encodeFrame(message.Message{From: 9, To: 1, Kind: 77})); err != nil {
		return false
	}
	select {
	case <-received:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// Invariant CONFIG: a peer's connection that can't be accepted for lack of file descriptors is accepted once descriptors
// are available.
func TestAcceptAfterDescriptorShortage(t *testing.T) {
	received := make(chan message.Message, 8)
	transport := openTransport(t, func(n message.Message) { received <- n })
	addr, err := net.ResolveTCPAddr("tcp", transport.addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	peer := os.NewFile(uintptr(fd), "peer")
	defer peer.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	short := syscall.Rlimit{Max: limit.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &short); err != nil {
		t.Fatal(err)
	}
	err = syscall.Connect(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
	for range 1000 {
		runtime.Gosched() // let the listener run into the shortage
	}
	if again := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || again != nil {
		t.Fatal(err, again)
	}
	if _, err := peer.Write(encodeFrame(message.Message{From: 9, To: 1, Kind: 77})); err != nil {
		t.Fatal(err)
	}
	select {
	case <-received:
	case <-time.After(10 * time.Second):
		t.Error("the peer's message is not received")
	}
}

// A connection whose peer acknowledges nothing is closed soon, whether this node dialed or accepted it.
func TestConnectionTimeoutOptions(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	setTimeouts(conn)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, option := range []struct{ level, name, want int }{
		{syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout / time.Millisecond)},
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, int(keepAlive.Idle / time.Second)},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, int(keepAlive.Interval / time.Second)},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAlive.Count},
	} {
		_ = raw.Control(func(fd uintptr) {
			if got, err := syscall.GetsockoptInt(int(fd), option.level, option.name); err != nil || got != option.want {
				t.Errorf("option %d of level %d is %d, want %d (%v)", option.name, option.level, got, option.want, err)
			}
		})
	}
}
