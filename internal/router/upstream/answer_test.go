package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// script is a connection that gives its bytes in pieces and then ends.
type script struct {
	net.Conn
	b     []byte
	sizes []byte
	i     int
}

func (s *script) Read(b []byte) (int, error) {
	if len(s.b) == 0 {
		return 0, io.EOF
	}
	n := len(b)
	if len(s.sizes) > 0 {
		n = min(n, 1+int(s.sizes[s.i%len(s.sizes)]))
		s.i++
	}
	n = copy(b[:n], s.b)
	s.b = s.b[n:]
	return n, nil
}

func (s *script) SetDeadline(time.Time) error     { return nil }
func (s *script) SetReadDeadline(time.Time) error { return nil }

// given is an exchange whose request, of that id, has just been written.
func given(answer, id string, sizes ...byte) *Exchange {
	q := &fasthttp.Request{}
	q.Header.SetMethod("POST")
	x := &Exchange{o: Dispatch{ID: id, Request: q}, Response: &fasthttp.Response{}}
	x.c = &conn{Conn: &script{b: []byte(answer), sizes: sizes}}
	x.r = bufio.NewReaderSize(x.c, bufSize)
	return x
}

// Whatever bytes come and however they are split: what is taken for a whole answer is one to net/http too, with the
// same status, id and body.
func FuzzAnswer(f *testing.F) {
	const a = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
	f.Add([]byte(a+"Content-Length: 3\r\n\r\nabc"), []byte{0})
	f.Add([]byte(a+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), []byte{3})
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 1\r\n\r\nx"+a+"Content-Length: 0\r\n\r\n"), []byte{7})
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), []byte{2})
	f.Fuzz(func(t *testing.T, s, sizes []byte) {
		run := func(sizes []byte) (*Exchange, []byte, error) {
			x := given(string(s), "a", sizes...)
			if err := x.await(names); err != nil {
				return x, nil, err
			}
			b, err := io.ReadAll(x.rest())
			return x, b, err
		}
		x, b, err := run(nil)
		y, c, errY := run(sizes)
		if (err == nil) != (errY == nil) || x.Outcome != y.Outcome || !bytes.Equal(b, c) {
			t.Fatalf("split, it is another: %d %q %v, %d %q %v", x.Outcome, b, err, y.Outcome, c, errY)
		}
		if err != nil || x.Outcome != Partial {
			return
		}
		if id := string(x.Response.Header.Peek("Attempt-Id")); id != "a" {
			t.Fatalf("an answer of %q is taken", id)
		}
		r := bufio.NewReader(bytes.NewReader(s))
		for {
			z, err := http.ReadResponse(r, &http.Request{Method: "POST"})
			if err != nil {
				return // net/http is stricter with this one
			}
			d, err := io.ReadAll(z.Body)
			if err != nil {
				return
			}
			if z.StatusCode < 200 || z.Header.Get("Attempt-Id") != "a" {
				continue
			}
			if !bytes.Equal(b, d) || z.StatusCode != x.Response.StatusCode() {
				t.Fatalf("%s, not %s", fmt.Sprint(z.StatusCode, d), fmt.Sprint(x.Response.StatusCode(), b))
			}
			return
		}
	})
}
