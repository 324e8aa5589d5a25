package settings

import "time"

// The functions below derive settings from the bounds and limits that an adapter reads (docs/design.md, section 11).

// Bounds of the interval between two requests for the worker list, in milliseconds. A low rate limit may lengthen it further.
const minPollMs, maxPollMs = 500, 900

// PollIntervalMs returns the interval between two requests for the worker list in milliseconds: three tenths of the time in
// which a draining worker may still get requests, within bounds. It is long enough to fetch four pages with a quarter of the
// calls a second that the platform allows.
func PollIntervalMs(drainTime time.Duration, callsPerSecond float64) int {
	interval := max(minPollMs, min(maxPollMs, float64(drainTime/time.Millisecond)*0.3))
	if callsPerSecond > 0 {
		interval = max(interval, 4*4*1000/callsPerSecond+1)
	}
	return int(min(60000, interval))
}

// DrainMsWithin returns how long streams may last after SIGTERM, in milliseconds. The rest of the grace period is left for the
// shutdown itself.
func DrainMsWithin(gracePeriod time.Duration) int {
	return max(500, int(gracePeriod.Milliseconds())-700)
}

// ReserveForDisk returns how many bytes to keep free for a compaction of the log: at most an eighth of the disk, if its size is
// known.
func ReserveForDisk(diskMB int) int {
	if diskMB <= 0 {
		return 1 << 20
	}
	return min(1<<20, diskMB*1_000_000/8)
}
