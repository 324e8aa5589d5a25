package gauge

import (
	"time"

	"seamshunt/internal/units"
)

// laxFor is how long a new keeper that need not be strict waits for reports (design 12).
const laxFor = 250 * time.Millisecond

// engine is what a keeper knows of a worker that reads prompts and holds them in memory: the knee's other side.
type engine struct {
	mem    int          // tokens lent
	unread float64      // prompt tokens that are handed over and not read yet, by the worker's measured speed
	at     units.Time   // when unread was worked out
	ring   []units.Time // grants of the last second, for the rate that a cold worker bears
}

// backlog is how long the worker still reads what it was sent.
func (k *keep) backlog(now units.Time, w Worker) time.Duration {
	if w.Reads <= 0 {
		return 0
	}
	k.unread = max(0, k.unread-w.Reads*float64(now.Sub(k.at))/float64(time.Millisecond))
	k.at = now
	return time.Duration(k.unread / w.Reads * float64(time.Millisecond))
}

// fits says whether the worker's memory holds one more prompt; an idle worker holds any.
func (k *keep) fits(w Worker, mem uint32) bool {
	return w.Memory <= 0 || k.mem == 0 || k.mem+int(mem) <= w.Memory
}

// Allow sets what a cold worker's rate may be exceeded by, and which part of the known vanes this node sees live:
// keepers on two sides of a cut then lend no more together than one would (design 12).
func (g *Gauge) Allow(excess float64, slack int, part float64) {
	g.excess, g.slack, g.part = excess, slack, part
}

// rate is how many requests a worker may get in any one second. A worker may turn cold unseen at any moment, so the
// bound for cold ones holds always; one that is known to be cold gets what it bears.
func (g *Gauge) rate(now units.Time, w Worker) int {
	if w.WarmRate <= 0 {
		return 1 << 30
	}
	most := w.WarmRate*g.excess + float64(g.slack) - 2
	if now < w.ColdTil {
		most = min(most, w.WarmRate)
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
func (k *keep) granted(now units.Time, w Worker, read, mem uint32) {
	if w.WarmRate > 0 {
		k.ring = append(k.ring, now)
	}
	k.backlog(now, w)
	k.unread += float64(read)
	k.mem += int(mem)
}

// Cap gives how many permits a worker may have out now.
func (g *Gauge) Cap(now units.Time, name string) int {
	w, ok := g.workers[name]
	if !ok || w.Closed {
		return 0
	}
	c := w.Cap
	if k := g.keeps[name]; w.Adapt && k != nil && k.cap > 0 {
		c = min(c, int(k.cap))
	}
	if up := now.Sub(w.Start); w.Warm > 0 && up < w.Warm && w.WarmRate == 0 {
		c = min(c, max(1, int(int64(w.Cap)*int64(up)/int64(w.Warm))))
	}
	return c
}
