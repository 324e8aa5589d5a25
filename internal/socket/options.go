package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout makes the kernel close a connection once sent data has been unacknowledged for this long (TCP_USER_TIMEOUT).
// It does nothing to a connection that isn't TCP.
func SetUserTimeout(c net.Conn, unacknowledged time.Duration) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged/time.Millisecond))
	})
}
