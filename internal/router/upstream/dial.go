package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"seamshunt/internal/partition"
	"seamshunt/internal/socket"
)

const (
	dialTimeout = 500 * time.Millisecond
	ackTimeout  = 3 * time.Second // data not acknowledged for this long means that the machine is unreachable
)

// Stats counts connections made, failures to connect and abandoned requests.
type Stats struct {
	Connected atomic.Uint64
	Refused   atomic.Uint64 // no process listens there
	TimedOut  atomic.Uint64 // no answer within the time for connecting
	Cancelled atomic.Uint64 // the caller no longer waited for the connection
	Abandoned atomic.Uint64 // requests not sent, since the caller no longer waited when the connection was ready
}

// dial makes a connection. Go sets TCP_NODELAY itself.
func (p *Pool) dial(ctx context.Context, dispatch *Dispatch) (*conn, error) {
	left := time.Until(dispatch.Deadline)
	if left <= 0 {
		return nil, fmt.Errorf("upstream: no time left to dial %s", dispatch.Addr)
	}
	netConn, err := partition.DialContext(ctx, dispatch.Addr, min(dialTimeout, left))
	if err != nil {
		return nil, p.dialError(ctx, err, left)
	}
	p.Stats.Connected.Add(1)
	socket.SetUserTimeout(netConn, ackTimeout)
	now := time.Now()
	return &conn{Conn: netConn, lastReadAt: now, idleUntil: now.Add(defaultIdleTime)}, nil
}

// dialError counts a failure to connect and returns its reason. A timeout counts as errConnectTimeout only if the worker had
// the whole dialTimeout.
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

// errConnectTimeout reports that a worker didn't answer a connection attempt within the whole dialTimeout.
var errConnectTimeout = errors.New("upstream: connection attempt timed out")

// connectionRefused reports whether a connection attempt failed because no process listens there.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// unreachable reports whether a connection attempt failed for a reason on the worker's side.
func unreachable(err error) bool { return connectionRefused(err) || errors.Is(err, errConnectTimeout) }
