package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"seamshunt/internal/netfault"
)

// The age of a connection whose handshake the client's kernel completes late counts from the answer to its SYN, not from Accept.
func TestAgeCountsFromFirstSynAck(t *testing.T) {
	ln, err := netfault.ListenDeferred()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	connectedAt := time.Now()
	if err := ln.Hold(); err != nil {
		t.Fatal(err)
	}
	if _, err := dialed.Write([]byte("order")); err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	minAge := time.Since(connectedAt)
	if age, known := Age(accepted); !known || age < minAge {
		t.Errorf("its age is %v, %v; it was connected %v ago", age, known, minAge)
	}
	got := make([]byte, len("order"))
	if _, err := io.ReadFull(accepted, got); err != nil || string(got) != "order" {
		t.Errorf("%q %v", got, err)
	}
}

// The age of a connection that waited to be accepted counts from its handshake, not from Accept.
func TestAgeOfAConnectionThatWaitedForAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialedAt := time.Now()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	connectedAt := time.Now()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	minAge := time.Since(connectedAt)
	if age, known := Age(accepted); !known || age < minAge || age > time.Since(dialedAt)+2*resolution {
		t.Errorf("its age is %v, %v; it was connected %v ago", age, known, minAge)
	}
	if _, known := Age(&net.UnixConn{}); known {
		t.Error("a connection without information from the kernel has an age")
	}
}

// If the kernel sent the SYN-ACK more than once, the client may have received the first one.
func TestHandshakeWithRetransmittedSynAck(t *testing.T) {
	for _, x := range []struct {
		rtt, repeated uint32
		want          time.Duration
	}{
		{rtt: 250, want: 250 * time.Microsecond},
		{rtt: 900_000, want: 900 * time.Millisecond},
		{repeated: 1, want: 3 * time.Second},
		{repeated: 2, want: 7 * time.Second},
		{rtt: 9_000_000, repeated: 2, want: 9 * time.Second},
		{repeated: 255, want: (1<<(maxSynAckRetries+1) - 1) * time.Second},
	} {
		if got := handshake(&unix.TCPInfo{Rtt: x.rtt, Total_retrans: x.repeated}); got != x.want {
			t.Errorf("measured %d us, %d times repeated: %v, want %v", x.rtt, x.repeated, got, x.want)
		}
	}
}
