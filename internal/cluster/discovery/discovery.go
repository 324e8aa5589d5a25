// Package discovery holds what the platform was seen to list: one sighting per pool and asker, no disk, no
// majority (design 5).
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

// KeyPrefix begins the keys of sightings in the news: workers/POOL/ASKER.
const KeyPrefix = "workers/"

// rewarmSlack is how much longer a worker must look to stay cold than it should before it counts as cold anew (start).
const rewarmSlack = 500 * time.Millisecond

// restartSlack is how much younger a worker must look than it should before it counts as started again.
const restartSlack = 1500 * time.Millisecond

// observation is one answer of the platform. Knew says which sightings its asker had heard of before it asked: only
// those does it replace, since only then is it certain to be the later one.
type observation struct {
	version units.Version
	workers []config.Worker
	known   map[string]units.Version
}

// Catalog merges the sightings of all askers into one list of workers for each pool. It isn't safe for concurrent use.
type Catalog struct {
	observations map[string]map[string]*observation
	startedAt    map[string]units.Time // when each worker began, on this process's clock
	generation   map[string]uint64
	warmingUntil map[string]units.Time // till when each worker is cold, where the list says how much longer it is
}

// New has seen nothing.
func New() *Catalog {
	return &Catalog{observations: map[string]map[string]*observation{}, startedAt: map[string]units.Time{}, generation: map[string]uint64{}, warmingUntil: map[string]units.Time{}}
}

// Key names an asker's sightings of a pool in the news.
func Key(pool string, observer units.NodeID) string {
	return KeyPrefix + pool + "/" + observer.String()
}

// Apply takes a sighting from the news, and gives the pool that it is of.
func (c *Catalog) Apply(now units.Time, key string, version units.Version, data []byte) (string, error) {
	pool, observer, _ := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	workers, err := config.ReadWorkers(data)
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
		if _, ok := c.startedAt[w.ID]; !ok || w.Life > c.generation[w.ID] {
			c.startedAt[w.ID], c.generation[w.ID], c.warmingUntil[w.ID] = now.Add(-w.Age), w.Life, now.Add(w.Cold)
		}
	}
	return pool, nil
}

// List merges what stands: sightings that no later one replaced. Where two can't be ordered, a worker that either
// marks as leaving is leaving, and one that either lists is listed.
func (c *Catalog) List(pool string) []config.Worker {
	byObserver, merged := c.observations[pool], map[string]config.Worker{}
	for _, id := range message.SortedKeys(byObserver) {
		s, superseded := byObserver[id], false
		for b, t := range byObserver {
			superseded = superseded || b != id && t.known[id] >= s.version && !(s.known[b] >= t.version)
		}
		if superseded {
			continue
		}
		for _, w := range s.workers {
			x, ok := merged[w.ID]
			if ok {
				leaving := x.Leaving || w.Leaving
				if x.Life >= w.Life {
					w = x
				}
				w.Leaving = leaving
			}
			merged[w.ID] = w
		}
	}
	l := make([]config.Worker, 0, len(merged))
	for _, id := range message.SortedKeys(merged) {
		l = append(l, merged[id])
	}
	return l
}

// StartTimes says when each worker began, as far as is known.
func (c *Catalog) StartTimes() map[string]units.Time { return c.startedAt }

// Query is one question to the platform: its number, and which sightings its asker had heard of when it began.
type Query struct {
	Pool      string
	Version   units.Version
	StartedAt units.Time
	known     map[string]units.Version
}

// NewQuery begins a question. Wall is the asker's calendar in milliseconds; a number also goes past every one that the
// asker is known to have given, so a wrong calendar costs nothing.
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

// RecordAnswer takes the platform's answer and gives the news that it makes; nothing when it says what is known already.
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
		if w.Life = k.Life; restarted {
			w.Life = uint64(q.Version) // started, or started again: it warms anew
		}
		changed = changed || restarted || k.Zone != w.Zone || k.Leaving != w.Leaving || k.Slots != w.Slots
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

// restarted says whether a worker that is known looks as if it had been started again, or had turned cold again. Lists that
// name a worker's service tell how much longer it is cold, others how old it is (design 13).
func (c *Catalog) restarted(now units.Time, w *config.Worker) bool {
	if w.Service != "" {
		return w.Cold > 0 && now.Add(w.Cold).Sub(c.warmingUntil[w.ID]) > rewarmSlack
	}
	return now.Add(-w.Age).Sub(c.startedAt[w.ID]) > restartSlack
}

// Schedule paces one node's questions: a node may ask for its share of the fleet's rate, and shares never add up to more
// than the whole (design 5).
type Schedule struct {
	credit    time.Duration
	updatedAt units.Time
}

// Due says whether a question may go out now; gap is the fleet's least gap between two.
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

// Next says how long nothing can be due if the share stays as it is. Time is credited a gap at a time at the most.
func (t *Schedule) Next(now units.Time, share float64, interval time.Duration) time.Duration {
	wait := interval
	if share > 0 {
		wait = min(interval, time.Duration(float64(interval-t.credit)/share))
	}
	return max(time.Millisecond, wait-now.Sub(t.updatedAt)+time.Millisecond)
}
