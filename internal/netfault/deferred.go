package netfault

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// deferSeconds is how long the kernel waits for the first bytes on a connection before it completes it without them.
const deferSeconds = 60

// DeferredListener is a listener on loopback that holds connections up between the answer to their first packet and their completion, as a
// lossy link does: those who connect find themselves connected and send, and the listener hears of it after Release, when their
// kernel sends once more.
type DeferredListener struct {
	net.Listener
	mu     sync.Mutex
	filler net.Conn // fills the queue of completed connections
}

// ListenDeferred opens one.
func ListenDeferred() (*DeferredListener, error) {
	inner, err := listenWithoutQueue()
	if err != nil {
		return nil, fmt.Errorf("netfault: %w", err)
	}
	raw, err := inner.(syscall.Conn).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			err = os.NewSyscallError("setsockopt", unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferSeconds))
		})
	}
	if err != nil {
		inner.Close()
		return nil, fmt.Errorf("netfault: %w", err)
	}
	return &DeferredListener{Listener: inner}, nil
}

// Hold fills the queue, so that none of the connections made before is completed until Release.
func (l *DeferredListener) Hold() error {
	c, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		_, err = c.Write([]byte{0})
	}
	if err != nil {
		return fmt.Errorf("netfault: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.filler = c
	return nil
}

// Accept gives the next connection. The first call releases what is held.
func (l *DeferredListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.closeFiller(c) {
			return c, err
		}
	}
}

// closeFiller says whether a connection is the one that fills the queue, and closes it then.
func (l *DeferredListener) closeFiller(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filler == nil || l.filler.LocalAddr().String() != c.RemoteAddr().String() {
		return false
	}
	l.filler.Close()
	l.filler = nil
	c.Close()
	return true
}

// Close ends it.
func (l *DeferredListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filler != nil {
		l.filler.Close()
	}
	return l.Listener.Close()
}
