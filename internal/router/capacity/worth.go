package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

// least finds, among the first n that wait, the one to yield to a prompt of more worth: the least worth, and of these
// the one with the most time. None is -1.
func least(l []ask, worth uint16, n int) int {
	best := -1
	for i, a := range l[:n] {
		if a.worth < worth && (best < 0 || a.worth <= l[best].worth) {
			best = i
		}
	}
	return best
}

// place finds where a prompt stands in the list by its deadline, and who yields to it: only prompts of less worth, and
// only as many as it takes for it to be in time and within the bound. If that is not enough, nobody does.
func (g *Ledger) place(now units.Time, name string, k *keep, me ask) (at int, yield []ask) {
	w, gap := g.workers[name], k.gap(max(1, g.Capacity(now, name)))
	l := slices.Clone(k.list)
	for at < len(l) && l[at].until <= me.until {
		at++
	}
	was := at
	for at > 0 && now.Add(gap*time.Duration(at+1)+w.FirstTokenTime) > me.until {
		i := least(l, me.worth, at)
		if i < 0 {
			return was, nil
		}
		yield = append(yield, l[i])
		l = slices.Delete(l, i, i+1)
		at--
	}
	if len(l) >= w.MaxWaiting {
		i := least(l, me.worth, len(l))
		if i < 0 {
			return was, nil
		}
		yield = append(yield, l[i])
		if i < at {
			at--
		}
	}
	return at, yield
}
