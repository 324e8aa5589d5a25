package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout has the kernel end a connection once what was sent on it has gone unacknowledged for so long (TCP_USER_TIMEOUT). It does
// nothing to what is no TCP connection.
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
