package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

// laxFor is how long a new keeper that need not be strict waits for reports (design 12).
const laxFor = 250 * time.Millisecond

// engine is what a keeper knows of a worker that reads prompts and holds them in memory: the knee's other side.
type engine struct {
	mem  int          // tokens lent
	line []item       // what is handed over and not read yet, as the worker takes it: what it has begun is read to its end
	at   units.Time   // when the line was worked out
	slow float64      // how much longer than a usual worker it takes, as learned; 0 is not known yet
	ring []units.Time // grants of the last second, for the rate that a cold worker bears
}

// item is a prompt's unread rest, in a usual worker's time.
type item struct {
	left time.Duration
	urge uint8
}

// slowness is how much longer the worker takes than a usual one.
func (k *keep) slowness() float64 {
	if k.slow == 0 {
		return 1
	}
	return k.slow
}

// read takes out of the line what the worker has read by now.
func (k *keep) read(now units.Time) {
	done := time.Duration(float64(now.Sub(k.at)) / k.slowness())
	k.at = now
	for len(k.line) > 0 && k.line[0].left <= done {
		done -= k.line[0].left
		k.line = k.line[1:]
	}
	if len(k.line) > 0 {
		k.line[0].left -= done
	}
}

// comes is where a prompt of some urgency comes in the line: behind all that are as urgent, and what is begun.
func (k *keep) comes(urge uint8) int {
	at := len(k.line)
	for at > 1 && k.line[at-1].urge > urge {
		at--
	}
	return at
}

// backlog is how long the worker reads the first so many of its line.
func (k *keep) backlog(n int) (sum time.Duration) {
	for _, x := range k.line[:n] {
		sum += x.left
	}
	return time.Duration(float64(sum) * k.slowness())
}

// words is how long a prompt that is handed over now waits for its first words, as far as reading goes.
func (k *keep) words(now units.Time, a ask) time.Duration {
	if a.read == 0 {
		return 0
	}
	k.read(now)
	return k.backlog(k.comes(a.urge)) + time.Duration(float64(a.read)*k.slowness())
}

// Bounds of learning a worker's speed (start values): prompts that take less tell little of it.
const (
	tells   = 40 * time.Millisecond
	usual   = 35 * time.Millisecond // till first words with nothing to read
	quicker = 0.5
	slower  = 4.0
)

// learn takes the time to first words of a prompt that found the line empty.
func (k *keep) learn(own, took time.Duration) {
	if own < tells {
		return
	}
	x := float64(took-usual) / float64(own)
	k.slow = min(slower, max(quicker, (3*k.slowness()+x)/4))
}

// fits says whether the worker's memory holds one more prompt; an idle worker holds any.
func (k *keep) fits(w Worker, mem uint32) bool {
	return w.Memory <= 0 || k.mem == 0 || k.mem+int(mem) <= w.Memory
}

// SetRateLimits sets what a cold worker's rate may be exceeded by, and which part of the known routers this node sees live:
// keepers on two sides of a cut then lend no more together than one would (design 12).
func (g *Ledger) SetRateLimits(excess float64, slack int, part float64) {
	g.excess, g.slack, g.part = excess, slack, part
}

// rate is how many requests a worker may get in any one second. A worker may turn cold unseen at any moment, so the
// bound for cold ones holds always; one that is known to be cold gets what it bears.
func (g *Ledger) rate(now units.Time, w Worker) int {
	if w.WarmUpRate <= 0 {
		return 1 << 30
	}
	most := w.WarmUpRate*g.excess + float64(g.slack) - 2
	if now < w.WarmingUpUntil {
		most = min(most, w.WarmUpRate)
	}
	return max(1, int(most*g.part))
}

// due is how long the next grant must wait for the rate; zero when it may go now.
func (k *keep) due(now units.Time, most int) time.Duration {
	for len(k.ring) > 0 && now.Sub(k.ring[0]) > time.Second {
		k.ring = k.ring[1:]
	}
	if len(k.ring) < most {
		return 0
	}
	return k.ring[len(k.ring)-most].Add(time.Second).Sub(now) + time.Millisecond
}

// granted notes a grant, and what it makes the worker read and hold.
func (k *keep) granted(now units.Time, w Worker, a ask) {
	if w.WarmUpRate > 0 {
		k.ring = append(k.ring, now)
	}
	k.read(now)
	if a.read > 0 {
		k.line = slices.Insert(k.line, k.comes(a.urge), item{a.read, a.urge})
	}
	k.mem += int(a.mem)
}

// Capacity gives how many permits a worker may have out now.
func (g *Ledger) Capacity(now units.Time, name string) int {
	w, ok := g.workers[name]
	if !ok || w.Closed {
		return 0
	}
	c := w.Capacity
	if k := g.keeps[name]; w.Adaptive && k != nil && k.cap > 0 {
		c = min(c, int(k.cap))
	}
	if up := now.Sub(w.StartedAt); w.WarmUp > 0 && up < w.WarmUp && w.WarmUpRate == 0 {
		c = min(c, max(1, int(int64(w.Capacity)*int64(up)/int64(w.WarmUp))))
	}
	return c
}
