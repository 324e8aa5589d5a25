package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resolution is the resolution of the kernel's packet timestamps: the longest tick of its clock.
const resolution = 10 * time.Millisecond

// synAckTimeout is how long the kernel waits before it sends a SYN-ACK again; each further wait is twice as long.
const synAckTimeout = time.Second

// maxSynAckRetries limits the number of retransmissions in the computation: after that many a connection is over a day old.
const maxSynAckRetries = 16

// Age returns an upper bound of the time since the kernel answered the SYN of an accepted connection to which nothing has been
// written yet. The client still existed when that answer arrived. The time of Accept proves less: the connection may have waited
// to be accepted, or for its handshake, which the client's kernel completes even after the client's process has exited. Age
// returns false if the kernel doesn't provide the information.
func Age(c net.Conn) (time.Duration, bool) {
	info := tcpInfo(c)
	if info == nil {
		return 0, false
	}
	// Last_data_recv counts from the last data or, if there was none, from the end of the handshake.
	completed := time.Duration(info.Last_data_recv) * time.Millisecond
	return completed + handshake(info) + resolution, true
}

// handshake returns an upper bound of the time from the kernel's first SYN-ACK until the handshake was complete.
func handshake(info *unix.TCPInfo) time.Duration {
	measured := time.Duration(info.Rtt) * time.Microsecond
	if info.Total_retrans == 0 {
		return measured
	}
	return max(measured, synAckTimeout<<(min(info.Total_retrans, maxSynAckRetries)+1)-synAckTimeout)
}

// tcpInfo returns the kernel's information about a connection, or nil if it provides none.
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
