package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
)

// Guards against clients using up all file descriptors, after which the router received no configuration updates any more.
// Clients may hold at most half of the descriptors. A connection beyond that is refused at once, and closing one makes
// room for another.
func TestClientConnectionsAreLimited(t *testing.T) {
	const files = 8
	s := &settings.Settings{Name: "n1", Zone: "z1", Addr: testutil.FreeAddr(t), HTTPAddr: testutil.FreeAddr(t), DrainMs: 1000, MaxDescriptors: files}
	v := New(s, nil)
	v.OnResume = nil
	if err := v.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	connect := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", s.HTTPAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	// readAnswer sends a request, which may be empty, and returns the body of the answer.
	readAnswer := func(c net.Conn, request string) string {
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write([]byte(request)); err != nil {
			return err.Error()
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err.Error()
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		return string(text)
	}
	// The router has no configuration, so a connection that is served gets the answer that it is not ready.
	const request, served = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "not ready\n"
	var held []net.Conn
	for range files / 2 {
		c := connect()
		if got := readAnswer(c, request); got != served {
			t.Fatalf("a connection within the limit: %s", got)
		}
		held = append(held, c)
	}
	if got := readAnswer(connect(), ""); !strings.Contains(got, "cannot be served") {
		t.Errorf("one beyond the limit: %s", got)
	}
	held[0].Close()
	testutil.WaitUntil(t, "a closed connection makes room", func() bool {
		c := connect()
		defer c.Close()
		return readAnswer(c, request) == served
	})
}
