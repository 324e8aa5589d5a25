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
			k := capacity.Worker{Zone: w.Zone, Cap: s.Cap, Bound: s.Waitlist, Warm: s.Warm, Start: start[w.ID],
				Closed: w.Leaving || out[w.Zone], Adapt: s.Adapt, Floor: s.Floor, Aim: s.WaitAim, First: s.First,
				Memory: int(s.Share * float64(s.Memory)), WarmRate: s.WarmRate, Lax: s.Lax}
			if k.Cap == 0 {
				k.Cap = max(1, w.Slots)
			}
			if k.Bound == 0 {
				k.Bound = 2 * k.Cap
			}
			if s.WarmRate > 0 {
				k.ColdTil = start[w.ID].Add(s.Warm)
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
