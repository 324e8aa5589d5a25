package transport

import (
	"errors"
	"sync"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// link is the sending side of a connection. The sending goroutine writes a message itself, in one system call. Only what
// the socket doesn't accept immediately goes through the event loop, as do later messages until the loop has nothing left
// to write. Sending every message through the loop would cost a wake-up and six system calls for each.
type link struct {
	mu            sync.Mutex
	c             gnet.Conn // nil before open and after close; fd is valid while it is set
	fd            int
	pendingWrites int  // writes queued for the event loop
	buffered      bool // the event loop may have data left to write
}

func (l *link) open(c gnet.Conn) {
	l.mu.Lock()
	l.c, l.fd = c, c.Fd()
	l.mu.Unlock()
}

// close is called by the event loop before it closes the descriptor.
func (l *link) close() {
	l.mu.Lock()
	l.c = nil
	l.mu.Unlock()
}

// send returns false if the connection is closed. Data sent on a broken connection is lost; the event loop detects that
// it is broken.
func (l *link) send(b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil {
		return false
	}
	if !l.buffered {
		n, err := syscall.Write(l.fd, b)
		switch {
		case n == len(b):
			return true
		case n < 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			return true
		}
		b, l.buffered = b[max(n, 0):], true
	}
	l.pendingWrites++
	if err := l.c.AsyncWrite(b, l.onWritten); err != nil {
		l.pendingWrites--
	}
	return true
}

// onWritten is called by the event loop after a queued write.
func (l *link) onWritten(c gnet.Conn, _ error) error {
	l.mu.Lock()
	l.pendingWrites--
	l.buffered = l.pendingWrites > 0 || l.c != nil && c.OutboundBuffered() > 0
	l.mu.Unlock()
	return nil
}
