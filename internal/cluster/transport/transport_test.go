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

func pair(t *testing.T, take func(message.Message)) *Transport {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	c := tasks.New(clockwork.NewRealClock(), 1)
	x, err := Open(1, addr, c, Handlers{Receive: take})
	if err != nil {
		t.Fatal(err)
	}
	x.SetAddr(1, addr)
	t.Cleanup(func() { x.Close(); c.Stop(time.Second) })
	return x
}

// Bad frames close their wire and are counted; the process lives, and good wires go on (design 1).
func TestBadFrames(t *testing.T) {
	got := make(chan message.Message, 16)
	x := pair(t, func(n message.Message) { got <- n })
	addr := x.addrs[1]
	good := frame(message.Message{From: 9, To: 1, Kind: 77, Body: []byte("hello")})
	huge := append([]byte(nil), good...)
	huge[3] = 0xff
	mark := append([]byte(nil), good...)
	mark[4] ^= 1
	for name, b := range map[string][]byte{"oversized": huge, "wrong mark": mark, "noise": bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 4)} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		bad := x.BadFrames.Load()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, c); n != 0 || err != nil && !bytes.Contains([]byte(err.Error()), []byte("reset")) {
			t.Errorf("%s: the wire is not closed: %v", name, err)
		}
		if x.BadFrames.Load() != bad+1 {
			t.Errorf("%s is not counted", name)
		}
		c.Close()
	}
	// A frame that comes byte by byte, and two at once, are whole notes; one meant for another process is not taken.
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
	other := frame(message.Message{From: 9, To: 2, Kind: 78})
	if _, err := c.Write(append(append(append([]byte(nil), other...), good...), good...)); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if n := <-got; n.Kind != 77 || string(n.Body) != "hello" || n.From != 9 {
			t.Errorf("note %d is %v", i, n)
		}
	}
}

// Refusal by an address is told, since it proves that the process there has ended.
func TestRefused(t *testing.T) {
	free, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	x := pair(t, func(message.Message) {})
	said := make(chan string, 1)
	x.handlers.ConnectionRefused = func(a string) { said <- a }
	x.Send(message.Message{Addr: free, Kind: 77})
	select {
	case a := <-said:
		if a != free {
			t.Errorf("said of %s", a)
		}
	case <-time.After(10 * time.Second):
		t.Error("never told")
	}
}

// Whatever bytes a note holds, unpacking gives an error or a value and never a panic.
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
