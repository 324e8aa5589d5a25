package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection to a worker. While it serves an order, the end of that order's caller ends every wait on it.
type conn struct {
	net.Conn
	pooled     *workerConns
	worker     string
	generation int
	lastReadAt time.Time // when the last bytes came
	idleUntil  time.Time // an idle one's time
	recentIDs  recentIDs // of its last requests
	bytesSent  int64     // bytes that left, of this request
	readErr    error     // what ended its last read
	deadline   time.Time // the latest end of the order

	caller       Caller      // nil while it is idle
	stopWatching func() bool // ends the wait for the caller's end
	mu           sync.Mutex
	interrupted  bool // the caller's end has come
}

// startDispatch readies it for one order.
func (c *conn) startDispatch(caller Caller, dispatch *Dispatch) {
	c.recentIDs.add(dispatch.ID)
	c.bytesSent, c.readErr, c.deadline, c.caller = 0, nil, dispatch.Deadline, caller
	_ = c.SetDeadline(c.deadline)
	c.stopWatching = context.AfterFunc(caller, c.interrupt)
}

// releaseCaller lets go of the order's caller. False says that the caller's end has come meanwhile: the connection can't be used
// for another order.
func (c *conn) releaseCaller() bool {
	if c.stopWatching == nil {
		return true
	}
	stopped := c.stopWatching()
	c.stopWatching, c.caller = nil, nil
	return stopped
}

// interrupt ends all waits, those to come too.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// limitReads bounds reads by a time, unless the caller's end has come.
func (c *conn) limitReads(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(t)
	}
}

// cancelCause gives why a wait was ended: the caller's reason rather than the deadline that was set for it.
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
		return n, nil // an error comes again
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
