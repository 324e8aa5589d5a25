// Package socket reads and sets the state of TCP connections in the kernel: whether the peer has closed, how old a connection is,
// and when the kernel gives up on it. Nothing in it blocks.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a socket that Peek returns.
type State uint8

// The states of a socket.
const (
	Idle     State = iota // open, without data to read
	Readable              // data is waiting to be read
	Closed                // closed or reset by the peer, even if data is still unread, or closed locally
	Unknown               // not a socket, so its state is unknown
)

// Peek returns the state of a connection's socket without blocking and without consuming data. It ignores deadlines, because a
// read deadline that has passed does not show the state of the peer.
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
		case closePending(fd):
			return Closed
		}
		return Readable
	}
}

// closePending reports whether the peer has closed the connection after data that is still unread.
func closePending(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
	}
}

// PeerClosed reports, without blocking or consuming data, whether the peer has closed its connection. A peer that closed only its
// write side looks the same.
func PeerClosed(c net.Conn) bool { return Peek(c) == Closed }
