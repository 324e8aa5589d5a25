package config

import (
	"time"

	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Keep works out what keepers must know of every worker: of those that the platform lists, when each began, and
// which zones are evacuated (design 6).
func (c *Config) Keep(pools map[string][]Worker, start map[string]units.Time, out map[string]bool) map[string]capacity.Worker {
	ws := map[string]capacity.Worker{}
	for _, s := range c.Services {
		for _, w := range pools[s.Pool] {
			if w.Service != "" && w.Service != s.Name {
				continue
			}
			k := capacity.Worker{Zone: w.Zone, Capacity: s.Cap, MaxWaiting: s.Waitlist, WarmUp: s.Warm, StartedAt: start[w.ID],
				Closed: w.Leaving || out[w.Zone], Adaptive: s.Adapt, MinCapacity: s.Floor, TargetWait: s.WaitAim, FirstTokenTime: s.First,
				Memory: int(s.Share * float64(s.Memory)), WarmUpRate: s.WarmRate, QuickTakeover: s.Lax}
			if k.Capacity == 0 {
				k.Capacity = max(1, w.Slots)
			}
			if k.MaxWaiting == 0 {
				k.MaxWaiting = 2 * k.Capacity
			}
			if s.WarmRate > 0 {
				k.WarmingUpUntil = start[w.ID].Add(s.Warm)
			}
			ws[s.Name+"/"+w.ID] = k
		}
	}
	return ws
}

// Longest is the longest time left that any promise allows; with once, that any mapping which may not repeat does.
func (c *Config) Longest(once bool) (d time.Duration) {
	for _, m := range c.Mappings {
		if !once || m.Once {
			d = max(d, m.Promise.Longest)
		}
	}
	return d
}
