package config

import (
	"time"

	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// CapacityWorkers returns what coordinators need to know about every worker, from the workers that the platform lists, their
// start times and the evacuated zones (docs/design.md, section 6).
func (c *Config) CapacityWorkers(
	pools map[string][]Worker, startTimes map[string]units.Time, evacuated map[string]bool,
) map[string]capacity.Worker {
	workers := map[string]capacity.Worker{}
	for _, s := range c.Services {
		for _, w := range pools[s.Pool] {
			if w.Service != "" && w.Service != s.Name {
				continue
			}
			worker := capacity.Worker{Zone: w.Zone, Capacity: s.Capacity, MaxWaiting: s.MaxWaiting, WarmUp: s.WarmUp,
				StartedAt: startTimes[w.ID], Closed: w.Draining || evacuated[w.Zone],
				Adaptive: s.Adaptive, MinCapacity: s.MinCapacity,
				TargetWait: s.TargetWait, FirstTokenTime: s.FirstTokenTime,
				Memory: int(s.MemoryShare * float64(s.MemoryTokens)), WarmUpRate: s.WarmUpRate, QuickTakeover: s.QuickTakeover}
			if worker.Capacity == 0 {
				worker.Capacity = max(1, w.Slots)
			}
			if worker.MaxWaiting == 0 {
				worker.MaxWaiting = 2 * worker.Capacity
			}
			if s.WarmUpRate > 0 {
				worker.WarmingUpUntil = startTimes[w.ID].Add(s.WarmUp)
			}
			workers[s.Name+"/"+w.ID] = worker
		}
	}
	return workers
}

// MaxDeadline returns the longest deadline of all mappings or, if onlyOnce is set, of those whose requests must not run more
// than once.
func (c *Config) MaxDeadline(onlyOnce bool) (longest time.Duration) {
	for _, m := range c.Mappings {
		if !onlyOnce || m.Once {
			longest = max(longest, m.Promise.Deadline)
		}
	}
	return longest
}
