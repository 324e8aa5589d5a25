package transport

import (
	"bytes"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/klauspost/compress/s2"

	"seamshunt/internal/cluster/message"
)

// A long body that repeats itself goes packed and comes whole; a short one, or one that does not repeat, goes as it is.
func TestPackedFrames(t *testing.T) {
	noise := make([]byte, 4000)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	worker := `{"id":"i-7f3a91c2","address":"10.128.0.9:8080","zone":"akl-a","capacity":128},`
	for name, x := range map[string]struct {
		body  []byte
		short bool
	}{
		"short":   {[]byte("hello"), false},
		"empty":   {nil, false},
		"noise":   {noise, false},
		"workers": {[]byte(strings.Repeat(worker, 65)), true},
	} {
		b := frame(message.Message{From: 9, To: 1, Kind: 77, Body: x.body})
		h, err := readHead(b[:headLen])
		if err != nil || int(h.Len) != len(b)-headLen {
			t.Fatalf("%s: %v, %d of %d bytes", name, err, h.Len, len(b))
		}
		n, err := h.note(b[headLen:])
		if err != nil || !bytes.Equal(n.Body, x.body) || n.From != 9 || n.To != 1 || n.Kind != 77 {
			t.Errorf("%s: %v %v", name, n, err)
		}
		if x.short && len(b) > len(x.body)/8 || !x.short && h.Mark != mark {
			t.Errorf("%s: %d bytes of %d, mark %x", name, len(b), len(x.body), h.Mark)
		}
	}
}

// A packed body that can't be unpacked, or is larger than any note, is counted and dropped; its wire goes on.
func TestBadPacked(t *testing.T) {
	got := make(chan message.Message, 16)
	x := pair(t, func(n message.Message) { got <- n })
	c, err := net.Dial("tcp", x.addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	good := frame(message.Message{From: 9, To: 1, Kind: 77, Body: bytes.Repeat([]byte("ab"), 500)})
	broken := bytes.Clone(good)
	broken[len(broken)-1] ^= 0xff
	broken[headLen+3] ^= 0x55
	large := frame(message.Message{From: 9, To: 1, Kind: 77, Body: make([]byte, MaxBody+1)})
	if _, err := c.Write(bytes.Join([][]byte{broken, large, good}, nil)); err != nil {
		t.Fatal(err)
	}
	if n := <-got; len(n.Body) != 1000 {
		t.Errorf("a note of %d bytes came", len(n.Body))
	}
	if x.BadFrames.Load() != 2 {
		t.Errorf("%d bad frames counted", x.BadFrames.Load())
	}
}

// Whatever a packed frame holds, it gives a body or an error.
func FuzzPacked(f *testing.F) {
	f.Add(s2.Encode(nil, bytes.Repeat([]byte("ab"), 500)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := (head{Mark: packed, Len: uint32(len(b))}).note(b); err == nil && len(n.Body) > MaxBody {
			t.Errorf("%d bytes", len(n.Body))
		}
	})
}
