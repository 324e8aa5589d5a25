package upstream

import (
	"errors"
	"net"
	"os"
	"time"
)

const lookEvery = 50 * time.Millisecond

// conn is a connection to a worker. While an order watches it, its reads and writes wait in steps, so that a caller
// that is gone is noticed without a goroutine.
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
	due    time.Time
	quiet  time.Duration
	silent time.Time // when a head is late
	gone   func() bool
	steps  bool
}

// begin readies it for one order.
func (c *conn) begin(o *Order) {
	c.ids.add(o.ID)
	c.sent, c.err, c.due, c.gone = 0, nil, o.Due, o.Gone
	c.quiet, c.silent = o.Quiet, time.Time{}
	c.watch(o.Gone != nil)
}

// hush is called once the request is written: from then on a head is awaited.
func (c *conn) hush() {
	if c.quiet > 0 {
		c.silent = time.Now().Add(c.quiet)
		c.steps = true
	}
}

// watch says whether the waits go in steps; without them the latest end alone bounds them.
func (c *conn) watch(on bool) {
	c.steps = on
	if !on {
		c.gone, c.silent = nil, time.Time{}
	}
	_ = c.Conn.SetDeadline(c.due)
}

// check gives why to wait no longer.
func (c *conn) check(now time.Time) error {
	switch {
	case !now.Before(c.due):
		return os.ErrDeadlineExceeded
	case !c.silent.IsZero() && !now.Before(c.silent):
		return ErrSilent
	case c.gone != nil && c.gone():
		return ErrGone
	}
	return nil
}

func (c *conn) step() time.Time {
	t := c.due
	if c.gone != nil {
		t = earlier(t, time.Now().Add(lookEvery))
	}
	if !c.silent.IsZero() {
		t = earlier(t, c.silent)
	}
	return t
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		if c.steps {
			_ = c.SetReadDeadline(c.step())
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.at = time.Now()
		}
		if n > 0 || err == nil {
			return n, nil // an error comes again
		}
		if c.steps && errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.check(time.Now()); err == nil {
				continue
			}
		}
		c.err = err
		return 0, err
	}
}

func (c *conn) Write(b []byte) (int, error) {
	all := 0
	for {
		if c.steps {
			_ = c.SetWriteDeadline(c.step())
		}
		n, err := c.Conn.Write(b[all:])
		c.sent += int64(n)
		all += n
		if c.steps && all < len(b) && errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.check(time.Now()); err == nil {
				continue
			}
		}
		return all, err
	}
}
