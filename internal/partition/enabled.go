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

// buildMark stands in every program built so, and in no other.
const buildMark = "seamshunt: built for being cut off"

var rules struct {
	sync.Mutex
	at   time.Time
	lost map[string]int
}

// lossPercent gives the percentage of what is lost on the way to an address. The file is read again every 50 ms.
func lossPercent(addr string) int {
	path := os.Getenv(FileEnv)
	if path == "" {
		return 0
	}
	rules.Lock()
	defer rules.Unlock()
	if time.Since(rules.at) > 50*time.Millisecond {
		if rules.at.IsZero() {
			fmt.Fprintln(os.Stderr, buildMark)
		}
		rules.at = time.Now()
		if b, err := os.ReadFile(path); err == nil {
			rules.lost = map[string]int{}
			for s := bufio.NewScanner(strings.NewReader(string(b))); s.Scan(); {
				var a string
				var n int
				if k, _ := fmt.Sscan(s.Text(), &a, &n); k == 2 {
					rules.lost[a] = n
				}
			}
		}
	}
	return rules.lost[addr]
}

// ShouldDrop says whether a note to an address is lost on its way.
func ShouldDrop(addr string) bool {
	percent := lossPercent(addr)
	return percent > 0 && rand.IntN(100) < percent
}

// Dial opens a connection; through a cut nothing comes back, not even a refusal.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	return DialContext(context.Background(), addr, timeout)
}

// DialContext opens a connection, unless the context ends first.
func DialContext(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	deadline := time.Now().Add(timeout)
	if !waitUntilReachable(ctx, addr, deadline) {
		return nil, os.ErrDeadlineExceeded
	}
	dialer := net.Dialer{Deadline: deadline}
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: netConn.(*net.TCPConn), addr: addr}
	c.deadline.Store(time.Now().Add(time.Hour).UnixNano())
	return c, nil
}

// waitUntilReachable waits until an address is not wholly cut off.
func waitUntilReachable(ctx context.Context, addr string, deadline time.Time) bool {
	for lossPercent(addr) >= 100 {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// conn holds its bytes back while its other end is cut off, as a net that sends them again later would.
type conn struct {
	*net.TCPConn
	addr     string
	deadline atomic.Int64 // the deadline, in nanoseconds of the clock
}

func (c *conn) SetDeadline(t time.Time) error {
	c.deadline.Store(t.UnixNano())
	return c.TCPConn.SetDeadline(t)
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if !waitUntilReachable(context.Background(), c.addr, time.Unix(0, c.deadline.Load())) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if !waitUntilReachable(context.Background(), c.addr, time.Unix(0, c.deadline.Load())) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Write(b)
}

// Unwrap is the wire itself, for an event loop that wants its descriptor; Lost drops what is cut off there.
func Unwrap(c net.Conn) net.Conn { return c.(*conn).TCPConn }
