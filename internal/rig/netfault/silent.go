// Package netfault makes faults of a network that tests can't get from an ordinary listener.
package netfault

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// fillerLimit is how long an attempt to connect may take while the queue is filled; on loopback one that is answered takes far
// less.
const fillerLimit = 100 * time.Millisecond

// SilentListener is an address that answers no attempt to connect, like a machine without power, until its first Accept.
type SilentListener struct {
	net.Listener
	fillers map[string]bool // addresses of the connections that fill its queue
}

// Silent gives such an address: its queue of new connections is full, so the kernel drops what else comes.
func Silent(t testing.TB) *SilentListener {
	t.Helper()
	l := &SilentListener{Listener: listenWithoutQueue(t), fillers: map[string]bool{}}
	t.Cleanup(func() { l.Close() })
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillerLimit)
		if err != nil {
			return l
		}
		t.Cleanup(func() { c.Close() })
		l.fillers[c.LocalAddr().String()] = true
	}
}

// listenWithoutQueue listens with the shortest queue that the kernel allows.
func listenWithoutQueue(t testing.TB) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "silent listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Accept gives the next connection, those apart that filled the queue. Once it was called the address is silent no more.
func (l *SilentListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.fillers[c.RemoteAddr().String()] {
			return c, err
		}
		c.Close()
	}
}
