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
func (k *workerState) slowdownFactor() float64 {
	if k.slowdown == 0 {
		return 1
	}
	return k.slowdown
}

// advancePrefill removes from the queue the prefill work that the worker has done by now.
func (k *workerState) advancePrefill(now units.Time) {
	done := time.Duration(float64(now.Sub(k.updatedAt)) / k.slowdownFactor())
	k.updatedAt = now
	for len(k.prefillQueue) > 0 && k.prefillQueue[0].remaining <= done {
		done -= k.prefillQueue[0].remaining
		k.prefillQueue = k.prefillQueue[1:]
	}
	if len(k.prefillQueue) > 0 {
		k.prefillQueue[0].remaining -= done
	}
}

// prefillPosition returns where a prompt joins the prefill queue: behind those of the same or a higher priority, and behind
// the one in progress.
func (k *workerState) prefillPosition(priority uint8) int {
	position := len(k.prefillQueue)
	for position > 1 && k.prefillQueue[position-1].priority > priority {
		position--
	}
	return position
}

// prefillBacklog returns the time that the worker needs for the first n items of its prefill queue.
func (k *workerState) prefillBacklog(n int) (sum time.Duration) {
	for _, x := range k.prefillQueue[:n] {
		sum += x.remaining
	}
	return time.Duration(float64(sum) * k.slowdownFactor())
}

// firstTokenTime returns the time to first token of a prompt that is dispatched now, as far as prefill determines it.
func (k *workerState) firstTokenTime(now units.Time, request acquireRequest) time.Duration {
	if request.prefillTime == 0 {
		return 0
	}
	k.advancePrefill(now)
	return k.prefillBacklog(k.prefillPosition(request.priority)) +
		time.Duration(float64(request.prefillTime)*k.slowdownFactor())
}

// Limits of learning a worker's speed.
const (
	minLearnedPrefill  = 40 * time.Millisecond // shorter prefills say little about the speed
	baseFirstTokenTime = 35 * time.Millisecond // time to first token without prefill
	minSlowdown        = 0.5
	maxSlowdown        = 4.0
)

// learnSlowdown learns from the time to first token of a prompt that found the prefill queue empty.
func (k *workerState) learnSlowdown(prefillTime, firstToken time.Duration) {
	if prefillTime < minLearnedPrefill {
		return
	}
	measured := float64(firstToken-baseFirstTokenTime) / float64(prefillTime)
	k.slowdown = min(maxSlowdown, max(minSlowdown, (3*k.slowdownFactor()+measured)/4))
}

// hasMemoryFor reports whether the worker has memory for one more request. An idle worker accepts any size.
func (k *workerState) hasMemoryFor(w Worker, mem uint32) bool {
	return w.Memory <= 0 || k.memoryTokens == 0 || k.memoryTokens+int(mem) <= w.Memory
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
func (k *workerState) rateDelay(now units.Time, maxRate int) time.Duration {
	for len(k.recentGrants) > 0 && now.Sub(k.recentGrants[0]) > time.Second {
		k.recentGrants = k.recentGrants[1:]
	}
	if len(k.recentGrants) < maxRate {
		return 0
	}
	return k.recentGrants[len(k.recentGrants)-maxRate].Add(time.Second).Sub(now) + time.Millisecond
}

// recordGrant accounts for a grant's rate, prefill work and memory.
func (k *workerState) recordGrant(now units.Time, worker Worker, request acquireRequest) {
	if worker.WarmUpRate > 0 {
		k.recentGrants = append(k.recentGrants, now)
	}
	k.advancePrefill(now)
	if request.prefillTime > 0 {
		k.prefillQueue = slices.Insert(k.prefillQueue, k.prefillPosition(request.priority),
			prefillItem{request.prefillTime, request.priority})
	}
	k.memoryTokens += int(request.memoryTokens)
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
