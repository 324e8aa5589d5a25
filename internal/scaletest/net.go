// Package scaletest runs many nodes in one process to measure what each role costs at a size: the daemons' own step
// machines for membership, news, keepers, claims and control state, with no engine behind and frames counted instead
// of sent (docs/CAPACITY.md).
package scaletest

import (
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

const headLen = 24 // of a frame, as package transport lays it out

// event is a note that arrives, or a thing to do, at one millisecond of virtual time.
type event struct {
	to   *node
	life int
	note message.Message
	do   func()
}

// program is what a node runs on top of membership and news.
type program interface {
	step(now units.Time, n message.Message) message.Effects
	beat(now units.Time, all []membership.Member) message.Effects
	gone(now units.Time, l []units.NodeID)
	calm(now units.Time) bool // it serves, or votes, or stands by
}

// count is what one part of one role did.
type count struct {
	Notes, Bytes, In int
	Busy             time.Duration
}

type partKey struct {
	role membership.Role
	kind message.Kind // zero for ticks of the program, and for disk work
}

// Simulation is one site of hollow nodes, on a virtual clock.
type Simulation struct {
	Now         units.Time
	rng         *rand.Rand
	nodes       []*node
	byID        map[units.NodeID]*node
	byAddr      map[string]*node
	slots       map[int64][]event
	counts      map[partKey]*count
	cut         string // a region that nothing gets into or out of
	DiskSyncs   int
	SyncedBytes int // bytes of records
	SiteSize
	*load
}

// SiteSize says how large a site is.
type SiteSize struct {
	Routers, Workers, Models, Tenants int
	Rate                              float64 // requests a second
	Seed                              uint64
}

// site lays a zone out: eleven zones in three regions.
var site = []struct{ zone, region string }{
	{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}, {"b1", "b"}, {"b2", "b"}, {"b3", "b"}, {"b4", "b"}, {"c1", "c"}, {"c2", "c"}, {"c3", "c"},
}

func (w *Simulation) at(t units.Time, e event) {
	ms := max(int64(t)/1e6, int64(w.Now)/1e6+1)
	w.slots[ms] = append(w.slots[ms], e)
}

// Schedule plans a thing for a span from now.
func (w *Simulation) Schedule(d time.Duration, do func()) { w.at(w.Now.Add(d), event{do: do}) }

// Advance lets virtual time go on for a span.
func (w *Simulation) Advance(d time.Duration) {
	for end := w.Now.Add(d); w.Now < end; {
		ms := int64(w.Now)/1e6 + 1
		w.Now = units.Time(ms * 1e6)
		l := w.slots[ms]
		delete(w.slots, ms)
		for i := range l {
			switch e := &l[i]; {
			case e.do != nil:
				e.do()
			case e.life == e.to.life && e.to.up:
				e.to.take(e.note)
			}
		}
	}
}

func (w *Simulation) part(r membership.Role, k message.Kind) *count {
	c := w.counts[partKey{r, k}]
	if c == nil {
		c = &count{}
		w.counts[partKey{r, k}] = c
	}
	return c
}

// send counts one frame and brings it to where it goes.
func (w *Simulation) send(from *node, n message.Message) {
	n.From = from.self
	to := w.byID[n.To]
	if n.Addr != "" {
		to = w.byAddr[n.Addr]
	}
	size := headLen + len(n.Body)
	if to != from { // a note to oneself never leaves the process
		c := w.part(from.role, n.Kind&^15)
		c.Notes++
		c.Bytes += size
		from.bytes += size
	}
	switch {
	case to == nil || w.cut != "" && (from.region == w.cut) != (to.region == w.cut):
		return
	case !to.up || n.To != 0 && n.To != to.self:
		if !to.up {
			w.refuse(from, to.addr)
		}
		return
	case to != from:
		w.part(to.role, n.Kind&^15).In += size
		to.in += size
	}
	w.at(w.Now.Add(w.delay(from, to)), event{to: to, life: to.life, note: n})
}

// refuse tells a sender that nobody listens at an address, as the kernel does when its wire is dialled.
func (w *Simulation) refuse(from *node, addr string) {
	life := from.life
	w.Schedule(time.Millisecond, func() {
		if from.up && from.life == life {
			if l := from.membership.ConnectionRefused(w.Now, addr); len(l) > 0 {
				from.prog.gone(w.Now, l)
			}
		}
	})
}

func (w *Simulation) delay(a, b *node) time.Duration {
	d := time.Duration(w.rng.Int64N(int64(time.Millisecond)))
	switch {
	case a.region != b.region:
		return d + 40*time.Millisecond
	case a.zone != b.zone:
		return d + 2*time.Millisecond
	}
	return d
}
