package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState is what a look at a socket shows.
type socketState uint8

const (
	socketQuiet    socketState = iota // open, and nothing to read
	socketReadable                    // bytes wait to be read
	socketClosed                      // closed or reset by the other side, even behind bytes, or closed here
	socketUnknown                     // no socket that can be looked at
)

// peek looks at a connection's socket without waiting and without taking bytes. Deadlines don't matter to it: a read
// deadline that has passed says nothing about the other side.
func peek(c net.Conn) socketState {
	s, ok := c.(syscall.Conn)
	if !ok {
		return socketUnknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return socketClosed
	}
	state := socketClosed
	err = raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) })
	if err != nil {
		return socketClosed
	}
	return state
}

func peekDescriptor(fd int) socketState {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return socketQuiet
		case err != nil || n == 0:
			return socketClosed
		case endLiesBehind(fd):
			return socketClosed
		}
		return socketReadable
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

// HungUp looks, without waiting or taking anything, whether the other side has closed its connection. Closing the
// write side alone looks the same.
func HungUp(c net.Conn) bool { return peek(c) == socketClosed }
