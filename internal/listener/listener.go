// Package listener accepts connections through a shortage of descriptors or memory: a server that ends at the first
// such error never takes a connection again.
package listener

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Waits between two tries while something is short.
const (
	minWait = 5 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

// retrying is a listener whose Accept outlasts shortages.
type retrying struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
	after  func(time.Duration) <-chan time.Time
}

// Listen opens a TCP address.
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

// Accept gives the next connection. Its error is for good.
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

// Close ends the listener, and an Accept that waits.
func (l *retrying) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isShortage says whether an error passes once something is given back.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
