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

// scriptedConn is a connection that returns its data in chunks of the given sizes and then ends.
type scriptedConn struct {
	net.Conn
	data  []byte
	sizes []byte
	reads int
}

func (s *scriptedConn) Read(b []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := len(b)
	if len(s.sizes) > 0 {
		n = min(n, 1+int(s.sizes[s.reads%len(s.sizes)]))
		s.reads++
	}
	n = copy(b[:n], s.data)
	s.data = s.data[n:]
	return n, nil
}

func (s *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// exchangeWithAnswer returns an exchange whose request, with the given id, has just been written.
func exchangeWithAnswer(answer, id string, sizes ...byte) *Exchange {
	q := &fasthttp.Request{}
	q.Header.SetMethod("POST")
	x := &Exchange{dispatch: Dispatch{ID: id, Request: q}, Response: &fasthttp.Response{}}
	x.conn = &conn{Conn: &scriptedConn{data: []byte(answer), sizes: sizes}}
	x.reader = bufio.NewReaderSize(x.conn, bufferSize)
	return x
}

// For any bytes, split in any way: what is accepted as a complete answer is also one to net/http, with the same status, id
// and body.
func FuzzAnswer(f *testing.F) {
	const a = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
	f.Add([]byte(a+"Content-Length: 3\r\n\r\nabc"), []byte{0})
	f.Add([]byte(a+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), []byte{3})
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 1\r\n\r\nx"+a+"Content-Length: 0\r\n\r\n"), []byte{7})
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), []byte{2})
	f.Fuzz(func(t *testing.T, s, sizes []byte) {
		run := func(sizes []byte) (*Exchange, []byte, error) {
			x := exchangeWithAnswer(string(s), "a", sizes...)
			if err := x.awaitAnswer(headerNames); err != nil {
				return x, nil, err
			}
			b, err := io.ReadAll(x.bodyReader())
			return x, b, err
		}
		x, b, err := run(nil)
		y, c, errY := run(sizes)
		if (err == nil) != (errY == nil) || x.Outcome != y.Outcome || !bytes.Equal(b, c) {
			t.Fatalf("the result depends on the split: %d %q %v, %d %q %v", x.Outcome, b, err, y.Outcome, c, errY)
		}
		if err != nil || x.Outcome != Partial {
			return
		}
		if id := string(x.Response.Header.Peek("Attempt-Id")); id != "a" {
			t.Fatalf("an answer to %q was accepted", id)
		}
		r := bufio.NewReader(bytes.NewReader(s))
		for {
			z, err := http.ReadResponse(r, &http.Request{Method: "POST"})
			if err != nil {
				return // net/http is stricter here
			}
			d, err := io.ReadAll(z.Body)
			if err != nil {
				return
			}
			if z.StatusCode < 200 || z.Header.Get("Attempt-Id") != "a" {
				continue
			}
			if !bytes.Equal(b, d) || z.StatusCode != x.Response.StatusCode() {
				t.Fatalf("net/http reads %s, not %s", fmt.Sprint(z.StatusCode, d), fmt.Sprint(x.Response.StatusCode(), b))
			}
			return
		}
	})
}
