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

// coldSlack is how much longer a worker must look to stay cold than it should before it counts as cold anew (start).
const coldSlack = 500 * time.Millisecond

// slack is how much younger a worker must look than it should before it counts as started again.
const slack = 1500 * time.Millisecond

// sighting is one answer of the platform. Knew says which sightings its asker had heard of before it asked: only
// those does it replace, since only then is it certain to be the later one.
type sighting struct {
	num  units.Version
	list []config.Worker
	knew map[string]units.Version
}

// Catalog merges the sightings of all askers into one list of workers for each pool. It isn't safe for concurrent use.
type Catalog struct {
	pools map[string]map[string]*sighting
	start map[string]units.Time // when each worker began, on this process's clock
	life  map[string]uint64
	cold  map[string]units.Time // till when each worker is cold, where the list says how much longer it is
}

// New has seen nothing.
func New() *Catalog {
	return &Catalog{pools: map[string]map[string]*sighting{}, start: map[string]units.Time{}, life: map[string]uint64{}, cold: map[string]units.Time{}}
}

// Key names an asker's sightings of a pool in the news.
func Key(pool string, asker units.NodeID) string { return KeyPrefix + pool + "/" + asker.String() }

// Apply takes a sighting from the news, and gives the pool that it is of.
func (n *Catalog) Apply(now units.Time, key string, num units.Version, data []byte) (string, error) {
	pool, asker, _ := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	l, err := config.ParseWorkers(data)
	if err != nil {
		return pool, err
	}
	s := &sighting{num: num, list: l, knew: map[string]units.Version{}}
	if o := fastjson.MustParseBytes(data).GetObject("knew"); o != nil {
		o.Visit(func(k []byte, v *fastjson.Value) {
			x, _ := v.Uint64()
			s.knew[string(k)] = units.Version(x)
		})
	}
	by := n.pools[pool]
	if by == nil {
		by = map[string]*sighting{}
		n.pools[pool] = by
	}
	if old := by[asker]; old != nil && old.num >= num {
		return pool, nil
	}
	by[asker] = s
	for _, w := range n.List(pool) {
		if _, ok := n.start[w.ID]; !ok || w.Incarnation > n.life[w.ID] {
			n.start[w.ID], n.life[w.ID], n.cold[w.ID] = now.Add(-w.Age), w.Incarnation, now.Add(w.WarmingUpFor)
		}
	}
	return pool, nil
}

// List merges what stands: sightings that no later one replaced. Where two can't be ordered, a worker that either
// marks as leaving is leaving, and one that either lists is listed.
func (n *Catalog) List(pool string) []config.Worker {
	by, got := n.pools[pool], map[string]config.Worker{}
	for _, a := range message.SortedKeys(by) {
		s, old := by[a], false
		for b, t := range by {
			old = old || b != a && t.knew[a] >= s.num && !(s.knew[b] >= t.num)
		}
		if old {
			continue
		}
		for _, w := range s.list {
			x, ok := got[w.ID]
			if ok {
				leaving := x.Draining || w.Draining
				if x.Incarnation >= w.Incarnation {
					w = x
				}
				w.Draining = leaving
			}
			got[w.ID] = w
		}
	}
	l := make([]config.Worker, 0, len(got))
	for _, id := range message.SortedKeys(got) {
		l = append(l, got[id])
	}
	return l
}

// StartTimes says when each worker began, as far as is known.
func (n *Catalog) StartTimes() map[string]units.Time { return n.start }

// Query is one question to the platform: its number, and which sightings its asker had heard of when it began.
type Query struct {
	Pool      string
	Version   units.Version
	StartedAt units.Time
	knew      map[string]units.Version
}

// NewQuery begins a question. Wall is the asker's calendar in milliseconds; a number also goes past every one that the
// asker is known to have given, so a wrong calendar costs nothing.
func (n *Catalog) NewQuery(now units.Time, pool string, self units.NodeID, wall int64) Query {
	a := Query{Pool: pool, Version: units.Version(max(1, wall)), StartedAt: now, knew: map[string]units.Version{}}
	for k, s := range n.pools[pool] {
		a.knew[k] = s.num
		if k == self.String() {
			a.Version = max(a.Version, s.num+1)
		}
	}
	return a
}

// RecordAnswer takes the platform's answer and gives the news that it makes; nothing when it says what is known already.
func (n *Catalog) RecordAnswer(a Query, l []config.Worker) ([]byte, bool) {
	l = slices.Clone(l)
	slices.SortFunc(l, func(x, y config.Worker) int { return cmp.Compare(x.ID, y.ID) })
	known := map[string]config.Worker{}
	for _, w := range n.List(a.Pool) {
		known[w.ID] = w
	}
	fresh := len(known) != len(l)
	for i := range l {
		w := &l[i]
		k, ok := known[w.ID]
		again := !ok || k.Addr != w.Addr || k.Service != w.Service || n.younger(a.StartedAt, w)
		if w.Incarnation = k.Incarnation; again {
			w.Incarnation = uint64(a.Version) // started, or started again: it warms anew
		}
		fresh = fresh || again || k.Zone != w.Zone || k.Draining != w.Draining || k.Slots != w.Slots
	}
	if !fresh {
		return nil, false
	}
	var r fastjson.Arena
	v, knew := config.WorkersValue(&r, l), r.NewObject()
	for _, k := range message.SortedKeys(a.knew) {
		knew.Set(k, r.NewNumberString(fmt.Sprint(uint64(a.knew[k]))))
	}
	v.Set("knew", knew)
	return v.MarshalTo(nil), true
}

// younger says whether a worker that is known looks as if it had been started again, or had turned cold again. Lists that
// name a worker's service tell how much longer it is cold, others how old it is (design 13).
func (n *Catalog) younger(now units.Time, w *config.Worker) bool {
	if w.Service != "" {
		return w.WarmingUpFor > 0 && now.Add(w.WarmingUpFor).Sub(n.cold[w.ID]) > coldSlack
	}
	return now.Add(-w.Age).Sub(n.start[w.ID]) > slack
}

// Schedule paces one node's questions: a node may ask for its share of the fleet's rate, and shares never add up to more
// than the whole (design 5).
type Schedule struct {
	credit time.Duration
	last   units.Time
}

// Due says whether a question may go out now; gap is the fleet's least gap between two.
func (t *Schedule) Due(now units.Time, share float64, gap time.Duration) bool {
	since := min(now.Sub(t.last), gap)
	t.last = now
	t.credit = min(gap, t.credit+time.Duration(share*float64(since)))
	if share == 0 || t.credit < gap {
		return false
	}
	t.credit = 0
	return true
}

// Next says how long nothing can be due if the share stays as it is. Time is credited a gap at a time at the most.
func (t *Schedule) Next(now units.Time, share float64, gap time.Duration) time.Duration {
	need := gap
	if share > 0 {
		need = min(gap, time.Duration(float64(gap-t.credit)/share))
	}
	return max(time.Millisecond, need-now.Sub(t.last)+time.Millisecond)
}
