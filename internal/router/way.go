package router

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// way is one request on its way.
type way struct {
	v         *Router
	ctx       *fasthttp.RequestCtx
	rules     *rules
	m         *config.Mapping
	begun     units.Time
	until     units.Time
	left      time.Duration
	key       string
	body      []byte
	text      []byte
	handed    units.Time
	sent      int  // hand-overs whose bytes may have left
	paid      bool // the next try was taken from the budget already
	sure      bool
	why       synop.Code
	claimed   string // the key whose claim was granted, with its mapping
	holders   []units.Node
	due       time.Duration
	streaming bool
}

const (
	triesMost = 3
	staleAt   = 300 * time.Millisecond // a verdict older than this is not acted on: the process may have been frozen
	peekAt    = 50 * time.Millisecond
)

// limit bounds the caller's time left by the mapping's.
func (w *way) limit(ms int) bool {
	w.sure = true
	w.until = w.begun.Add(min(w.left, time.Duration(ms)*time.Millisecond))
	return false
}

// share draws the service among those that share the mapping: by the caller's key, so that its copies draw the same.
func (w *way) share() bool {
	id := w.key
	if id == "" {
		id = strconv.FormatUint(w.v.tag.Add(1), 16)
	}
	s, ok := draw(w.m.Split, id)
	return ok && w.try(s)
}

// more says whether the mapping lets the prompt go to another worker, besides those that have it now.
func (w *way) more(now int) bool { return w.m.Tries == 0 || w.sent+now < w.m.Tries }

// try offers the prompt to one service. True ends the request's way.
func (w *way) try(service string) bool {
	s := w.rules.Services[service]
	v := w.v
	for range max(triesMost, w.m.Tries) {
		now := v.Crew.Now()
		if w.until.Sub(now) < s.First {
			w.why = synop.OutOfTime
			return w.sent > 0 && w.end()
		}
		if !w.more(0) {
			return w.end()
		}
		if w.sent > 0 && !w.again(service, now) {
			w.why = synop.Budget
			return w.end()
		}
		tag := v.tag.Add(1)
		x, hung := w.admit(now, tag, s)
		if hung {
			return w.hungUp(tag, stageAdmission)
		}
		if x.Code != synop.OK {
			w.why, w.due = x.Code, x.Due
			return w.sent > 0 && w.end()
		}
		if v.Crew.Now().Sub(x.at) > staleAt {
			v.done(tag, false)
			continue
		}
		if w.handOver(tag, x.Worker, s) {
			return true
		}
	}
	if w.why == 0 {
		w.why = synop.NoWorker
	}
	return w.sent > 0 && w.end()
}

// admit asks for admission and waits for the verdict, noticing a caller that hangs up.
func (w *way) admit(now units.Time, tag uint64, s *config.Service) (verdict, bool) {
	v := w.v
	cands, keepers := v.cands(now, s, placement.Fingerprint(w.text, s.Prefix))
	c := make(chan verdict, 1)
	v.queueMu.Lock()
	v.waiting[tag] = c
	out := v.queue.Arrive(now, admission.Request{Tag: tag, Policy: s.Allow, Cands: cands, Tries: s.Spread + 4, Until: w.until, First: s.First, Worth: uint16(w.m.Promise.Worth),
		Keeper: func(n string) units.Node { return keepers[n] }})
	v.tell(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	t := time.NewTicker(peekAt)
	defer t.Stop()
	for {
		select {
		case x := <-c:
			return x, false
		case <-t.C:
			if upstream.HungUp(w.ctx.Conn()) {
				return verdict{}, true
			}
		}
	}
}

// address finds a worker that may still be handed something.
func (v *Router) address(name string, s *config.Service) (addr, zone string, ok bool) {
	v.tableMu.Lock()
	defer v.tableMu.Unlock()
	for _, x := range v.table.pools[s.Pool] {
		if s.Name+"/"+x.ID == name {
			return x.Addr, x.Zone, !x.Leaving && !v.table.out[x.Zone]
		}
	}
	return "", "", false
}

// handOver sends the prompt to the worker. True ends the request's way; false lets it look further.
func (w *way) handOver(tag uint64, name string, s *config.Service) bool {
	v := w.v
	addr, zone, ok := v.address(name, s)
	if !ok || !w.m.Reaches(s.Name) {
		v.done(tag, false)
		w.why = synop.NoWorker
		return false
	}
	now := v.Crew.Now()
	id := fmt.Sprintf("%s-%s", v.Self, strconv.FormatUint(tag, 16))
	t := upstream.NewTry(addr, id, w.body, w.until.Sub(now))
	v.stats.hand(zone, v.Boot.Zone, len(w.body))
	v.Crew.Go(t.Run)
	if w.sent == 0 {
		v.budgetOf(s.Name).First(now)
	}
	w.handed = now
	e, hung := w.first(t, s, name)
	if hung {
		t.Cancel()
		w.sent++
		return w.hungUp(tag, stageAnswer)
	}
	switch e.Kind {
	case upstream.Piece, upstream.Sealed:
		v.habitOf(s.Name).Add(v.Crew.Now().Sub(now))
		w.stream(tag, t, e, name)
		return true
	case upstream.NotSent:
		v.done(tag, false)
		if e.Down {
			v.passOver(name)
		}
		w.why = synop.NoWorker
		return false
	case upstream.NotRun:
		v.done(tag, false)
		w.why = synop.WorkerNo
		w.sent++
		return false
	}
	// It may have run: only a mapping that may repeat is tried again.
	w.sent++
	w.sure = false
	w.why = synop.Unknown
	v.done(tag, !e.Down)
	v.passOver(name)
	v.Log.WithError(e.Err).WithField("worker", name).Warn("a try of unknown outcome")
	return w.m.Once && w.end()
}

func (w *way) hungUp(tag uint64, at stage) bool {
	w.v.cut(tag)
	w.v.clientLeft(at, w.v.Crew.Now().Sub(w.begun))
	w.ctx.SetConnectionClose()
	w.ctx.SetStatusCode(synop.HungUp.Status())
	return true
}
