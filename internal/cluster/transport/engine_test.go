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

// CONFIG: a listener that ends leaves a node deaf to all others for good. It is opened again, and its end is told.
func TestListenerThatEndsIsOpenedAgain(t *testing.T) {
	addr := testutil.Addr(t)
	c := tasks.New(clockwork.NewRealClock(), 1)
	got, ended := make(chan message.Message, 1), make(chan error, 8)
	x, err := Open(1, addr, c, Handlers{Receive: func(n message.Message) { got <- n }, ListenerFailed: func(err error) { ended <- err }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Close(); c.Stop(time.Second) })
	x.mu.Lock()
	x.listener.Close()
	x.mu.Unlock()
	if err := <-ended; err == nil {
		t.Error("ended without a cause")
	}
	testutil.Until(t, "it listens again", func() bool { return reaches(addr, got) })
}

// reaches says whether a neighbour's message comes.
func reaches(addr string, got <-chan message.Message) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Write(frame(message.Message{From: 9, To: 1, Kind: 77})); err != nil {
		return false
	}
	select {
	case <-got:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// CONFIG: for want of descriptors a neighbour's connection can't be taken. Once there are some it is.
func TestShortageOfDescriptorsIsOutlasted(t *testing.T) {
	got := make(chan message.Message, 8)
	x := pair(t, func(n message.Message) { got <- n })
	addr, err := net.ResolveTCPAddr("tcp", x.addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	neighbour := os.NewFile(uintptr(fd), "neighbour")
	defer neighbour.Close()
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
		runtime.Gosched() // the connection meets the shortage
	}
	if again := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || again != nil {
		t.Fatal(err, again)
	}
	if _, err := neighbour.Write(frame(message.Message{From: 9, To: 1, Kind: 77})); err != nil {
		t.Fatal(err)
	}
	select {
	case <-got:
	case <-time.After(10 * time.Second):
		t.Error("the node is deaf")
	}
}

// A connection whose other side acknowledges nothing is given up soon, those that this node made and those that it took.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
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
	giveUpSilent(conn)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, option := range []struct{ level, name, want int }{
		{syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentFor / time.Millisecond)},
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, int(probes.Idle / time.Second)},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, int(probes.Interval / time.Second)},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, probes.Count},
	} {
		_ = raw.Control(func(fd uintptr) {
			if got, err := syscall.GetsockoptInt(int(fd), option.level, option.name); err != nil || got != option.want {
				t.Errorf("option %d of level %d is %d, want %d (%v)", option.name, option.level, got, option.want, err)
			}
		})
	}
}
