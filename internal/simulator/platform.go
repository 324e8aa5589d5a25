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

const pollGap = 500 * time.Millisecond

// poll is one question of a core machine to the platform, which sees the world at the middle of its way. What comes
// back to a frozen process waits for it; a process that was started again never hears of it.
func (w *World) poll(c *Controller, now units.Time) {
	a := c.catalog.NewQuery(now, "main", c.Self, int64(now)/int64(time.Millisecond))
	w.judgeRate(now)
	life := c.Host.life
	way := 2*time.Millisecond + time.Duration(w.Rng.Int64N(int64(8*time.Millisecond)))
	switch {
	case w.shut[c.Host] || c.Host.Isolated || w.mood == "gone":
		w.After(time.Second, func() { // no answer in time
			w.Inject(c.Host, func(now units.Time) message.Effects {
				if c.Host.life == life && c.Lease.Holds(now) {
					return c.Lease.Yield(now)
				}
				return message.Effects{}
			})
		})
		return
	case w.mood == "slow":
		way = 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(600*time.Millisecond)))
	case w.mood == "refuse", w.mood == "empty":
		return // no list is believed
	}
	w.After(way/2, func() {
		l := slices.Clone(w.listed)
		for i := range l {
			l[i].Age = w.Now.Sub(w.workers[l[i].ID].start)
		}
		if w.mood == "old" && w.before != nil {
			l = slices.Clone(w.before)
		}
		w.After(way/2, func() { w.answer(c, life, a, l) })
	})
}

func (w *World) answer(c *Controller, life int, a discovery.Query, l []config.Worker) {
	if c.Host.Paused && c.Host.life == life {
		w.After(10*time.Millisecond, func() { w.answer(c, life, a, l) })
		return
	}
	if c.Host.life != life {
		return
	}
	w.Inject(c.Host, func(now units.Time) (out message.Effects) {
		if data, news := c.catalog.RecordAnswer(a, l); news {
			c.spread(now, configpush.Item{Key: discovery.Key("main", c.Self), Version: a.Version, Data: data}, &out)
		}
		return out
	})
}

// judgeRate: the platform's limit holds for the fleet, however the core is cut.
func (w *World) judgeRate(now units.Time) {
	w.asks = append(w.asks, now)
	k := 0
	for i := len(w.asks) - 1; i >= 0 && now.Sub(w.asks[i]) < 10*time.Second; i-- {
		k++
	}
	if most := int(10*time.Second/pollGap) + len(w.coreH); k > most {
		w.fault("the platform was asked %d times in ten seconds, %d are allowed", k, most)
	}
}

// reach gives the machines that can hear from a core machine, over others too.
func (w *World) reach(h *Host) map[*Host]bool {
	all := append(slices.Clone(w.coreH), w.edgeH...)
	got := map[*Host]bool{h: true}
	for list := []*Host{h}; len(list) > 0; list = list[1:] {
		for _, o := range all {
			if !got[o] && w.alive(o) && w.alive(list[0]) && !w.Partitioned(list[0], o) && !w.Partitioned(o, list[0]) {
				got[o] = true
				list = append(list, o)
			}
		}
	}
	return got
}

// watchPaths notes which machines have no path to a core that could answer, and which none to the platform.
func (w *World) watchPaths() {
	all := append(slices.Clone(w.coreH), w.edgeH...)
	seen, marks := map[*Host]bool{}, map[*Host]bool{}
	for _, h := range w.coreH {
		got, cores := w.reach(h), 0
		for _, o := range w.coreH {
			if got[o] && w.alive(o) {
				cores++
			}
		}
		for o := range got {
			seen[o] = seen[o] || cores > len(w.coreH)/2
			marks[o] = marks[o] || w.canAsk(h)
		}
	}
	for _, h := range all {
		if !seen[h] && !h.Paused && h.Proc != nil {
			w.cutAt[h] = w.Now
		}
		if !marks[h] && !h.Paused && h.Proc != nil {
			w.markAt[h] = w.Now
		}
	}
}

// canAsk says whether a core machine may and can ask the platform: a voter that reaches it.
func (w *World) canAsk(h *Host) bool {
	return w.alive(h) && w.cores[h].Replica.Quorum().Has(w.cores[h].Self) && !w.shut[h] && (w.mood == "" || w.mood == "slow")
}
