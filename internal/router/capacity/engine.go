package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

// quickTakeoverWait is how long a new coordinator waits for reports if Worker.QuickTakeover is set (docs/design.md,
// section 12).
const quickTakeoverWait = 250 * time.Millisecond

// engineState is the part of a worker's state that models an inference engine: prefill work, memory and speed. It limits
// admission in addition to the number of permits.
type engineState struct {
	memoryTokens int           // needed by all granted permits together
	prefillQueue []prefillItem // dispatched prompts without a finished prefill, in order; the first one isn't preempted
	updatedAt    units.Time    // when prefillQueue was last advanced
	slowdown     float64       // learned prefill time relative to a typical worker; 0 if not known yet
	recentGrants []units.Time  // grants of the last second, for the rate limit
}

// prefillItem is the rest of a prompt's prefill, in the time that a typical worker needs.
type prefillItem struct {
	remaining time.Duration
	priority  uint8
}

// slowdownFactor returns the worker's prefill time relative to a typical worker.
func (s *workerState) slowdownFactor() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown
}

// advancePrefill removes from the queue the prefill work that the worker has done by now.
func (s *workerState) advancePrefill(now units.Time) {
	done := time.Duration(float64(now.Sub(s.updatedAt)) / s.slowdownFactor())
	s.updatedAt = now
	for len(s.prefillQueue) > 0 && s.prefillQueue[0].remaining <= done {
		done -= s.prefillQueue[0].remaining
		s.prefillQueue = s.prefillQueue[1:]
	}
	if len(s.prefillQueue) > 0 {
		s.prefillQueue[0].remaining -= done
	}
}

// prefillPosition returns where a prompt joins the prefill queue: behind those of the same or a higher priority, and behind
// the one in progress.
func (s *workerState) prefillPosition(priority uint8) int {
	position := len(s.prefillQueue)
	for position > 1 && s.prefillQueue[position-1].priority > priority {
		position--
	}
	return position
}

// prefillBacklog returns the time that the worker needs for the first n items of its prefill queue.
func (s *workerState) prefillBacklog(n int) (sum time.Duration) {
	for _, x := range s.prefillQueue[:n] {
		sum += x.remaining
	}
	return time.Duration(float64(sum) * s.slowdownFactor())
}

// firstTokenTime returns the time to first token of a prompt that is dispatched now, as far as prefill determines it.
func (s *workerState) firstTokenTime(now units.Time, request acquireRequest) time.Duration {
	if request.prefillTime == 0 {
		return 0
	}
	s.advancePrefill(now)
	return s.prefillBacklog(s.prefillPosition(request.priority)) +
		time.Duration(float64(request.prefillTime)*s.slowdownFactor())
}

// Limits of learning a worker's speed.
const (
	minLearnedPrefill  = 40 * time.Millisecond // shorter prefills show too little of the speed
	baseFirstTokenTime = 35 * time.Millisecond // time to first token without prefill
	minSlowdown        = 0.5
	maxSlowdown        = 4.0
)

// learnSlowdown learns from the time to first token of a prompt that found the prefill queue empty.
func (s *workerState) learnSlowdown(prefillTime, firstToken time.Duration) {
	if prefillTime < minLearnedPrefill {
		return
	}
	measured := float64(firstToken-baseFirstTokenTime) / float64(prefillTime)
	s.slowdown = min(maxSlowdown, max(minSlowdown, (3*s.slowdownFactor()+measured)/4))
}

// hasMemoryFor reports whether the worker has memory for one more request. An idle worker accepts any size.
func (s *workerState) hasMemoryFor(w Worker, mem uint32) bool {
	return w.Memory <= 0 || s.memoryTokens == 0 || s.memoryTokens+int(mem) <= w.Memory
}

// SetRateLimits sets by how much a warming-up worker's rate may be exceeded, as a factor and in requests, and the share of
// the rate that this router may use. The share ensures that the coordinators on two sides of a network partition together
// grant no more than one would (docs/design.md, section 12).
func (g *Ledger) SetRateLimits(excess float64, slack int, share float64) {
	g.rateExcess, g.rateSlack, g.rateShare = excess, slack, share
}

// maxRate returns how many requests a worker may get in any one second. A worker may restart unnoticed at any time, so the
// bound for warming-up workers, excess included, always holds. A worker known to be warming up gets its warm-up rate.
func (g *Ledger) maxRate(now units.Time, worker Worker) int {
	if worker.WarmUpRate <= 0 {
		return 1 << 30
	}
	maxRate := worker.WarmUpRate*g.rateExcess + float64(g.rateSlack) - 2
	if now < worker.WarmingUpUntil {
		maxRate = min(maxRate, worker.WarmUpRate)
	}
	return max(1, int(maxRate*g.rateShare))
}

// rateDelay returns how long the next grant must wait for the rate limit; 0 if it needn't wait.
func (s *workerState) rateDelay(now units.Time, maxRate int) time.Duration {
	for len(s.recentGrants) > 0 && now.Sub(s.recentGrants[0]) > time.Second {
		s.recentGrants = s.recentGrants[1:]
	}
	if len(s.recentGrants) < maxRate {
		return 0
	}
	return s.recentGrants[len(s.recentGrants)-maxRate].Add(time.Second).Sub(now) + time.Millisecond
}

// recordGrant accounts for a grant's rate, prefill work and memory.
func (s *workerState) recordGrant(now units.Time, worker Worker, request acquireRequest) {
	if worker.WarmUpRate > 0 {
		s.recentGrants = append(s.recentGrants, now)
	}
	s.advancePrefill(now)
	if request.prefillTime > 0 {
		s.prefillQueue = slices.Insert(s.prefillQueue, s.prefillPosition(request.priority),
			prefillItem{request.prefillTime, request.priority})
	}
	s.memoryTokens += int(request.memoryTokens)
}

// Capacity returns how many permits of a worker may be in use now.
func (g *Ledger) Capacity(now units.Time, name string) int {
	worker, ok := g.workers[name]
	if !ok || worker.Closed {
		return 0
	}
	capacity := worker.Capacity
	if state := g.coordinated[name]; worker.Adaptive && state != nil && state.adaptiveCapacity > 0 {
		capacity = min(capacity, int(state.adaptiveCapacity))
	}
	if uptime := now.Sub(worker.StartedAt); worker.WarmUp > 0 && uptime < worker.WarmUp && worker.WarmUpRate == 0 {
		capacity = min(capacity, max(1, int(int64(worker.Capacity)*int64(uptime)/int64(worker.WarmUp))))
	}
	return capacity
}
