package settings

import "time"

// Where an adapter tells bounds and limits, these choose what follows from them (design 11).

// The list of workers is asked for neither more nor less often, unless its rate is low.
const pollLeast, pollMost = 500, 900 // ms

// PollIntervalMs is three tenths of the time that a worker may still be used after the list has shown that it leaves, within
// bounds; it leaves room for four pages at a quarter of the platform's rate, in calls a second.
func PollIntervalMs(drain time.Duration, rate float64) int {
	gap := max(pollLeast, min(pollMost, float64(drain/time.Millisecond)*0.3))
	if rate > 0 {
		gap = max(gap, 4*4*1000/rate+1)
	}
	return int(min(60000, gap))
}

// DrainMsWithin leaves the last moments of the grace for going away.
func DrainMsWithin(grace time.Duration) int { return max(500, int(grace.Milliseconds())-700) }

// ReserveForDisk is what is kept free for a rewrite: an eighth of the disk at the most, if its size is told.
func ReserveForDisk(disk int) int {
	if disk <= 0 {
		return 1 << 20
	}
	return min(1<<20, disk*1_000_000/8)
}
