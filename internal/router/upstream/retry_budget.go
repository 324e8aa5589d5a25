package upstream

import (
	"sync"
	"time"

	"seamshunt/internal/units"
)

const (
	budgetWindow = 10 * time.Second
	bucketLength = 100 * time.Millisecond
	bucketCount  = int(budgetWindow / bucketLength)
)

type bucket struct {
	index                  int64
	firstAttempts, retries int
}

// RetryBudget limits a service's retries to a share of this router's own first attempts over ten seconds. The share is
// Ratio, or a fifth if that isn't set (docs/design.md, sections 8 and 11).
type RetryBudget struct {
	mu    sync.Mutex
	ring  [bucketCount]bucket
	Ratio float64
}

func (b *RetryBudget) currentBucket(now units.Time) *bucket {
	at := int64(now) / int64(bucketLength)
	s := &b.ring[at%int64(bucketCount)]
	if s.index != at {
		*s = bucket{index: at}
	}
	return s
}

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now units.Time) {
	b.mu.Lock()
	b.currentBucket(now).firstAttempts++
	b.mu.Unlock()
}

// AllowRetry reports whether a retry is allowed, and counts it if so. On top of the share, slack retries are allowed.
func (b *RetryBudget) AllowRetry(now units.Time, slack int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.currentBucket(now)
	firstAttempts, retries := 0, 0
	for i := range b.ring {
		if x := &b.ring[i]; x.index > s.index-int64(bucketCount) {
			firstAttempts += x.firstAttempts
			retries += x.retries
		}
	}
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = 0.2
	}
	if float64(retries+1) > ratio*float64(firstAttempts)+float64(slack) {
		return false
	}
	s.retries++
	return true
}
