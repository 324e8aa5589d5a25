package checker

import (
	"fmt"
	"slices"

	"seamshunt/internal/standin"
)

// checkSentRequests checks that every request that a worker ran was sent by a client, with the same method, path and body.
func (r *Run) checkSentRequests(calls map[string]standin.Entry) Finding {
	var bad []string
	for _, s := range r.Starts {
		c, ok := calls[s.Job]
		switch {
		case !ok:
			bad = append(bad, fmt.Sprintf("%s ran %s, which nobody sent", s.Worker, s.Job))
		case s.Fingerprint != c.Fingerprint:
			bad = append(bad, fmt.Sprintf("%s ran %s otherwise than it was sent", s.Worker, s.Job))
		}
	}
	return newFinding(OnlySentRequests, bad, fmt.Sprintf("%d runs", len(r.Starts)))
}

// checkStreamOrder reports what clients found wrong in the order of a stream's events, also in streams that broke off.
func (r *Run) checkStreamOrder() Finding {
	var bad []string
	n := 0
	for _, c := range r.Calls {
		n += c.Pieces
		if c.OrderFault != "" {
			bad = append(bad, c.Job+": "+c.OrderFault)
		}
	}
	return newFinding(StreamOrder, bad, fmt.Sprintf("%d pieces", n))
}

// arrivals returns the requests that workers ran or rejected, ordered by time. Misdirected requests don't count.
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

// Misdirected is a worker's reason for rejecting a request that was meant for another worker.
const Misdirected = "misdirected"

// checkRetryBudget compares, per service and sliding window, the arrivals beyond the first of each request with the requests
// that were sent for it: in that window, in the previous one, or in the one that began half a window earlier.
func (r *Run) checkRetryBudget(u Rules) Finding {
	window := u.RetryWindow.Microseconds()
	sent, retries, seen := map[string][]int64{}, map[string][]int64{}, map[string]bool{}
	for _, c := range r.Calls {
		for _, s := range u.Pools[c.Mapping] {
			sent[s] = append(sent[s], c.At)
		}
	}
	for _, a := range r.arrivals() {
		key := a.Pool + "\n" + a.Job
		if seen[key] {
			retries[a.Pool] = append(retries[a.Pool], a.At)
		}
		seen[key] = true
	}
	within := func(l []int64, from, to int64) int {
		i, _ := slices.BinarySearch(l, from+1)
		j, _ := slices.BinarySearch(l, to+1)
		return j - i
	}
	var bad []string
	maxRetries := 0
	for s, l := range retries {
		slices.Sort(sent[s])
		for _, t := range l {
			n := within(l, t-window, t)
			maxRetries = max(maxRetries, n)
			requests := max(within(sent[s], t-window, t), within(sent[s], t-2*window, t-window), within(sent[s], t-3*window/2, t-window/2))
			if float64(n) > u.RetryBudget*float64(requests)+float64(u.RetrySlack) {
				bad = append(bad, fmt.Sprintf("%d further arrivals at %s for %d requests", n, s, requests))
			}
		}
	}
	slices.Sort(bad)
	return newFinding(RetryBudget, bad, fmt.Sprintf("at most %d", maxRetries))
}

// checkWarmUpRate checks that a worker that is warming up gets no more arrivals in any second than its limit.
func (r *Run) checkWarmUpRate(u Rules) Finding {
	recent := map[string][]int64{}
	var bad []string
	maxArrivals := 0
	for _, a := range r.arrivals() {
		limit, ok := u.WarmUpRates[a.Pool]
		if !a.WarmingUp || !ok {
			continue
		}
		l := append(recent[a.Worker], a.At)
		for l[0] <= a.At-1_000_000 {
			l = l[1:]
		}
		recent[a.Worker] = l
		maxArrivals = max(maxArrivals, len(l))
		if float64(len(l)) > limit {
			bad = append(bad, fmt.Sprintf("%s had %d in a second, cold, of %.1f", a.Worker, len(l), limit))
		}
	}
	return newFinding(WarmUpRate, bad, fmt.Sprintf("at most %d in a second", maxArrivals))
}
