package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resolution is how coarsely a kernel notes when packets came: the longest tick of its clock.
const resolution = 10 * time.Millisecond

// synAckTimeout is how long the kernel waits before it answers a first packet once more; each further wait is twice as long.
const synAckTimeout = time.Second

// maxSynAckRetries bounds how many repeated answers are reckoned with: by then a connection is over a day old.
const maxSynAckRetries = 16

// Age gives how long ago, at the most, the kernel answered the first packet of a connection that was accepted and that nothing has
// been written to since. Its caller was still there when that answer came. Accepting tells less: the connection may have waited to
// be accepted, or to be completed, which a kernel goes on with after its process has left. False where the kernel doesn't tell.
func Age(c net.Conn) (time.Duration, bool) {
	info := tcpInfo(c)
	if info == nil {
		return 0, false
	}
	completed := time.Duration(info.Last_data_recv) * time.Millisecond // or, where nothing has come since, when it was completed
	return completed + handshake(info) + resolution, true
}

// handshake gives how long it took at the most from the kernel's answer to the first packet until the connection was completed.
func handshake(info *unix.TCPInfo) time.Duration {
	measured := time.Duration(info.Rtt) * time.Microsecond
	if info.Total_retrans == 0 {
		return measured
	}
	return max(measured, synAckTimeout<<(min(info.Total_retrans, maxSynAckRetries)+1)-synAckTimeout)
}

// tcpInfo gives what the kernel knows of a connection; nil if it doesn't tell.
func tcpInfo(c net.Conn) *unix.TCPInfo {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optionErr != nil {
		return nil
	}
	return info
}
