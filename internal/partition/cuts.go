//go:build cuts

package partition

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Enabled says that this build can be cut off.
const Enabled = true

// mark stands in every program built so, and in no other.
const mark = "seamshunt: built for being cut off"

var table struct {
	sync.Mutex
	at   time.Time
	lost map[string]int
}

// share gives the percentage of what is lost on the way to an address. The file is read again every 50 ms.
func share(addr string) int {
	path := os.Getenv(FileEnv)
	if path == "" {
		return 0
	}
	table.Lock()
	defer table.Unlock()
	if time.Since(table.at) > 50*time.Millisecond {
		if table.at.IsZero() {
			fmt.Fprintln(os.Stderr, mark)
		}
		table.at = time.Now()
		if b, err := os.ReadFile(path); err == nil {
			table.lost = map[string]int{}
			for s := bufio.NewScanner(strings.NewReader(string(b))); s.Scan(); {
				var a string
				var n int
				if k, _ := fmt.Sscan(s.Text(), &a, &n); k == 2 {
					table.lost[a] = n
				}
			}
		}
	}
	return table.lost[addr]
}

// ShouldDrop says whether a note to an address is lost on its way.
func ShouldDrop(addr string) bool {
	n := share(addr)
	return n > 0 && rand.IntN(100) < n
}

// Dial opens a connection; through a cut nothing comes back, not even a refusal.
func Dial(addr string, limit time.Duration) (net.Conn, error) {
	return DialContext(context.Background(), addr, limit)
}

// DialContext opens a connection, unless the context ends first.
func DialContext(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	end := time.Now().Add(limit)
	if !open(ctx, addr, end) {
		return nil, os.ErrDeadlineExceeded
	}
	d := net.Dialer{Deadline: end}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	w := &wire{TCPConn: c.(*net.TCPConn), addr: addr}
	w.end.Store(time.Now().Add(time.Hour).UnixNano())
	return w, nil
}

// open waits until an address is not wholly cut off.
func open(ctx context.Context, addr string, end time.Time) bool {
	for share(addr) >= 100 {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// wire holds its bytes back while its other end is cut off, as a net that sends them again later would.
type wire struct {
	*net.TCPConn
	addr string
	end  atomic.Int64 // the deadline, in nanoseconds of the clock
}

func (w *wire) SetDeadline(t time.Time) error {
	w.end.Store(t.UnixNano())
	return w.TCPConn.SetDeadline(t)
}

func (w *wire) Read(b []byte) (int, error) {
	n, err := w.TCPConn.Read(b)
	if !open(context.Background(), w.addr, time.Unix(0, w.end.Load())) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

func (w *wire) Write(b []byte) (int, error) {
	if !open(context.Background(), w.addr, time.Unix(0, w.end.Load())) {
		return 0, os.ErrDeadlineExceeded
	}
	return w.TCPConn.Write(b)
}

// Unwrap is the wire itself, for an event loop that wants its descriptor; Lost drops what is cut off there.
func Unwrap(c net.Conn) net.Conn { return c.(*wire).TCPConn }
