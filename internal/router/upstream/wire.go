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
	host   *host
	worker string
	era    int
	at     time.Time // when the last bytes came
	until  time.Time // an idle one's time
	ids    recentIDs // of its last requests
	sent   int64     // bytes that left, of this request
	err    error     // what ended its last read
	due    time.Time // the latest end of the order

	caller      Caller      // nil while it is idle
	stop        func() bool // ends the wait for the caller's end
	mu          sync.Mutex
	interrupted bool // the caller's end has come
}

// begin readies it for one order.
func (c *conn) begin(caller Caller, o *Dispatch) {
	c.ids.add(o.ID)
	c.sent, c.err, c.due, c.caller = 0, nil, o.Deadline, caller
	_ = c.SetDeadline(c.due)
	c.stop = context.AfterFunc(caller, c.interrupt)
}

// release lets go of the order's caller. False says that the caller's end has come meanwhile: the connection can't be used
// for another order.
func (c *conn) release() bool {
	if c.stop == nil {
		return true
	}
	free := c.stop()
	c.stop, c.caller = nil, nil
	return free
}

// interrupt ends all waits, those to come too.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// readUntil bounds reads by a time, unless the caller's end has come.
func (c *conn) readUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(t)
	}
}

// cause gives why a wait was ended: the caller's reason rather than the deadline that was set for it.
func (c *conn) cause(err error) error {
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
		c.at = time.Now()
		return n, nil // an error comes again
	}
	if err != nil {
		c.err = c.cause(err)
		return 0, c.err
	}
	return 0, nil
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent += int64(n)
	return n, c.cause(err)
}
