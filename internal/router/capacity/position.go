package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

// lowestWorth finds, among the first n that wait, the one to yield to a prompt of more worth: the least worth, and of these
// the one with the most time. None is -1.
func lowestWorth(waitlist []acquireRequest, worth uint16, n int) int {
	best := -1
	for i, a := range waitlist[:n] {
		if a.worth < worth && (best < 0 || a.worth <= waitlist[best].worth) {
			best = i
		}
	}
	return best
}

// findPosition finds where a prompt stands in the list by its deadline, and who yields to it: only prompts of less worth, and
// only as many as it takes for it to be in time and within the bound. If that is not enough, nobody does.
func (g *Ledger) findPosition(now units.Time, name string, state *workerState, request acquireRequest) (position int, displaced []acquireRequest) {
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
