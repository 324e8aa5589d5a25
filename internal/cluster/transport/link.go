package transport

import (
	"errors"
	"sync"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// link is one connection for sending. A note is written by whoever sends it, in one call; only what the connection does
// not take at once goes through the event loop, until that has nothing left to write. Going through the loop always
// costs a wake-up and six system calls a note.
type link struct {
	mu   sync.Mutex
	c    gnet.Conn // nil before it is open and once it is closed: the descriptor is valid in between
	fd   int
	pend int  // writes that are on their way to the loop
	slow bool // the loop may have something left to write
}

func (l *link) open(c gnet.Conn) {
	l.mu.Lock()
	l.c, l.fd = c, c.Fd()
	l.mu.Unlock()
}

// close is called by the loop before it closes the descriptor.
func (l *link) close() {
	l.mu.Lock()
	l.c = nil
	l.mu.Unlock()
}

// send says false when the connection is closed. What is sent on a broken one is lost; the loop finds it broken.
func (l *link) send(b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil {
		return false
	}
	if !l.slow {
		n, err := syscall.Write(l.fd, b)
		switch {
		case n == len(b):
			return true
		case n < 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			return true
		}
		b, l.slow = b[max(n, 0):], true
	}
	l.pend++
	if err := l.c.AsyncWrite(b, l.wrote); err != nil {
		l.pend--
	}
	return true
}

// wrote is called on the loop.
func (l *link) wrote(c gnet.Conn, _ error) error {
	l.mu.Lock()
	l.pend--
	l.slow = l.pend > 0 || l.c != nil && c.OutboundBuffered() > 0
	l.mu.Unlock()
	return nil
}
