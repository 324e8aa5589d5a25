package transport

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// acceptConns listens on an address and returns it with a channel of the accepted connections.
func acceptConns(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			accepted <- c
		}
	}()
	return l.Addr().String(), accepted
}

func readBody(t *testing.T, c net.Conn) []byte {
	t.Helper()
	b := make([]byte, headerLen)
	if _, err := io.ReadFull(c, b); err != nil {
		t.Fatal(err)
	}
	h, err := decodeHeader(b)
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, h.Len)
	if _, err := io.ReadFull(c, body); err != nil {
		t.Fatal(err)
	}
	n, err := h.decodeMessage(body)
	if err != nil {
		t.Fatal(err)
	}
	return n.Body
}

// More data than the socket buffers hold is sent while the reader doesn't read. All of it arrives complete and in order,
// whether the sender or the event loop wrote it, and afterwards the sender writes directly again.
func TestSlowReader(t *testing.T) {
	transport := openTransport(t, func(message.Message) {})
	addr, accepted := acceptConns(t)
	transport.SetAddr(2, addr)
	transport.Send(message.Message{To: 2, Kind: 77, Body: make([]byte, 4)})
	c := <-accepted
	defer c.Close()
	readBody(t, c)
	body := func(i int) []byte { // no repetition, so that it isn't compressed
		b := make([]byte, 60000)
		for j := 0; j < len(b); j += 4 {
			binary.LittleEndian.PutUint32(b[j:], uint32(i*len(b)+j)*2654435761)
		}
		binary.LittleEndian.PutUint32(b, uint32(i))
		return b
	}
	const count = 400
	for i := range count {
		transport.Send(message.Message{To: 2, Kind: 77, Body: body(i)})
	}
	transport.mu.Lock()
	l := transport.conns[addr].link
	transport.mu.Unlock()
	l.mu.Lock()
	buffered := l.buffered
	l.mu.Unlock()
	if !buffered {
		t.Fatal("the socket accepted everything immediately: the event loop was not used")
	}
	for i := range count {
		if b := readBody(t, c); len(b) != 60000 || binary.LittleEndian.Uint32(b) != uint32(i) {
			t.Fatalf("message %d has the wrong content", i)
		}
	}
	for i := 0; buffered; i++ { // after each message the loop checks whether it has data left to write
		transport.Send(message.Message{To: 2, Kind: 77, Body: make([]byte, 8)})
		readBody(t, c)
		l.mu.Lock()
		buffered = l.buffered && i < 1000
		l.mu.Unlock()
		if i == 1000 {
			t.Fatal("the sender never writes directly again")
		}
	}
}

// A connection that the peer closed is redialed, and nothing is written to its old descriptor, which may have been reused.
func TestClosedConnectionIsRedialed(t *testing.T) {
	transport := openTransport(t, func(message.Message) {})
	addr, accepted := acceptConns(t)
	transport.SetAddr(2, addr)
	for i := range 5 {
		var c net.Conn
		for c == nil { // messages sent before the close is detected are lost
			transport.Send(message.Message{To: 2, Kind: 77, Body: []byte{byte(i)}})
			select {
			case c = <-accepted:
			case <-time.After(time.Millisecond):
			}
		}
		if b := readBody(t, c); len(b) != 1 || b[0] != byte(i) {
			t.Fatalf("connection %d received %v", i, b)
		}
		c.Close()
	}
}

// A link accepts no data before it is open or after it is closed.
func TestClosedLink(t *testing.T) {
	l := &link{}
	if l.send([]byte("x")) {
		t.Error("a link that is not open accepted data")
	}
	l.close()
	if l.send([]byte("x")) {
		t.Error("a closed link accepted data")
	}
}
