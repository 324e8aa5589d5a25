package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

// lowestWorth returns the index, among the first n waiting requests, of the one to displace for a request of the given
// worth: the one of lowest worth, and among equals the one with the latest deadline. It returns -1 if none has a lower
// worth.
func lowestWorth(waitlist []acquireRequest, worth uint16, n int) int {
	best := -1
	for i, a := range waitlist[:n] {
		if a.worth < worth && (best < 0 || a.worth <= waitlist[best].worth) {
			best = i
		}
	}
	return best
}

// findPosition returns a request's position in the waitlist, by deadline, and the requests that it displaces: only those of
// lower worth, and only as many as needed to meet its deadline and the bound. If that isn't enough, none is displaced.
func (g *Ledger) findPosition(now units.Time, name string, state *workerState,
	request acquireRequest) (position int, displaced []acquireRequest) {
	worker, interval := g.workers[name], state.meanReleaseInterval(max(1, g.Capacity(now, name)))
	waitlist := slices.Clone(state.waitlist)
	for position < len(waitlist) && waitlist[position].deadline <= request.deadline {
		position++
	}
	original := position
	for position > 0 && now.Add(interval*time.Duration(position+1)+worker.FirstTokenTime) > request.deadline {
		i := lowestWorth(waitlist, request.worth, position)
		if i < 0 {
			return original, nil
		}
		displaced = append(displaced, waitlist[i])
		waitlist = slices.Delete(waitlist, i, i+1)
		position--
	}
	if len(waitlist) >= worker.MaxWaiting {
		i := lowestWorth(waitlist, request.worth, len(waitlist))
		if i < 0 {
			return original, nil
		}
		displaced = append(displaced, waitlist[i])
		if i < position {
			position--
		}
	}
	return position, displaced
}
