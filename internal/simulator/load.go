package simulator

import (
	"fmt"
	"strings"
	"time"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/units"
)

// work is a simulated worker; it counts what really runs.
type work struct {
	dark    bool // takes prompts, says nothing, notices nothing
	id      string
	zone    string
	up      bool
	start   units.Time
	leaving units.Time
	late    time.Duration // the last run begun after the mark
	seen    units.Time    // till then not everybody can know that it was started again in its place
	runs    map[*run]bool
}

type run struct {
	edge *Router
	tag  uint64
	life int
	end  units.Time
}

// GenerateLoad sends prompts at the world's rate from now on.
func (w *World) GenerateLoad() {
	if w.rate > 0 {
		w.prompt()
		w.After(time.Duration(w.Rng.ExpFloat64()/w.rate*1e9), w.GenerateLoad)
		return
	}
	w.After(100*time.Millisecond, w.GenerateLoad)
}

// prompt brings one to a router that the platform finds ready.
func (w *World) prompt() {
	var l []*Router
	for _, h := range w.edgeH {
		if e := w.edges[h]; w.alive(h) && e.Ready && !e.Draining && !e.Evacuated[h.Zone] {
			l = append(l, e)
		}
	}
	if len(l) == 0 {
		w.Stats.Unroutable++
		return
	}
	e := l[w.Rng.IntN(len(l))]
	w.fresh(e)
	longest := []time.Duration{6 * time.Second, 4 * time.Second, 20 * time.Second}[w.Rng.IntN(3)]
	if longest != 4*time.Second {
		w.admit(e, w.Now.Add(longest), w.topic(), "")
		return
	}
	w.serial++
	key := fmt.Sprintf("key%d", w.serial)
	w.notice(e, key)
	if k := w.Rng.IntN(3); k < 2 {
		// The caller's own copy, by way of another node, at once or late: also by what runs there after a loss.
		h := pick(w, l).Host
		w.After(time.Duration(w.Rng.Int64N(int64(5+40*k)*int64(time.Second))), func() {
			if o := w.edges[h]; w.alive(h) && o.Ready && !o.Draining {
				w.notice(o, key)
			}
		})
	}
}

// topic draws a prompt's prefix.
func (w *World) topic() int {
	if w.hot > 0 && w.Rng.Float64() < w.hot {
		return 0
	}
	return w.Rng.IntN(40)
}

// notice may not repeat: its key is claimed first.
func (w *World) notice(e *Router, key string) {
	e.tag++
	token := e.tag<<8 ^ uint64(e.Self)
	until := w.Now.Add(4 * time.Second)
	holders := idempotency.Holders(e.gossip.All(), key)
	e.claims[token] = func(c resultcode.Code, kept bool) {
		if w.Stats.Claims++; c == resultcode.ClaimFailed {
			w.Stats.FailedClaims++
		}
		if c == resultcode.OK && !kept {
			if _, ok := w.weak[key]; !ok { // the first copy's claim is the one that may be forgotten
				w.weak[key] = w.Now
			}
			w.Stats.NonDurableClaims++
		}
		switch {
		case c == resultcode.OK && w.Now < until:
			w.admit(e, until, w.topic(), key)
		case c == resultcode.OK || c == resultcode.KeySpent:
			w.notRun(e, key)
		}
	}
	out := e.claimant.Claim(w.Now, token, key, holders)
	e.tell()
	w.out(e.Host, out)
}

// notRun is said to the caller, and the key is burned.
func (w *World) notRun(e *Router, key string) {
	w.Stats.Refused++
	if key == "" {
		return
	}
	if w.ran[key] > 0 && !w.forgotten(key) {
		w.fault("%s was said not to run and had run", key)
	}
	w.never[key] = true
	w.out(e.Host, e.claimant.Spend(key, idempotency.Holders(e.gossip.All(), key)))
}

func (w *World) admit(e *Router, until units.Time, topic int, key string) {
	s := e.Config.Services["advice"]
	q := placement.Query{Prefix: units.Mix("topic", fmt.Sprint(topic)), Zone: e.Host.Zone, PreferredCount: s.PreferredCount}
	keepers := map[string]units.NodeID{}
	for _, x := range e.Pools[s.Pool] {
		name := s.Name + "/" + x.ID
		if x.Draining || e.Evacuated[x.Zone] || x.Service != "" && x.Service != s.Name {
			continue
		}
		load := 0.0
		if l, ok := e.queue.Loads[name]; ok && w.Now.Sub(l.UpdatedAt) < 2*time.Second {
			load = float64(l.InUse+l.Waiting) / float64(l.Capacity)
		}
		q.Candidates = append(q.Candidates, placement.Candidate{Name: name, Zone: x.Zone, Load: load})
		keepers[name] = capacity.Coordinator(e.peers, name, x.Zone)
	}
	e.tag++
	tag := e.tag
	e.verdict[tag] = func(v admission.Decision) { w.verdict(e, tag, until, key, v) }
	out := e.queue.Submit(w.Now, admission.Request{Tag: tag, Policy: s.AdmissionPolicy, Candidates: e.placer.Rank(s.PlacementPolicy, q), MaxCandidates: s.PreferredCount + 4, Deadline: until,
		FirstTokenTime: s.FirstTokenTime, Coordinator: func(n string) units.NodeID { return keepers[n] }})
	e.tell()
	w.out(e.Host, out)
}

func (w *World) verdict(e *Router, tag uint64, until units.Time, key string, v admission.Decision) {
	if v.Code != resultcode.OK {
		w.notRun(e, key)
		return
	}
	_, id, _ := strings.Cut(v.Worker, "/")
	x := w.workers[id]
	if x == nil || !x.up || !w.alive(e.Host) {
		w.done(e, tag, false)
		return
	}
	if closed(e, id) {
		w.done(e, tag, false) // the daemon looks once more before it hands over
		return
	}
	if key != "" {
		w.ran[key]++
		if (w.ran[key] > 1 || w.never[key]) && !w.forgotten(key) {
			w.fault("%s ran %d times, said not to run: %v", key, w.ran[key], w.never[key])
		}
	}
	w.begin(e, tag, until, x)
}

func closed(e *Router, id string) bool {
	for _, y := range e.Pools["main"] {
		if y.ID == id {
			return y.Draining || e.Evacuated[y.Zone]
		}
	}
	return true
}

// begin is a run that really starts; everything is judged here.
func (w *World) begin(e *Router, tag uint64, until units.Time, x *work) {
	dur := 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(1800*time.Millisecond)))
	if x.dark {
		dur = time.Hour
	}
	r := &run{edge: e, tag: tag, life: e.Host.life, end: min(w.Now.Add(dur), until)}
	x.runs[r] = true
	w.Stats.Runs++
	if e.Host.Zone != x.zone {
		w.Stats.CrossZone++
	}
	w.judgeStart(e, x)
	life := e.Host.life
	var finish func()
	finish = func() {
		switch {
		case e.Host.life != life:
			// The router ended: the worker notices the broken wire.
			delete(x.runs, r)
		case e.Host.Paused:
			delete(x.runs, r) // the worker is through; the router hears of it when it wakes
			w.After(50*time.Millisecond, finish)
		default:
			delete(x.runs, r)
			w.done(e, tag, !x.up && e.Host.Isolated)
		}
	}
	w.At(r.end, finish)
	var gone func()
	gone = func() {
		if x.runs[r] && e.Host.life != life {
			w.After(100*time.Millisecond, func() { delete(x.runs, r) })
		} else if x.runs[r] {
			w.After(100*time.Millisecond, gone)
		}
	}
	w.After(100*time.Millisecond, gone)
}

func (w *World) done(e *Router, tag uint64, unsure bool) {
	out := e.queue.Done(w.Now, tag, unsure)
	e.tell()
	w.out(e.Host, out)
}

// forgotten says whether a key was claimed while no disk could be told, and all memory was lost after that.
func (w *World) forgotten(key string) bool {
	at, ok := w.weak[key]
	return ok && w.lost > at
}
