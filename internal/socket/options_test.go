package socket

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel is told in milliseconds; what is no socket is left alone.
func TestGiveUpAfter(t *testing.T) {
	here, _ := pair(t)
	SetUserTimeout(here, 1500*time.Millisecond)
	raw, err := here.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var set int
	var asked error
	if err := raw.Control(func(fd uintptr) { set, asked = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || asked != nil {
		t.Fatal(err, asked)
	}
	if set != 1500 {
		t.Errorf("%d ms", set)
	}
	other, _ := net.Pipe()
	SetUserTimeout(other, time.Second)
}
