package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

// quickTakeoverWait is how long a new keeper that need not be strict waits for reports (design 12).
const quickTakeoverWait = 250 * time.Millisecond

// engineState is what a keeper knows of a worker that reads prompts and holds them in memory: the knee's other side.
type engineState struct {
	memoryTokens int           // tokens lent
	prefillQueue []prefillItem // what is handed over and not read yet, as the worker takes it: what it has begun is read to its end
	updatedAt    units.Time    // when the line was worked out
	slowdown     float64       // how much longer than a usual worker it takes, as learned; 0 is not known yet
	recentGrants []units.Time  // grants of the last second, for the rate that a cold worker bears
}

// prefillItem is a prompt's unread rest, in a usual worker's time.
type prefillItem struct {
	remaining time.Duration
	priority  uint8
}

// slowdownFactor is how much longer the worker takes than a usual one.
func (k *workerState) slowdownFactor() float64 {
	if k.slowdown == 0 {
		return 1
	}
	return k.slowdown
}

// advancePrefill takes out of the line what the worker has read by now.
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

// prefillPosition is where a prompt of some urgency comes in the line: behind all that are as urgent, and what is begun.
func (k *workerState) prefillPosition(priority uint8) int {
	position := len(k.prefillQueue)
	for position > 1 && k.prefillQueue[position-1].priority > priority {
		position--
	}
	return position
}

// prefillBacklog is how long the worker reads the first so many of its line.
func (k *workerState) prefillBacklog(n int) (sum time.Duration) {
	for _, x := range k.prefillQueue[:n] {
		sum += x.remaining
	}
	return time.Duration(float64(sum) * k.slowdownFactor())
}

// firstTokenTime is how long a prompt that is handed over now waits for its first words, as far as reading goes.
func (k *workerState) firstTokenTime(now units.Time, request acquireRequest) time.Duration {
	if request.prefillTime == 0 {
		return 0
	}
	k.advancePrefill(now)
	return k.prefillBacklog(k.prefillPosition(request.priority)) + time.Duration(float64(request.prefillTime)*k.slowdownFactor())
}

// Bounds of learning a worker's speed (start values): prompts that take less tell little of it.
const (
	minLearnedPrefill  = 40 * time.Millisecond
	baseFirstTokenTime = 35 * time.Millisecond // till first words with nothing to read
	minSlowdown        = 0.5
	maxSlowdown        = 4.0
)

// learnSlowdown takes the time to first words of a prompt that found the line empty.
func (k *workerState) learnSlowdown(prefillTime, firstToken time.Duration) {
	if prefillTime < minLearnedPrefill {
		return
	}
	measured := float64(firstToken-baseFirstTokenTime) / float64(prefillTime)
	k.slowdown = min(maxSlowdown, max(minSlowdown, (3*k.slowdownFactor()+measured)/4))
}

// hasMemoryFor says whether the worker's memory holds one more prompt; an idle worker holds any.
func (k *workerState) hasMemoryFor(w Worker, mem uint32) bool {
	return w.Memory <= 0 || k.memoryTokens == 0 || k.memoryTokens+int(mem) <= w.Memory
}

// SetRateLimits sets what a cold worker's rate may be exceeded by, and which part of the known routers this node sees live:
// keepers on two sides of a cut then lend no more together than one would (design 12).
func (g *Ledger) SetRateLimits(excess float64, slack int, share float64) {
	g.rateExcess, g.rateSlack, g.rateShare = excess, slack, share
}

// maxRate is how many requests a worker may get in any one second. A worker may turn cold unseen at any moment, so the
// bound for cold ones holds always; one that is known to be cold gets what it bears.
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

// rateDelay is how long the next grant must wait for the rate; zero when it may go now.
func (k *workerState) rateDelay(now units.Time, maxRate int) time.Duration {
	for len(k.recentGrants) > 0 && now.Sub(k.recentGrants[0]) > time.Second {
		k.recentGrants = k.recentGrants[1:]
	}
	if len(k.recentGrants) < maxRate {
		return 0
	}
	return k.recentGrants[len(k.recentGrants)-maxRate].Add(time.Second).Sub(now) + time.Millisecond
}

// recordGrant notes a grant, and what it makes the worker read and hold.
func (k *workerState) recordGrant(now units.Time, worker Worker, request acquireRequest) {
	if worker.WarmUpRate > 0 {
		k.recentGrants = append(k.recentGrants, now)
	}
	k.advancePrefill(now)
	if request.prefillTime > 0 {
		k.prefillQueue = slices.Insert(k.prefillQueue, k.prefillPosition(request.priority), prefillItem{request.prefillTime, request.priority})
	}
	k.memoryTokens += int(request.memoryTokens)
}

// Capacity gives how many permits a worker may have out now.
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
