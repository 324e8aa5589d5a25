package settings

import "time"

// Where an adapter tells bounds and limits, these choose what follows from them (design 11).

// The list of workers is asked for neither more nor less often, unless its rate is low.
const minPollMs, maxPollMs = 500, 900 // ms

// PollIntervalMs is three tenths of the time that a worker may still be used after the list has shown that it leaves, within
// bounds; it leaves room for four pages at a quarter of the platform's rate, in calls a second.
func PollIntervalMs(drainTime time.Duration, callsPerSecond float64) int {
	interval := max(minPollMs, min(maxPollMs, float64(drainTime/time.Millisecond)*0.3))
	if callsPerSecond > 0 {
		interval = max(interval, 4*4*1000/callsPerSecond+1)
	}
	return int(min(60000, interval))
}

// DrainMsWithin leaves the last moments of the grace for going away.
func DrainMsWithin(grace time.Duration) int { return max(500, int(grace.Milliseconds())-700) }

// ReserveForDisk is what is kept free for a rewrite: an eighth of the disk at the most, if its size is told.
func ReserveForDisk(diskMB int) int {
	if diskMB <= 0 {
		return 1 << 20
	}
	return min(1<<20, diskMB*1_000_000/8)
}
