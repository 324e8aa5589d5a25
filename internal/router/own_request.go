package router

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// ownRequest is one request of the product's own interface on its way.
type ownRequest struct {
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
	why       resultcode.Code
	claimed   string // the key whose claim was granted, with its mapping
	holders   []units.NodeID
	due       time.Duration
	client    *clientwatch.Request
	at        stage // where it stands
	streaming bool
}

const (
	triesMost = 3
	staleAt   = 300 * time.Millisecond // a verdict older than this is not acted on: the process may have been frozen
	lateEach  = 50 * time.Millisecond  // how often an answer that has not begun is looked at
)

// limit bounds the caller's time left by the mapping's.
func (w *ownRequest) limit(ms int) bool {
	w.sure = true
	w.until = w.begun.Add(min(w.left, time.Duration(ms)*time.Millisecond))
	return false
}

// share draws the service among those that share the mapping: by the caller's key, so that its copies draw the same.
func (w *ownRequest) share() bool {
	id := w.key
	if id == "" {
		id = strconv.FormatUint(w.v.tag.Add(1), 16)
	}
	s, ok := draw(w.m.Split, id)
	return ok && w.try(s)
}

// more says whether the mapping lets the prompt go to another worker, besides those that have it now.
func (w *ownRequest) more(now int) bool { return w.m.MaxWorkers == 0 || w.sent+now < w.m.MaxWorkers }

// try offers the prompt to one service. True ends the request's way.
func (w *ownRequest) try(service string) bool {
	s := w.rules.Services[service]
	v := w.v
	for range max(triesMost, w.m.MaxWorkers) {
		now := v.Tasks.Now()
		if w.cancelled() {
			return w.end()
		}
		if w.until.Sub(now) < s.FirstTokenTime {
			w.why = resultcode.DeadlineExceeded
			return w.sent > 0 && w.end()
		}
		if !w.more(0) {
			return w.end()
		}
		if w.sent > 0 && !w.again(service, now) {
			w.why = resultcode.RetryBudgetExhausted
			return w.end()
		}
		tag := v.tag.Add(1)
		x := w.admit(now, tag, s)
		if x.Code != resultcode.OK {
			w.why, w.due = x.Code, x.ExpectedWait
			return w.sent > 0 && w.end()
		}
		if v.Tasks.Now().Sub(x.at) > staleAt {
			v.done(tag, false)
			continue
		}
		if w.handOver(tag, x.Worker, s) {
			return true
		}
	}
	if w.why == 0 {
		w.why = resultcode.NoWorker
	}
	return w.sent > 0 && w.end()
}

// admit asks for admission and waits for the verdict, or until the request is cancelled.
func (w *ownRequest) admit(now units.Time, tag uint64, s *config.Service) verdict {
	v := w.v
	w.at = stageAdmission
	cands, keepers := v.candidates(now, s, placement.Fingerprint(w.text, s.PrefixBytes))
	c := make(chan verdict, 1)
	v.queueMu.Lock()
	v.waiting[tag] = c
	out := v.queue.Submit(now, admission.Request{Tag: tag, Policy: s.AdmissionPolicy, Candidates: cands, MaxCandidates: s.PreferredCount + 4, Deadline: w.until, FirstTokenTime: s.FirstTokenTime, Worth: uint16(w.m.Promise.Worth),
		Coordinator: func(n string) units.NodeID { return keepers[n] }})
	v.deliverVerdicts(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	select {
	case x := <-c:
		return x
	case <-w.client.Done():
		v.cut(tag)
		w.cancelled()
		return verdict{Decision: admission.Decision{Code: w.why}}
	}
}

// address finds a worker that may still be handed something.
func (v *Router) address(name string, s *config.Service) (addr, zone string, ok bool) {
	v.tableMu.Lock()
	defer v.tableMu.Unlock()
	for _, x := range v.table.pools[s.Pool] {
		if s.Name+"/"+x.ID == name {
			return x.Addr, x.Zone, !x.Draining && !v.table.evacuated[x.Zone]
		}
	}
	return "", "", false
}

// handOver sends the prompt to the worker. True ends the request's way; false lets it look further.
func (w *ownRequest) handOver(tag uint64, name string, s *config.Service) bool {
	v := w.v
	addr, zone, ok := v.address(name, s)
	if !ok || !w.m.MayReach(s.Name) {
		v.done(tag, false)
		w.why = resultcode.NoWorker
		return false
	}
	now := v.Tasks.Now()
	id := fmt.Sprintf("%s-%s", v.Self, strconv.FormatUint(tag, 16))
	t := upstream.NewAttempt(w.client, addr, id, w.body, w.until.Sub(now))
	v.stats.hand(zone, v.Settings.Zone, len(w.body))
	v.Tasks.Go(t.Run)
	if w.sent == 0 {
		v.budgetOf(s.Name).RecordFirstAttempt(now)
	}
	w.handed, w.at = now, stageAnswer
	e := w.first(t, s, name)
	if w.client.Err() != nil && e.Outcome != upstream.Partial && e.Outcome != upstream.Complete {
		return w.brokenOff(tag, e)
	}
	switch e.Outcome {
	case upstream.Partial, upstream.Complete:
		w.client.AnswerStarted()
		v.habitOf(s.Name).Add(v.Tasks.Now().Sub(now))
		w.stream(tag, t, e, name)
		return true
	case upstream.NotSent:
		v.done(tag, false)
		if e.Unreachable {
			v.markDown(name)
		}
		w.why = resultcode.NoWorker
		return false
	case upstream.NotRun:
		v.done(tag, false)
		w.why = resultcode.WorkerRefused
		w.sent++
		return false
	}
	// It may have run: only a mapping that may repeat is tried again.
	w.sent++
	w.sure = false
	w.why = resultcode.OutcomeUnknown
	v.done(tag, !e.Unreachable)
	v.markDown(name)
	v.Log.WithError(e.Err).WithField("worker", name).Warn("a try of unknown outcome")
	return w.m.Once && w.end()
}

// brokenOff ends the way of a request that was cancelled while a worker had it, or was about to get it.
func (w *ownRequest) brokenOff(tag uint64, e upstream.Event) bool {
	w.cancelled()
	if e.Outcome == upstream.NotSent {
		w.v.done(tag, false)
		return w.end()
	}
	w.sent++
	w.sure = false
	w.v.cut(tag)
	return w.end()
}

// cancelled looks whether the request is cancelled, and notes why.
func (w *ownRequest) cancelled() bool {
	why := cancelledAs(w.client)
	if why != 0 {
		w.why = why
	}
	return why != 0
}

// over lets go of the client; nothing may be under way for it any more.
func (w *ownRequest) over(whole bool) { w.v.over(w.client, w.at, w.begun, whole) }
