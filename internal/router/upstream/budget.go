package upstream

import (
	"sync"
	"time"

	"seamshunt/internal/units"
)

const (
	budgetSpan = 10 * time.Second
	budgetSlot = 100 * time.Millisecond
	slots      = int(budgetSpan / budgetSlot)
)

type slot struct {
	at           int64
	first, again int
}

// RetryBudget holds a service's further tries to a share of this node's own first tries over ten seconds, a fifth unless said
// otherwise (design 8, 11).
type RetryBudget struct {
	mu    sync.Mutex
	ring  [slots]slot
	Ratio float64
}

func (b *RetryBudget) slot(now units.Time) *slot {
	at := int64(now) / int64(budgetSlot)
	s := &b.ring[at%int64(slots)]
	if s.at != at {
		*s = slot{at: at}
	}
	return s
}

// RecordFirstAttempt counts a first try.
func (b *RetryBudget) RecordFirstAttempt(now units.Time) {
	b.mu.Lock()
	b.slot(now).first++
	b.mu.Unlock()
}

// AllowRetry asks for a further try, a few of which are allowed on top of the share, and counts it when it is allowed.
func (b *RetryBudget) AllowRetry(now units.Time, slack int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(now)
	first, again := 0, 0
	for i := range b.ring {
		if x := &b.ring[i]; x.at > s.at-int64(slots) {
			first += x.first
			again += x.again
		}
	}
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = 0.2
	}
	if float64(again+1) > ratio*float64(first)+float64(slack) {
		return false
	}
	s.again++
	return true
}
