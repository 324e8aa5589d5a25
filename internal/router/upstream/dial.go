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
	dialMost = 500 * time.Millisecond
	ackMost  = 3 * time.Second // what was sent is acknowledged within it, or the machine is dark
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
func (p *Pool) dial(ctx context.Context, o *Dispatch) (*conn, error) {
	left := time.Until(o.Deadline)
	if left <= 0 {
		return nil, fmt.Errorf("upstream: no time left to dial %s", o.Addr)
	}
	nc, err := shield.DialContext(ctx, o.Addr, min(dialMost, left))
	if err != nil {
		return nil, p.dialFailed(ctx, err, left)
	}
	p.Stats.Connected.Add(1)
	socket.SetUserTimeout(nc, ackMost)
	now := time.Now()
	return &conn{Conn: nc, at: now, until: now.Add(idleFor)}, nil
}

// dialFailed counts a connection that was not made, and gives the reason. A worker is silent only if it had the whole span.
func (p *Pool) dialFailed(ctx context.Context, err error, left time.Duration) error {
	if reason := context.Cause(ctx); reason != nil {
		p.Stats.Cancelled.Add(1)
		return reason
	}
	if refused(err) {
		p.Stats.Refused.Add(1)
		return err
	}
	p.Stats.TimedOut.Add(1)
	if left >= dialMost {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

// errSilent says that a worker answered no attempt to connect within the whole span for it.
var errSilent = errors.New("upstream: no answer to an attempt to connect")

// refused says whether an attempt to connect failed because nobody listens there.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// unreachable says whether an attempt to connect failed for a reason that lies with the worker.
func unreachable(err error) bool { return refused(err) || errors.Is(err, errSilent) }
