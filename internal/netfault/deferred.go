package netfault

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// deferSeconds is how long the kernel waits for the first data on a connection before it completes the connection without.
const deferSeconds = 60

// DeferredListener is a loopback listener that holds connections between the SYN-ACK and the completion of their
// handshake, as packet loss does. Clients see the connection as established and send data. The listener receives the data
// only after the first call of Accept, when the client's kernel retransmits it.
type DeferredListener struct {
	net.Listener
	mu          sync.Mutex
	queueFiller net.Conn // fills the queue of completed connections
}

// ListenDeferred opens a DeferredListener.
func ListenDeferred() (*DeferredListener, error) {
	inner, err := listenWithShortestQueue()
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

// Hold fills the queue of completed connections, so that none of the earlier connections completes until Accept is called.
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
	l.queueFiller = c
	return nil
}

// Accept returns the next connection. The first call releases the held connections.
func (l *DeferredListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.closeFiller(c) {
			return c, err
		}
	}
}

// closeFiller reports whether a connection is the one that fills the queue, and closes it if so.
func (l *DeferredListener) closeFiller(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queueFiller == nil || l.queueFiller.LocalAddr().String() != c.RemoteAddr().String() {
		return false
	}
	l.queueFiller.Close()
	l.queueFiller = nil
	c.Close()
	return true
}

// Close closes the listener.
func (l *DeferredListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queueFiller != nil {
		l.queueFiller.Close()
	}
	return l.Listener.Close()
}
