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

// A long repetitive body is compressed and arrives unchanged. A short or incompressible one is sent as it is.
func TestFrameCompression(t *testing.T) {
	noise := make([]byte, 4000)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	worker := `{"id":"i-7f3a91c2","address":"10.128.0.9:8080","zone":"akl-a","capacity":128},`
	for name, test := range map[string]struct {
		body  []byte
		short bool
	}{
		"short":   {[]byte("hello"), false},
		"empty":   {nil, false},
		"noise":   {noise, false},
		"workers": {[]byte(strings.Repeat(worker, 65)), true},
	} {
		b := encodeFrame(message.Message{From: 9, To: 1, Kind: 77, Body: test.body})
		h, err := decodeHeader(b[:headerLen])
		if err != nil || int(h.Len) != len(b)-headerLen {
			t.Fatalf("%s: %v, %d of %d bytes", name, err, h.Len, len(b))
		}
		n, err := h.decodeMessage(b[headerLen:])
		if err != nil || !bytes.Equal(n.Body, test.body) || n.From != 9 || n.To != 1 || n.Kind != 77 {
			t.Errorf("%s: %v %v", name, n, err)
		}
		if test.short && len(b) > len(test.body)/8 || !test.short && h.Mark != plainMark {
			t.Errorf("%s: %d bytes of %d, mark %x", name, len(b), len(test.body), h.Mark)
		}
	}
}

// A compressed body that can't be decompressed, or that exceeds the maximum size, is counted and dropped. Its connection
// stays open.
func TestInvalidCompressedBody(t *testing.T) {
	received := make(chan message.Message, 16)
	transport := openTransport(t, func(n message.Message) { received <- n })
	c, err := net.Dial("tcp", transport.addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	good := encodeFrame(message.Message{From: 9, To: 1, Kind: 77, Body: bytes.Repeat([]byte("ab"), 500)})
	broken := bytes.Clone(good)
	broken[len(broken)-1] ^= 0xff
	broken[headerLen+3] ^= 0x55
	large := encodeFrame(message.Message{From: 9, To: 1, Kind: 77, Body: make([]byte, MaxBody+1)})
	if _, err := c.Write(bytes.Join([][]byte{broken, large, good}, nil)); err != nil {
		t.Fatal(err)
	}
	if n := <-received; len(n.Body) != 1000 {
		t.Errorf("received a body of %d bytes", len(n.Body))
	}
	if transport.BadFrames.Load() != 2 {
		t.Errorf("%d bad frames counted, want 2", transport.BadFrames.Load())
	}
}

// Any compressed frame decodes to a body of at most the maximum size or to an error.
func FuzzPacked(f *testing.F) {
	f.Add(s2.Encode(nil, bytes.Repeat([]byte("ab"), 500)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := (frameHeader{Mark: compressedMark, Len: uint32(len(b))}).decodeMessage(b); err == nil && len(n.Body) > MaxBody {
			t.Errorf("%d bytes", len(n.Body))
		}
	})
}
