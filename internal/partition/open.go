//go:build !cuts

package partition

import (
	"context"
	"net"
	"time"
)

// Enabled says whether this build can be cut off; shipped programs can't.
const Enabled = false

// ShouldDrop says whether a note to an address is lost on its way.
func ShouldDrop(string) bool { return false }

// Dial opens a connection.
func Dial(addr string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, limit)
}

// DialContext opens a connection, unless the context ends first.
func DialContext(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	return d.DialContext(ctx, "tcp", addr)
}

// Unwrap is the wire itself, for an event loop that wants its descriptor.
func Unwrap(c net.Conn) net.Conn { return c }
