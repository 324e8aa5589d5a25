package simulator

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

const pollInterval = 500 * time.Millisecond

// poll is one question of a core machine to the platform, which sees the world at the middle of its way. What comes
// back to a frozen process waits for it; a process that was started again never hears of it.
func (w *World) poll(c *Controller, now units.Time) {
	query := c.catalog.NewQuery(now, "main", c.Self, int64(now)/int64(time.Millisecond))
	w.checkPollRate(now)
	generation := c.Host.generation
	roundTrip := 2*time.Millisecond + time.Duration(w.Rng.Int64N(int64(8*time.Millisecond)))
	switch {
	case w.platformUnreachable[c.Host] || c.Host.Isolated || w.platformMode == "gone":
		w.After(time.Second, func() { // no answer in time
			w.Inject(c.Host, func(now units.Time) message.Effects {
				if c.Host.generation == generation && c.Lease.Holds(now) {
					return c.Lease.Yield(now)
				}
				return message.Effects{}
			})
		})
		return
	case w.platformMode == "slow":
		roundTrip = 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(600*time.Millisecond)))
	case w.platformMode == "refuse", w.platformMode == "empty":
		return // no list is believed
	}
	w.After(roundTrip/2, func() {
		list := slices.Clone(w.listedWorkers)
		for i := range list {
			list[i].Age = w.Now.Sub(w.workers[list[i].ID].startedAt)
		}
		if w.platformMode == "old" && w.staleList != nil {
			list = slices.Clone(w.staleList)
		}
		w.After(roundTrip/2, func() { w.deliverPlatformAnswer(c, generation, query, list) })
	})
}

func (w *World) deliverPlatformAnswer(c *Controller, generation int, query discovery.Query, list []config.Worker) {
	if c.Host.Paused && c.Host.generation == generation {
		w.After(10*time.Millisecond, func() { w.deliverPlatformAnswer(c, generation, query, list) })
		return
	}
	if c.Host.generation != generation {
		return
	}
	w.Inject(c.Host, func(now units.Time) (out message.Effects) {
		if data, changed := c.catalog.RecordAnswer(query, list); changed {
			c.publish(now, configpush.Item{Key: discovery.Key("main", c.Self), Version: query.Version, Data: data}, &out)
		}
		return out
	})
}

// judgeRate: the platform's limit holds for the fleet, however the core is cut.
func (w *World) checkPollRate(now units.Time) {
	w.polledAt = append(w.polledAt, now)
	polls := 0
	for i := len(w.polledAt) - 1; i >= 0 && now.Sub(w.polledAt[i]) < 10*time.Second; i-- {
		polls++
	}
	if limit := int(10*time.Second/pollInterval) + len(w.controllerHosts); polls > limit {
		w.reportViolation("the platform was asked %d times in ten seconds, %d are allowed", polls, limit)
	}
}

// reachableFrom gives the machines that can hear from a core machine, over others too.
func (w *World) reachableFrom(h *Host) map[*Host]bool {
	all := append(slices.Clone(w.controllerHosts), w.routerHosts...)
	reachable := map[*Host]bool{h: true}
	for list := []*Host{h}; len(list) > 0; list = list[1:] {
		for _, o := range all {
			if !reachable[o] && w.alive(o) && w.alive(list[0]) && !w.Partitioned(list[0], o) && !w.Partitioned(o, list[0]) {
				reachable[o] = true
				list = append(list, o)
			}
		}
	}
	return reachable
}

// recordLostPaths notes which machines have no path to a core that could answer, and which none to the platform.
func (w *World) recordLostPaths() {
	all := append(slices.Clone(w.controllerHosts), w.routerHosts...)
	majorityReachable, platformReachable := map[*Host]bool{}, map[*Host]bool{}
	for _, h := range w.controllerHosts {
		reachable, controllers := w.reachableFrom(h), 0
		for _, o := range w.controllerHosts {
			if reachable[o] && w.alive(o) {
				controllers++
			}
		}
		for o := range reachable {
			majorityReachable[o] = majorityReachable[o] || controllers > len(w.controllerHosts)/2
			platformReachable[o] = platformReachable[o] || w.canPollPlatform(h)
		}
	}
	for _, h := range all {
		if !majorityReachable[h] && !h.Paused && h.Proc != nil {
			w.majorityPathLostAt[h] = w.Now
		}
		if !platformReachable[h] && !h.Paused && h.Proc != nil {
			w.platformPathLostAt[h] = w.Now
		}
	}
}

// canPollPlatform says whether a core machine may and can ask the platform: a voter that reaches it.
func (w *World) canPollPlatform(h *Host) bool {
	return w.alive(h) && w.controllers[h].Replica.Quorum().Has(w.controllers[h].Self) && !w.platformUnreachable[h] && (w.platformMode == "" || w.platformMode == "slow")
}
