package config

import (
	"time"

	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// CapacityWorkers works out what keepers must know of every worker: of those that the platform lists, when each began, and
// which zones are evacuated (design 6).
func (c *Config) CapacityWorkers(pools map[string][]Worker, start map[string]units.Time, out map[string]bool) map[string]capacity.Worker {
	ws := map[string]capacity.Worker{}
	for _, s := range c.Services {
		for _, w := range pools[s.Pool] {
			if w.Service != "" && w.Service != s.Name {
				continue
			}
			k := capacity.Worker{Zone: w.Zone, Capacity: s.Capacity, MaxWaiting: s.MaxWaiting, WarmUp: s.WarmUp, StartedAt: start[w.ID],
				Closed: w.Draining || out[w.Zone], Adaptive: s.Adaptive, MinCapacity: s.MinCapacity, TargetWait: s.TargetWait, FirstTokenTime: s.FirstTokenTime,
				Memory: int(s.MemoryShare * float64(s.MemoryTokens)), WarmUpRate: s.WarmUpRate, QuickTakeover: s.QuickTakeover}
			if k.Capacity == 0 {
				k.Capacity = max(1, w.Slots)
			}
			if k.MaxWaiting == 0 {
				k.MaxWaiting = 2 * k.Capacity
			}
			if s.WarmUpRate > 0 {
				k.WarmingUpUntil = start[w.ID].Add(s.WarmUp)
			}
			ws[s.Name+"/"+w.ID] = k
		}
	}
	return ws
}

// MaxDeadline is the longest time left that any promise allows; with once, that any mapping which may not repeat does.
func (c *Config) MaxDeadline(once bool) (d time.Duration) {
	for _, m := range c.Mappings {
		if !once || m.Once {
			d = max(d, m.Promise.Deadline)
		}
	}
	return d
}
