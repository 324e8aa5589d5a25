package checker

import (
	"fmt"
	"slices"

	"seamshunt/internal/standin"
)

// asked: what runs was sent by a caller, with that method, path and body.
func (r *Run) asked(calls map[string]standin.Entry) Finding {
	var bad []string
	for _, s := range r.Starts {
		c, ok := calls[s.Job]
		switch {
		case !ok:
			bad = append(bad, fmt.Sprintf("%s ran %s, which nobody sent", s.Worker, s.Job))
		case s.Sum != c.Sum:
			bad = append(bad, fmt.Sprintf("%s ran %s otherwise than it was sent", s.Worker, s.Job))
		}
	}
	return find(OnlySentRequests, bad, fmt.Sprintf("%d runs", len(r.Starts)))
}

// order: callers look at every piece as it comes, also of an answer that breaks.
func (r *Run) order() Finding {
	var bad []string
	n := 0
	for _, c := range r.Calls {
		n += c.Pieces
		if c.Order != "" {
			bad = append(bad, c.Job+": "+c.Order)
		}
	}
	return find(StreamOrder, bad, fmt.Sprintf("%d pieces", n))
}

// arrivals are runs and what was turned away, in the order of time. What reached a worker that it was not meant for
// does not count.
func (r *Run) arrivals() []standin.Entry {
	l := slices.Clone(r.Starts)
	for _, t := range r.Rejections {
		if t.How != Misdirected {
			l = append(l, t)
		}
	}
	slices.SortStableFunc(l, func(a, b standin.Entry) int { return int(a.At - b.At) })
	return l
}

// Misdirected is how a worker turns away what was meant for another one.
const Misdirected = "misdirected"

// budget counts, for each service and in every window, the arrivals beyond the first of each request, against the
// requests for it: in that window, in the one before, or in the one half a window before.
func (r *Run) budget(u Rules) Finding {
	w := u.RetryWindow.Microseconds()
	sent, further, seen := map[string][]int64{}, map[string][]int64{}, map[string]bool{}
	for _, c := range r.Calls {
		for _, s := range u.Pools[c.Mapping] {
			sent[s] = append(sent[s], c.At)
		}
	}
	for _, a := range r.arrivals() {
		k := a.Pool + "\n" + a.Job
		if seen[k] {
			further[a.Pool] = append(further[a.Pool], a.At)
		}
		seen[k] = true
	}
	within := func(l []int64, from, to int64) int {
		i, _ := slices.BinarySearch(l, from+1)
		j, _ := slices.BinarySearch(l, to+1)
		return j - i
	}
	var bad []string
	most := 0
	for s, l := range further {
		slices.Sort(sent[s])
		for _, t := range l {
			n := within(l, t-w, t)
			most = max(most, n)
			asked := max(within(sent[s], t-w, t), within(sent[s], t-2*w, t-w), within(sent[s], t-3*w/2, t-w/2))
			if float64(n) > u.RetryBudget*float64(asked)+float64(u.RetrySlack) {
				bad = append(bad, fmt.Sprintf("%d further arrivals at %s for %d requests", n, s, asked))
			}
		}
	}
	slices.Sort(bad)
	return find(RetryBudget, bad, fmt.Sprintf("at most %d", most))
}

// cold: a worker that is cold bears few arrivals in any second.
func (r *Run) cold(u Rules) Finding {
	last := map[string][]int64{}
	var bad []string
	most := 0
	for _, a := range r.arrivals() {
		limit, ok := u.WarmUpRates[a.Pool]
		if !a.Cold || !ok {
			continue
		}
		l := append(last[a.Worker], a.At)
		for l[0] <= a.At-1_000_000 {
			l = l[1:]
		}
		last[a.Worker] = l
		most = max(most, len(l))
		if float64(len(l)) > limit {
			bad = append(bad, fmt.Sprintf("%s had %d in a second, cold, of %.1f", a.Worker, len(l), limit))
		}
	}
	return find(WarmUpRate, bad, fmt.Sprintf("at most %d in a second", most))
}
