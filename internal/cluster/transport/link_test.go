package transport

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// listen gives an address where the wires of a transport end, one after the other.
func listen(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	got := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			got <- c
		}
	}()
	return l.Addr().String(), got
}

func read(t *testing.T, c net.Conn) []byte {
	t.Helper()
	b := make([]byte, headLen)
	if _, err := io.ReadFull(c, b); err != nil {
		t.Fatal(err)
	}
	h, err := readHead(b)
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, h.Len)
	if _, err := io.ReadFull(c, body); err != nil {
		t.Fatal(err)
	}
	n, err := h.note(body)
	if err != nil {
		t.Fatal(err)
	}
	return n.Body
}

// More than a wire holds while its reader does not read: all comes, whole and in order, whether its sender or the loop
// wrote it; and afterwards the sender writes by itself again.
func TestSlowReader(t *testing.T) {
	x := pair(t, func(message.Message) {})
	addr, got := listen(t)
	x.SetAddr(2, addr)
	x.Send(message.Message{To: 2, Kind: 77, Body: make([]byte, 4)})
	c := <-got
	defer c.Close()
	read(t, c)
	body := func(i int) []byte { // no two parts alike: it is not packed
		b := make([]byte, 60000)
		for j := 0; j < len(b); j += 4 {
			binary.LittleEndian.PutUint32(b[j:], uint32(i*len(b)+j)*2654435761)
		}
		binary.LittleEndian.PutUint32(b, uint32(i))
		return b
	}
	const many = 400
	for i := range many {
		x.Send(message.Message{To: 2, Kind: 77, Body: body(i)})
	}
	x.mu.Lock()
	l := x.wires[addr].link
	x.mu.Unlock()
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	if !slow {
		t.Fatal("the wire took it all at once: the test tests nothing")
	}
	for i := range many {
		if b := read(t, c); len(b) != 60000 || binary.LittleEndian.Uint32(b) != uint32(i) {
			t.Fatalf("note %d is another, or broken", i)
		}
	}
	for i := 0; slow; i++ { // each note that the loop finds nothing before sets it right
		x.Send(message.Message{To: 2, Kind: 77, Body: make([]byte, 8)})
		read(t, c)
		l.mu.Lock()
		slow = l.slow && i < 1000
		l.mu.Unlock()
		if i == 1000 {
			t.Fatal("the loop is never left again")
		}
	}
}

// A wire that the neighbour closed is dialled anew, and nothing is written to a descriptor that is no longer its own.
func TestClosedWireIsDialledAnew(t *testing.T) {
	x := pair(t, func(message.Message) {})
	addr, got := listen(t)
	x.SetAddr(2, addr)
	for i := range 5 {
		var c net.Conn
		for c == nil { // what is sent before the end is noticed is lost, as on any net
			x.Send(message.Message{To: 2, Kind: 77, Body: []byte{byte(i)}})
			select {
			case c = <-got:
			case <-time.After(time.Millisecond):
			}
		}
		if b := read(t, c); len(b) != 1 || b[0] != byte(i) {
			t.Fatalf("wire %d brought %v", i, b)
		}
		c.Close()
	}
}

// A link before its opening and behind its closing takes nothing.
func TestClosedLink(t *testing.T) {
	l := &link{}
	if l.send([]byte("x")) {
		t.Error("a link that is not open took something")
	}
	l.close()
	if l.send([]byte("x")) {
		t.Error("a closed link took something")
	}
}
