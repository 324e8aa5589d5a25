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

// Enabled reports whether this build can simulate partitions.
const Enabled = true

// buildMark is contained in every program built with the tag "cuts", and in no other.
const buildMark = "seamshunt: built for being cut off"

// rules holds the partition file as it was read last.
var rules struct {
	sync.Mutex
	readAt      time.Time
	lossPercent map[string]int // by address
}

// lossPercent returns the percentage of packets to an address that are lost. The file is read again every 50 ms.
func lossPercent(addr string) int {
	path := os.Getenv(FileEnv)
	if path == "" {
		return 0
	}
	rules.Lock()
	defer rules.Unlock()
	if time.Since(rules.readAt) > 50*time.Millisecond {
		if rules.readAt.IsZero() {
			fmt.Fprintln(os.Stderr, buildMark)
		}
		rules.readAt = time.Now()
		if b, err := os.ReadFile(path); err == nil {
			rules.lossPercent = map[string]int{}
			for s := bufio.NewScanner(strings.NewReader(string(b))); s.Scan(); {
				var address string
				var percent int
				if fields, _ := fmt.Sscan(s.Text(), &address, &percent); fields == 2 {
					rules.lossPercent[address] = percent
				}
			}
		}
	}
	return rules.lossPercent[addr]
}

// ShouldDrop reports whether a message to an address has to be dropped, which it decides at random by its loss rate.
func ShouldDrop(addr string) bool {
	percent := lossPercent(addr)
	return percent > 0 && rand.IntN(100) < percent
}

// Dial opens a TCP connection. During a partition it times out; no refusal arrives either.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	return DialContext(context.Background(), addr, timeout)
}

// DialContext opens a TCP connection unless the context ends first.
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

// waitUntilReachable waits until the loss on the way to an address is below 100 %. It reports false at the deadline or
// when the context ends.
func waitUntilReachable(ctx context.Context, addr string, deadline time.Time) bool {
	for lossPercent(addr) >= 100 {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// conn delays its bytes while its remote address is partitioned, as TCP does, which retransmits them later.
type conn struct {
	*net.TCPConn
	addr     string
	deadline atomic.Int64 // Unix time in nanoseconds
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

// Unwrap returns the TCP connection itself, for an event loop that needs its descriptor. Its bytes are not delayed:
// the event loop calls ShouldDrop instead.
func Unwrap(c net.Conn) net.Conn { return c.(*conn).TCPConn }
