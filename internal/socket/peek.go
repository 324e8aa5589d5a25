// Package socket looks at the other side of a connection without waiting for it.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a look at a socket shows.
type State uint8

// What there is to see.
const (
	Idle     State = iota // open, and nothing to read
	Readable              // bytes wait to be read
	Closed                // closed or reset by the other side, even behind bytes, or closed here
	Unknown               // no socket that can be looked at
)

// Peek looks at a connection's socket without waiting and without taking bytes. Deadlines don't matter to it: a read
// deadline that has passed says nothing about the other side.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peekDescriptor(fd int) State {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return Idle
		case err != nil || n == 0:
			return Closed
		case endLiesBehind(fd):
			return Closed
		}
		return Readable
	}
}

// endLiesBehind says whether the other side has closed its connection behind bytes that wait to be read.
func endLiesBehind(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
	}
}

// PeerClosed looks, without waiting or taking anything, whether the other side has closed its connection. Closing the
// write side alone looks the same.
func PeerClosed(c net.Conn) bool { return Peek(c) == Closed }
