package upstream

import (
	"slices"
	"sync"
	"time"
)

const (
	habitMost  = 256
	habitLeast = 32
	habitFloor = 300 * time.Millisecond
)

// FirstTokenTimes remembers the last times to first words, from the hand-over on (design 8).
type FirstTokenTimes struct {
	mu   sync.Mutex
	ring []time.Duration
	next int
}

// Add takes one.
func (h *FirstTokenTimes) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ring) < habitMost {
		h.ring = append(h.ring, d)
		return
	}
	h.ring[h.next] = d
	h.next = (h.next + 1) % habitMost
}

// Quantile gives the time that a share of them kept, and how many there are.
func (h *FirstTokenTimes) Quantile(q float64) (time.Duration, int) {
	h.mu.Lock()
	l := slices.Clone(h.ring)
	h.mu.Unlock()
	if len(l) == 0 {
		return 0, 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(q*float64(len(l))))], len(l)
}

// OverdueAfter gives how long first words may take before a worker is held to be dark: twice what 99 of 100 took. With too
// few measured there is no habit.
func (h *FirstTokenTimes) OverdueAfter() (time.Duration, bool) {
	d, n := h.Quantile(0.99)
	return max(2*d, habitFloor), n >= habitLeast
}
