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

// CONFIG: clients took all descriptors, and the router heard of nothing any more. They hold half of them at the most; one past that is
// told so at once, and one that leaves makes room.
func TestClientsLeaveDescriptorsToTheFleet(t *testing.T) {
	const files = 8
	b := &settings.Settings{Name: "n1", Zone: "z1", Addr: testutil.Addr(t), HTTPAddr: testutil.Addr(t), DrainMs: 1000, MaxDescriptors: files}
	v := New(b, nil)
	v.OnResume = nil
	if err := v.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", b.HTTPAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	// answer reads what a connection is told, after a request if there is one.
	answer := func(c net.Conn, request string) string {
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
	const request, served = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "not ready\n"
	var held []net.Conn
	for range files / 2 {
		c := dial()
		if got := answer(c, request); got != served {
			t.Fatalf("a connection within the bound: %s", got)
		}
		held = append(held, c)
	}
	if got := answer(dial(), ""); !strings.Contains(got, "cannot be served") {
		t.Errorf("one past the bound: %s", got)
	}
	held[0].Close()
	testutil.Until(t, "one that left makes room", func() bool {
		c := dial()
		defer c.Close()
		return answer(c, request) == served
	})
}
