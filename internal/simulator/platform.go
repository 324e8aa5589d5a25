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

// poll sends a controller's query to the platform, which reads its list after half of the round trip. An answer to a paused
// process waits until it resumes; one to a process that has been restarted is dropped.
func (w *World) poll(controller *Controller, now units.Time) {
	query := controller.catalog.NewQuery(now, "main", controller.Self, int64(now)/int64(time.Millisecond))
	w.checkPollRate(now)
	generation := controller.Host.generation
	roundTrip := 2*time.Millisecond + time.Duration(w.Rng.Int64N(int64(8*time.Millisecond)))
	switch {
	case w.platformUnreachable[controller.Host] || controller.Host.Isolated || w.platformMode == "gone":
		w.After(time.Second, func() { // timeout
			w.Inject(controller.Host, func(now units.Time) message.Effects {
				if controller.Host.generation == generation && controller.Lease.Holds(now) {
					return controller.Lease.Yield(now)
				}
				return message.Effects{}
			})
		})
		return
	case w.platformMode == "slow":
		roundTrip = 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(600*time.Millisecond)))
	case w.platformMode == "refuse", w.platformMode == "empty":
		return // the answer is not accepted as a list
	}
	w.After(roundTrip/2, func() {
		list := slices.Clone(w.listedWorkers)
		for i := range list {
			list[i].Age = w.Now.Sub(w.workers[list[i].ID].startedAt)
		}
		if w.platformMode == "old" && w.staleList != nil {
			list = slices.Clone(w.staleList)
		}
		w.After(roundTrip/2, func() { w.deliverPlatformAnswer(controller, generation, query, list) })
	})
}

func (w *World) deliverPlatformAnswer(controller *Controller, generation int, query discovery.Query, list []config.Worker) {
	if controller.Host.Paused && controller.Host.generation == generation {
		w.After(10*time.Millisecond, func() { w.deliverPlatformAnswer(controller, generation, query, list) })
		return
	}
	if controller.Host.generation != generation {
		return
	}
	w.Inject(controller.Host, func(now units.Time) (out message.Effects) {
		if data, changed := controller.catalog.RecordAnswer(query, list); changed {
			controller.publish(now, configpush.Item{Key: discovery.Key("main", controller.Self), Version: query.Version,
				Data: data}, &out)
		}
		return out
	})
}

// checkPollRate checks that all controllers together keep the platform's rate limit, also during partitions.
func (w *World) checkPollRate(now units.Time) {
	w.polledAt = append(w.polledAt, now)
	polls := 0
	for i := len(w.polledAt) - 1; i >= 0 && now.Sub(w.polledAt[i]) < 10*time.Second; i-- {
		polls++
	}
	if limit := int(10*time.Second/pollInterval) + len(w.controllerHosts); polls > limit {
		w.reportViolation("the platform got %d queries in ten seconds, the limit is %d", polls, limit)
	}
}

// reachableFrom returns the hosts with a path from a host, direct or through others.
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

// recordLostPaths records which hosts have no path to a majority of the controllers, and which have none to the platform.
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

// canPollPlatform reports whether a controller is a voter and reaches the platform.
func (w *World) canPollPlatform(h *Host) bool {
	return w.alive(h) && w.controllers[h].Replica.Quorum().Has(w.controllers[h].Self) && !w.platformUnreachable[h] &&
		(w.platformMode == "" || w.platformMode == "slow")
}
