//go:build !cuts

package partition

import (
	"context"
	"net"
	"time"
)

// Enabled reports whether this build can simulate partitions; shipped programs can't.
const Enabled = false

// ShouldDrop reports whether a message to an address has to be dropped.
func ShouldDrop(string) bool { return false }

// Dial opens a TCP connection.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

// DialContext opens a TCP connection unless the context ends first.
func DialContext(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Unwrap returns the TCP connection itself, for an event loop that needs its descriptor.
func Unwrap(c net.Conn) net.Conn { return c }
