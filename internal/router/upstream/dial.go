package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"seamshunt/internal/shield"
	"seamshunt/internal/socket"
)

const (
	dialTimeout = 500 * time.Millisecond
	ackTimeout  = 3 * time.Second // what was sent is acknowledged within it, or the machine is dark
)

// Stats counts what became of connections and requests.
type Stats struct {
	Connected atomic.Uint64
	Refused   atomic.Uint64 // nobody listens there
	TimedOut  atomic.Uint64 // nothing answered within the span for connecting
	Cancelled atomic.Uint64 // nobody waited for the connection any more
	Abandoned atomic.Uint64 // requests that were not sent, since nobody waited when the connection was there
}

// dial makes a connection. Go sets TCP_NODELAY itself.
func (p *Pool) dial(ctx context.Context, dispatch *Dispatch) (*conn, error) {
	left := time.Until(dispatch.Deadline)
	if left <= 0 {
		return nil, fmt.Errorf("upstream: no time left to dial %s", dispatch.Addr)
	}
	netConn, err := shield.DialContext(ctx, dispatch.Addr, min(dialTimeout, left))
	if err != nil {
		return nil, p.dialError(ctx, err, left)
	}
	p.Stats.Connected.Add(1)
	socket.GiveUpAfter(netConn, ackTimeout)
	now := time.Now()
	return &conn{Conn: netConn, lastReadAt: now, idleUntil: now.Add(defaultIdleTime)}, nil
}

// dialError counts a connection that was not made, and gives the reason. A worker is silent only if it had the whole span.
func (p *Pool) dialError(ctx context.Context, err error, left time.Duration) error {
	if reason := context.Cause(ctx); reason != nil {
		p.Stats.Cancelled.Add(1)
		return reason
	}
	if connectionRefused(err) {
		p.Stats.Refused.Add(1)
		return err
	}
	p.Stats.TimedOut.Add(1)
	if left >= dialTimeout {
		return fmt.Errorf("%w: %w", errConnectTimeout, err)
	}
	return err
}

// errConnectTimeout says that a worker answered no attempt to connect within the whole span for it.
var errConnectTimeout = errors.New("upstream: no answer to an attempt to connect")

// connectionRefused says whether an attempt to connect failed because nobody listens there.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// unreachable says whether an attempt to connect failed for a reason that lies with the worker.
func unreachable(err error) bool { return connectionRefused(err) || errors.Is(err, errConnectTimeout) }
