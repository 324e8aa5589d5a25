package upstream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// split feeds a stream in pieces of the sizes given, in turn, and gives all that came out.
func split(e *EventStream, s []byte, sizes []byte) (out []byte, err error) {
	for i := 0; len(s) > 0; i++ {
		n := len(s)
		if len(sizes) > 0 {
			n = min(n, int(sizes[i%len(sizes)]))
		}
		b := bytes.Clone(s[:n])
		s = s[n:]
		o, err := e.Append(b)
		out = append(out, o...)
		clear(b) // whoever fed it uses it again
		if err != nil {
			return out, err
		}
		if n == 0 {
			sizes = nil
		}
	}
	return out, nil
}

func TestEventsWhole(t *testing.T) {
	for _, x := range []struct {
		in, out, last string
		n             int
		bad           bool
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 2, false},
		{"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", "id: 1\r\ndata: a\r\n\r\n", "1", 1, false},
		{"id:7\ndata\n\n: ping\n\n\nid: 9", "id:7\ndata\n\n: ping\n\n\n", "7", 1, false},
		{"weight-versions: 4\nid: 3\ndata: a\n\n", "weight-versions: 4\nid: 3\ndata: a\n\n", "3", 1, false},
		{"id: 9\ndata: a\n\nid: 10\ndata: b\n\n", "id: 9\ndata: a\n\nid: 10\ndata: b\n\n", "10", 2, false},
		{"id: 2\ndata: a\n\nid: 2\ndata: b\n\n", "id: 2\ndata: a\n\n", "2", 1, true},
		{"id: 2\ndata: a\n\nid: 1\ndata: b\n\nid: 3\n\n", "id: 2\ndata: a\n\n", "2", 1, true},
		{"id: x\ndata: a\n\n", "", "", 0, true},
		{"id: -1\n\n", "", "", 0, true},
		{"id: 1\ndata: a\n", "", "", 0, false},
		{"", "", "", 0, false},
	} {
		for size := range 7 {
			var e EventStream
			var sizes []byte
			if size > 0 {
				sizes = []byte{byte(size)}
			}
			out, err := split(&e, []byte(x.in), sizes)
			if string(out) != x.out || (err != nil) != x.bad || e.LastID != x.last || e.Count != x.n {
				t.Fatalf("%q in pieces of %d: %q, %v, last %s of %d", x.in, size, out, err, e.LastID, e.Count)
			}
			if !x.bad && e.PendingBytes() != len(x.in)-len(x.out) {
				t.Fatalf("%q: tail %d", x.in, e.PendingBytes())
			}
			if x.bad {
				if o, err := e.Append([]byte("id: 99\n\n")); len(o) > 0 || err == nil {
					t.Fatal("it goes on behind an error")
				}
			}
		}
	}
}

func TestEventsGoOnBehindLast(t *testing.T) {
	e := EventStream{LastID: "5"}
	if _, err := e.Append([]byte("id: 5\ndata: a\n\n")); err == nil {
		t.Fatal("a piece twice")
	}
	e = EventStream{LastID: "5"}
	if _, err := e.Append([]byte("id: 6\ndata: a\n\ndata: b\n\n")); err != nil || !e.HasEventWithoutID || e.Ended {
		t.Fatal(err, e.HasEventWithoutID)
	}
	if _, err := e.Append([]byte("event: end\nid: 7\ndata: c\n\n")); err != nil || !e.Ended || e.Count != 3 {
		t.Fatal(err, e.Ended)
	}
}

func TestEventsBound(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1017) + "\n"
	for _, size := range []int{1, 255} {
		var e EventStream
		out, err := split(&e, []byte(strings.Repeat(line, 1024)+"\n"), []byte{byte(size)})
		if err == nil || len(out) > 0 {
			t.Fatal("an event over the bound is let by")
		}
		e = EventStream{}
		if out, err = split(&e, []byte(strings.Repeat(line, 1023)+"\n"), []byte{byte(size)}); err != nil || len(out) == 0 {
			t.Fatal(err)
		}
	}
}

// However the same bytes are split, the same events come out, and they are a beginning of the bytes.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 2\n\n"), []byte{1, 3})
	f.Add([]byte("\n\r\n\n: x\n\nid\n\ndata\n\n"), []byte{2})
	f.Add([]byte("id:1\n\r\nid: 3\n\nid: 2"), []byte{0, 5})
	f.Fuzz(func(t *testing.T, s, sizes []byte) {
		var a, b EventStream
		x, errA := split(&a, s, nil)
		y, errB := split(&b, s, sizes)
		state := func(e *EventStream, err error) string {
			return fmt.Sprint(e.LastID, e.Count, e.HasEventWithoutID, e.Ended, err)
		}
		if !bytes.Equal(x, y) || state(&a, errA) != state(&b, errB) {
			t.Fatalf("%q and %q, %s and %s", x, y, state(&a, errA), state(&b, errB))
		}
		if !bytes.HasPrefix(s, x) || len(x) > 0 && x[len(x)-1] != '\n' {
			t.Fatalf("%q out of %q", x, s)
		}
		if errA == nil && a.PendingBytes() != len(s)-len(x) {
			t.Fatalf("tail %d of %q", a.PendingBytes(), s)
		}
	})
}
