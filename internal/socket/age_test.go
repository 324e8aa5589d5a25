package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"seamshunt/internal/netfault"
)

// A connection that its caller's kernel completes late is as old as the answer to its first packet, not as its acceptance.
func TestAgeOfALateConnection(t *testing.T) {
	ln, err := netfault.ListenDeferred()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	there, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	connected := time.Now()
	if err := ln.Hold(); err != nil {
		t.Fatal(err)
	}
	if _, err := there.Write([]byte("order")); err != nil {
		t.Fatal(err)
	}
	here, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	atLeast := time.Since(connected)
	if age, known := Age(here); !known || age < atLeast {
		t.Errorf("its age is %v, %v; it was connected %v ago", age, known, atLeast)
	}
	got := make([]byte, len("order"))
	if _, err := io.ReadFull(here, got); err != nil || string(got) != "order" {
		t.Errorf("%q %v", got, err)
	}
}

// A connection that waits to be accepted is as old as what came on it first.
func TestAgeOfAConnectionThatWaited(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled := time.Now()
	there, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	connected := time.Now()
	here, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	atLeast := time.Since(connected)
	if age, known := Age(here); !known || age < atLeast || age > time.Since(dialled)+2*resolution {
		t.Errorf("its age is %v, %v; it was connected %v ago", age, known, atLeast)
	}
	if _, known := Age(&net.UnixConn{}); known {
		t.Error("a connection without a kernel's knowledge has an age")
	}
}

// Where the first packet was answered more than once, the caller may have heard the first answer.
func TestHandshakeWithRepeatedAnswers(t *testing.T) {
	for _, x := range []struct {
		rtt, repeated uint32
		want          time.Duration
	}{
		{rtt: 250, want: 250 * time.Microsecond},
		{rtt: 900_000, want: 900 * time.Millisecond},
		{repeated: 1, want: 3 * time.Second},
		{repeated: 2, want: 7 * time.Second},
		{rtt: 9_000_000, repeated: 2, want: 9 * time.Second},
		{repeated: 255, want: (1<<(repeatsMost+1) - 1) * time.Second},
	} {
		if got := handshake(&unix.TCPInfo{Rtt: x.rtt, Total_retrans: x.repeated}); got != x.want {
			t.Errorf("measured %d us, %d times repeated: %v, want %v", x.rtt, x.repeated, got, x.want)
		}
	}
}
