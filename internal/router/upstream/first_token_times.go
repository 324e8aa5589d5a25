package upstream

import (
	"slices"
	"sync"
	"time"
)

const (
	maxSamples      = 256
	minSamples      = 32
	minOverdueAfter = 300 * time.Millisecond
)

// FirstTokenTimes records the last times to first token, measured from the dispatch (docs/design.md, section 8).
type FirstTokenTimes struct {
	mu      sync.Mutex
	samples []time.Duration
	next    int
}

// Add records one time.
func (f *FirstTokenTimes) Add(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.samples) < maxSamples {
		f.samples = append(f.samples, d)
		return
	}
	f.samples[f.next] = d
	f.next = (f.next + 1) % maxSamples
}

// Quantile returns the given quantile of the recorded times, and how many there are.
func (f *FirstTokenTimes) Quantile(q float64) (time.Duration, int) {
	f.mu.Lock()
	l := slices.Clone(f.samples)
	f.mu.Unlock()
	if len(l) == 0 {
		return 0, 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(q*float64(len(l))))], len(l)
}

// OverdueAfter returns how long the first token may take before a worker is considered unreachable: twice the 99th
// percentile. It returns false as long as there are too few measurements.
func (f *FirstTokenTimes) OverdueAfter() (time.Duration, bool) {
	d, n := f.Quantile(0.99)
	return max(2*d, minOverdueAfter), n >= minSamples
}
