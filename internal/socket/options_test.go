package socket

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The option is set in milliseconds; a connection without a socket is ignored.
func TestSetUserTimeout(t *testing.T) {
	local, _ := tcpPair(t)
	SetUserTimeout(local, 1500*time.Millisecond)
	raw, err := local.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var set int
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		set, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	if set != 1500 {
		t.Errorf("%d ms", set)
	}
	other, _ := net.Pipe()
	SetUserTimeout(other, time.Second)
}
