// Package units holds the small types for ids, versions, epochs and times (design 1).
package units

import (
	"hash/fnv"
	"strconv"
	"time"
)

// NodeID names one process: a random number for a router, the disk's id for a controller.
type NodeID uint64

func (n NodeID) String() string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[n>>(60-4*i)&15]
	}
	return string(b[:])
}

// Version numbers the changes of one key of the control state (design 4).
type Version uint64

// Epoch fences the owners of one key; the node breaks ties (design 2).
type Epoch struct {
	Number uint64
	Node   NodeID
}

// Less says whether e is older than o.
func (e Epoch) Less(o Epoch) bool {
	return e.Number < o.Number || e.Number == o.Number && e.Node < o.Node
}

// Time is an instant on a process's own monotonic clock, or on the simulator's.
// It never crosses a wire; spans do.
type Time int64

// Add gives the instant s later.
func (t Time) Add(s time.Duration) Time { return t + Time(s) }

// Sub gives the span from o to t.
func (t Time) Sub(o Time) time.Duration { return time.Duration(t - o) }

// Millis is a span in whole milliseconds, as it crosses wires.
type Millis uint32

// Duration turns m into a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ToMillis rounds a span down; below zero is zero.
func ToMillis(d time.Duration) Millis {
	if d < 0 {
		return 0
	}
	return Millis(d / time.Millisecond)
}

// Mix hashes parts into one number; equal parts give equal numbers on every node.
func Mix(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Hex writes a number as text for Mix and for people.
func Hex(x uint64) string { return strconv.FormatUint(x, 16) }
