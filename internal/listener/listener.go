// Package listener provides a TCP listener that keeps accepting after a shortage of file descriptors or memory. A server whose
// Accept returned such an error would stop and never accept a connection again.
package listener

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Limits of the wait between two attempts during a shortage; it doubles after each.
const (
	minWait = 5 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

// retrying is a listener whose Accept retries during a shortage.
type retrying struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
	after  func(time.Duration) <-chan time.Time
}

// Listen listens on a TCP address.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return newRetrying(ln, time.After), nil
}

func newRetrying(ln net.Listener, after func(time.Duration) <-chan time.Time) *retrying {
	return &retrying{Listener: ln, closed: make(chan struct{}), after: after}
}

// Accept returns the next connection. Any error that it returns is permanent.
func (l *retrying) Accept() (net.Conn, error) {
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		c, err := l.Listener.Accept()
		if err == nil || !isShortage(err) {
			return c, err
		}
		select {
		case <-l.after(wait):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener, and ends an Accept that waits for a retry.
func (l *retrying) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isShortage reports whether an error is temporary, until descriptors or memory are released.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
