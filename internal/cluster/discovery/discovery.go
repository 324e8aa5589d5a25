// Package discovery merges the workers that the platform lists, as observed by several nodes. It keeps the latest
// observation per pool and observer, and needs no disk and no majority (docs/design.md, section 5).
package discovery

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// KeyPrefix begins the keys under which configpush distributes observations: workers/POOL/OBSERVER.
const KeyPrefix = "workers/"

// rewarmSlack is by how much a worker's remaining warm-up time must exceed the expected one before the worker counts as
// warming up again.
const rewarmSlack = 500 * time.Millisecond

// restartSlack is by how much a worker's age must fall short of the expected one before the worker counts as restarted.
const restartSlack = 1500 * time.Millisecond

// observation is one answer of the platform. Known has the versions of the observations, by observer, that its observer
// had received before the query. Only those does it supersede, since only then is it certain to be later.
type observation struct {
	version units.Version
	workers []config.Worker
	known   map[string]units.Version
}

// Catalog merges the observations of all observers into one list of workers for each pool. It isn't safe for concurrent
// use.
type Catalog struct {
	observations map[string]map[string]*observation // by pool and observer
	startedAt    map[string]units.Time              // when each worker started, on this process's clock
	generation   map[string]uint64
	warmingUntil map[string]units.Time // end of each worker's warm-up, if the list contains the time left
}

// New returns a catalog without observations.
func New() *Catalog {
	return &Catalog{observations: map[string]map[string]*observation{}, startedAt: map[string]units.Time{},
		generation: map[string]uint64{}, warmingUntil: map[string]units.Time{}}
}

// Key returns the configpush key of an observer's observations of a pool.
func Key(pool string, observer units.NodeID) string {
	return KeyPrefix + pool + "/" + observer.String()
}

// Apply adds an observation distributed by configpush, and returns its pool.
func (c *Catalog) Apply(now units.Time, key string, version units.Version, data []byte) (string, error) {
	pool, observer, _ := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	workers, err := config.ParseWorkers(data)
	if err != nil {
		return pool, err
	}
	s := &observation{version: version, workers: workers, known: map[string]units.Version{}}
	if o := fastjson.MustParseBytes(data).GetObject("knew"); o != nil {
		o.Visit(func(k []byte, v *fastjson.Value) {
			x, _ := v.Uint64()
			s.known[string(k)] = units.Version(x)
		})
	}
	byObserver := c.observations[pool]
	if byObserver == nil {
		byObserver = map[string]*observation{}
		c.observations[pool] = byObserver
	}
	if old := byObserver[observer]; old != nil && old.version >= version {
		return pool, nil
	}
	byObserver[observer] = s
	for _, w := range c.List(pool) {
		if _, ok := c.startedAt[w.ID]; !ok || w.Incarnation > c.generation[w.ID] {
			c.startedAt[w.ID], c.generation[w.ID], c.warmingUntil[w.ID] = now.Add(-w.Age), w.Incarnation, now.Add(w.WarmingUpFor)
		}
	}
	return pool, nil
}

// List merges the observations of a pool that no later one supersedes. If two can't be ordered, a worker that either of
// them marks as leaving is leaving, and a worker that either of them lists is listed.
func (c *Catalog) List(pool string) []config.Worker {
	byObserver, merged := c.observations[pool], map[string]config.Worker{}
	for _, observer := range message.SortedKeys(byObserver) {
		o, superseded := byObserver[observer], false
		for other, p := range byObserver {
			superseded = superseded || other != observer && p.known[observer] >= o.version && !(o.known[other] >= p.version)
		}
		if superseded {
			continue
		}
		for _, w := range o.workers {
			x, ok := merged[w.ID]
			if ok {
				leaving := x.Draining || w.Draining
				if x.Incarnation >= w.Incarnation {
					w = x
				}
				w.Draining = leaving
			}
			merged[w.ID] = w
		}
	}
	workers := make([]config.Worker, 0, len(merged))
	for _, id := range message.SortedKeys(merged) {
		workers = append(workers, merged[id])
	}
	return workers
}

// StartTimes returns when each known worker started.
func (c *Catalog) StartTimes() map[string]units.Time { return c.startedAt }

// Query is a query to the platform: its version, and the observations that its observer had received when it started.
type Query struct {
	Pool      string
	Version   units.Version
	StartedAt units.Time
	known     map[string]units.Version
}

// NewQuery starts a query. Its version is wallMillis, the observer's wall clock in milliseconds, or more if needed to exceed
// every known version of this observer, so a wrong wall clock does no harm.
func (c *Catalog) NewQuery(now units.Time, pool string, self units.NodeID, wallMillis int64) Query {
	q := Query{Pool: pool, Version: units.Version(max(1, wallMillis)), StartedAt: now, known: map[string]units.Version{}}
	for k, s := range c.observations[pool] {
		q.known[k] = s.version
		if k == self.String() {
			q.Version = max(q.Version, s.version+1)
		}
	}
	return q
}

// RecordAnswer compares the platform's answer with the catalog. It returns the observation to distribute, or false if the
// answer contains nothing new.
func (c *Catalog) RecordAnswer(q Query, workers []config.Worker) ([]byte, bool) {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, func(x, y config.Worker) int { return cmp.Compare(x.ID, y.ID) })
	known := map[string]config.Worker{}
	for _, w := range c.List(q.Pool) {
		known[w.ID] = w
	}
	changed := len(known) != len(workers)
	for i := range workers {
		w := &workers[i]
		k, ok := known[w.ID]
		restarted := !ok || k.Addr != w.Addr || k.Service != w.Service || c.restarted(q.StartedAt, w)
		if w.Incarnation = k.Incarnation; restarted {
			w.Incarnation = uint64(q.Version) // started or restarted: it warms up again
		}
		changed = changed || restarted || k.Zone != w.Zone || k.Draining != w.Draining || k.Slots != w.Slots
	}
	if !changed {
		return nil, false
	}
	var arena fastjson.Arena
	v, knew := config.WorkersValue(&arena, workers), arena.NewObject()
	for _, k := range message.SortedKeys(q.known) {
		knew.Set(k, arena.NewNumberString(fmt.Sprint(uint64(q.known[k]))))
	}
	v.Set("knew", knew)
	return v.MarshalTo(nil), true
}

// restarted reports whether a known worker seems to have been restarted or to be warming up again. Lists that name a
// worker's service contain its remaining warm-up time, others its age (docs/design.md, section 13).
func (c *Catalog) restarted(now units.Time, w *config.Worker) bool {
	if w.Service != "" {
		return w.WarmingUpFor > 0 && now.Add(w.WarmingUpFor).Sub(c.warmingUntil[w.ID]) > rewarmSlack
	}
	return now.Add(-w.Age).Sub(c.startedAt[w.ID]) > restartSlack
}

// Schedule limits one node's queries to its share of the fleet's rate. The shares never add up to more than 1
// (docs/design.md, section 5).
type Schedule struct {
	credit    time.Duration
	updatedAt units.Time
}

// Due reports whether a query may be sent now; interval is the fleet's minimum interval between two queries.
func (t *Schedule) Due(now units.Time, share float64, interval time.Duration) bool {
	elapsed := min(now.Sub(t.updatedAt), interval)
	t.updatedAt = now
	t.credit = min(interval, t.credit+time.Duration(share*float64(elapsed)))
	if share == 0 || t.credit < interval {
		return false
	}
	t.credit = 0
	return true
}

// Next returns how long no query can become due if the share stays the same. It is at most about one interval, since Due
// credits no more than that at a time.
func (t *Schedule) Next(now units.Time, share float64, interval time.Duration) time.Duration {
	wait := interval
	if share > 0 {
		wait = min(interval, time.Duration(float64(interval-t.credit)/share))
	}
	return max(time.Millisecond, wait-now.Sub(t.updatedAt)+time.Millisecond)
}
