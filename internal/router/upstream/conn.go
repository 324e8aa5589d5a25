package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection to a worker. While it serves a dispatch, cancellation of the caller ends every wait on it.
type conn struct {
	net.Conn
	pooled     *workerConns
	worker     string
	generation int       // of its worker's connections when it was made
	lastReadAt time.Time // when bytes were last received
	idleUntil  time.Time // when an idle connection expires
	recentIDs  recentIDs
	bytesSent  int64     // of the current request
	readErr    error     // of the last read
	deadline   time.Time // of the current dispatch

	caller       Caller      // nil while the connection is idle
	stopWatching func() bool // stops watching for cancellation of the caller
	mu           sync.Mutex
	interrupted  bool // the caller was cancelled
}

// startDispatch prepares the connection for one dispatch.
func (c *conn) startDispatch(caller Caller, dispatch *Dispatch) {
	c.recentIDs.add(dispatch.ID)
	c.bytesSent, c.readErr, c.deadline, c.caller = 0, nil, dispatch.Deadline, caller
	_ = c.SetDeadline(c.deadline)
	c.stopWatching = context.AfterFunc(caller, c.interrupt)
}

// releaseCaller stops watching the caller. It returns false if the caller was cancelled meanwhile: the connection then can't
// be reused.
func (c *conn) releaseCaller() bool {
	if c.stopWatching == nil {
		return true
	}
	stopped := c.stopWatching()
	c.stopWatching, c.caller = nil, nil
	return stopped
}

// interrupt ends all current and future waits.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// limitReads sets a deadline for reads, unless the caller was cancelled.
func (c *conn) limitReads(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(t)
	}
}

// cancelCause returns why a wait ended: the caller's reason if it was cancelled, instead of the resulting deadline error.
func (c *conn) cancelCause(err error) error {
	if c.caller == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if reason := context.Cause(c.caller); reason != nil {
		return reason
	}
	return err
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReadAt = time.Now()
		return n, nil // an error is returned again by the next read
	}
	if err != nil {
		c.readErr = c.cancelCause(err)
		return 0, c.readErr
	}
	return 0, nil
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesSent += int64(n)
	return n, c.cancelCause(err)
}
