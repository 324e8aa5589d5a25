package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/standin"
	"seamshunt/internal/tasks"
)

func openTransport(t *testing.T, receive func(message.Message)) *Transport {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	group := tasks.New(clockwork.NewRealClock(), 1)
	transport, err := Open(1, addr, group, Handlers{Receive: receive})
	if err != nil {
		t.Fatal(err)
	}
	transport.SetAddr(1, addr)
	t.Cleanup(func() { transport.Close(); group.Stop(time.Second) })
	return transport
}

// Invalid frames close their connection and are counted. The process and valid connections keep working
// (docs/design.md, section 1).
func TestBadFrames(t *testing.T) {
	received := make(chan message.Message, 16)
	transport := openTransport(t, func(n message.Message) { received <- n })
	addr := transport.addrs[1]
	good := encodeFrame(message.Message{From: 9, To: 1, Kind: 77, Body: []byte("hello")})
	huge := append([]byte(nil), good...)
	huge[3] = 0xff
	mark := append([]byte(nil), good...)
	mark[4] ^= 1
	for name, b := range map[string][]byte{"oversized": huge, "wrong mark": mark, "noise": bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 4)} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		bad := transport.BadFrames.Load()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, c); n != 0 || err != nil && !bytes.Contains([]byte(err.Error()), []byte("reset")) {
			t.Errorf("%s: the connection is not closed: %v", name, err)
		}
		if transport.BadFrames.Load() != bad+1 {
			t.Errorf("%s is not counted", name)
		}
		c.Close()
	}
	// A frame that arrives byte by byte and two that arrive together are decoded; one for another process is not delivered.
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range good {
		if _, err := c.Write(good[i : i+1]); err != nil {
			t.Fatal(err)
		}
	}
	other := encodeFrame(message.Message{From: 9, To: 2, Kind: 78})
	if _, err := c.Write(append(append(append([]byte(nil), other...), good...), good...)); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if n := <-received; n.Kind != 77 || string(n.Body) != "hello" || n.From != 9 {
			t.Errorf("message %d is %v", i, n)
		}
	}
}

// A refused connection is reported, since it proves that the process at that address has ended.
func TestConnectionRefusedIsReported(t *testing.T) {
	free, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	transport := openTransport(t, func(message.Message) {})
	reported := make(chan string, 1)
	transport.handlers.ConnectionRefused = func(a string) { reported <- a }
	transport.Send(message.Message{Addr: free, Kind: 77})
	select {
	case a := <-reported:
		if a != free {
			t.Errorf("reported for %s", a)
		}
	case <-time.After(10 * time.Second):
		t.Error("never reported")
	}
}

// Unpacking any bytes returns a value or an error and never panics.
func FuzzUnpack(f *testing.F) {
	type h struct {
		A uint64
		B uint16
	}
	f.Add(message.Pack(h{1, 2}, []byte("x"), []byte("yy")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var x h
		var p, q []byte
		if message.Unpack(b, &x, &p, &q) == nil {
			if again := message.Pack(x, p, q); !bytes.Equal(again, b) {
				t.Errorf("%v packs to other bytes", fmt.Sprint(x, p, q))
			}
		}
		_, _ = message.UnpackList(b)
	})
}
