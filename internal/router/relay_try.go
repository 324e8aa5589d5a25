package router

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// most is how many workers the request may be sent to.
func (w *relay) most() int {
	if w.m.MaxWorkers > 0 {
		return w.m.MaxWorkers
	}
	return triesMost
}

// may says whether the request may go to another worker, and takes the further try from the budget.
func (w *relay) may(service string, now units.Time) bool {
	switch {
	case w.cancelled():
		return false
	case w.sent == 0:
		return true
	case w.v.ending():
		w.why = resultcode.Draining
		return false
	case w.sent >= w.most() || w.ran && w.m.Once:
		return false
	case !w.v.budgetOf(service).AllowRetry(now, w.v.slack()):
		w.why = resultcode.RetryBudgetExhausted
		return false
	}
	w.v.tallies.count(w.m, func(t *tally) { t.again++ })
	return true
}

// keeperGap is how soon workers are looked for again after no keeper answered for any.
const keeperGap = 40 * time.Millisecond

// try offers the request to one service. True ends its way.
func (w *relay) try(service string) bool {
	s, v := w.rules.Services[service], w.v
	for n := 0; n < triesMost+2; n++ { // what never left this node may look further as well
		now := v.Tasks.Now()
		if w.until.Sub(now) < s.FirstTokenTime {
			w.why = resultcode.DeadlineExceeded
			return false
		}
		if !w.may(service, now) {
			return false
		}
		x, tag := w.admit(now, s)
		if x.Code == resultcode.NoWorker && w.sent == 0 && now.Sub(w.begun) < holdFor {
			v.Tasks.Wait(w.client, keeperGap) // the workers' keepers are changing: they answer in a moment (design 11)
			n--
			continue
		}
		if x.Code != resultcode.OK {
			w.why, w.due = x.Code, x.ExpectedWait
			return false
		}
		if v.Tasks.Now().Sub(x.at) > staleAt {
			v.done(tag, false)
			continue
		}
		if e := w.handOver(tag, x.Worker, s); e != nil {
			w.answer(e)
			return true
		}
	}
	return false
}

// run is one hand-over that was answered.
type run struct {
	*upstream.Exchange
	tag     uint64
	worker  string
	service *config.Service
	handed  units.Time
}

// standing is the stage of a request that may be a stream under way already.
func (w *relay) standing(at stage) stage {
	if w.reply != nil {
		return stageStream
	}
	return at
}

// admit asks for admission and waits for the verdict, or until the request is cancelled.
func (w *relay) admit(now units.Time, s *config.Service) (verdict, uint64) {
	v, tag := w.v, w.v.tag.Add(1)
	w.at = w.standing(stageAdmission)
	q := admission.Request{Tag: tag, Policy: s.AdmissionPolicy, Deadline: w.until, FirstTokenTime: s.FirstTokenTime, Worth: uint16(w.m.Promise.Worth), MaxCandidates: 3}
	cands, keepers := v.place(now, s, w, &q)
	q.Candidates, q.Coordinator = cands, func(n string) units.NodeID { return keepers[n] }
	c := make(chan verdict, 1)
	v.queueMu.Lock()
	v.waiting[tag] = c
	out := v.queue.Submit(now, q)
	v.deliverVerdicts(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	select {
	case x := <-c:
		return x, tag
	case <-w.client.Done():
		v.cut(tag)
		w.cancelled()
		return verdict{Decision: admission.Decision{Code: w.why}}, tag
	}
}

// request lays out what goes to the worker: the client's bytes, and what the worker is told besides.
func (w *relay) request(worker string, left time.Duration) *fasthttp.Request {
	n, r := &w.v.Adapter.Headers, fasthttp.AcquireRequest()
	w.ctx.Request.Header.CopyTo(&r.Header)
	for _, h := range hops {
		r.Header.Del(h)
	}
	r.Header.ResetConnectionClose()
	r.Header.SetNoDefaultContentType(true)
	r.Header.Set(n.TimeLeft, strconv.Itoa(int(max(1, left/time.Millisecond))))
	r.Header.Set(n.ExpectedWorker, worker)
	r.Header.Set(n.Urgency, strconv.Itoa(int(w.urge)))
	if w.last != "" {
		r.Header.Set(n.LastEventID, w.last)
	}
	r.SetBodyRaw(w.body)
	return r
}

// hops are the headers that concern one connection only.
var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// handOver sends the request to a worker. Nothing means that it may look further, as far as may allows.
func (w *relay) handOver(tag uint64, name string, s *config.Service) *run {
	v := w.v
	addr, zone, ok := v.address(name, s)
	if !ok || !w.m.MayReach(s.Name) {
		v.done(tag, false)
		w.why = resultcode.NoWorker
		return nil
	}
	now := v.Tasks.Now()
	worker := name[len(s.Name)+1:]
	req := w.request(worker, w.until.Sub(now))
	o := &upstream.Dispatch{Worker: worker, Addr: addr, ID: w.id, Request: req, Deadline: time.Now().Add(w.until.Sub(now)), SendOnce: w.m.Once,
		MaxConns: v.connsOf(s)}
	v.stats.hand(zone, v.Settings.Zone, len(w.body))
	if w.sent == 0 {
		v.budgetOf(s.Name).RecordFirstAttempt(now)
	}
	w.at = w.standing(stageAnswer)
	x := v.pool.Do(w.client, o)
	fasthttp.ReleaseRequest(req)
	if x.Outcome == upstream.Partial {
		w.sent++
		w.ran = true
		if w.retries(x.Response.StatusCode()) {
			x.End()
			v.done(tag, false)
			v.markDown(name)
			w.why = resultcode.WorkerRefused
			return nil
		}
		took := v.Tasks.Now().Sub(now)
		v.habitOf(s.Name).Add(took)
		v.queueMu.Lock()
		v.queue.RecordFirstToken(tag, took)
		v.queueMu.Unlock()
		return &run{Exchange: x, tag: tag, worker: name, service: s, handed: now}
	}
	w.unanswered(tag, name, x)
	x.End()
	return nil
}

// unanswered notes what became of a hand-over without an answer.
func (w *relay) unanswered(tag uint64, name string, x *upstream.Exchange) {
	v := w.v
	if x.Outcome != upstream.NotSent {
		w.sent++
	}
	switch cancelled := w.client.Err() != nil; {
	case x.Outcome == upstream.NotSent && cancelled:
		v.done(tag, false)
	case x.Outcome == upstream.Unknown && cancelled: // broken off here: nothing is held against the worker
		w.ran = true
		v.cut(tag)
	case x.Outcome == upstream.NotSent:
		v.done(tag, false)
		if x.Unreachable {
			v.markDown(name)
		}
		w.why = resultcode.NoWorker
		v.Log.WithError(x.Err).WithField("worker", name).Warn("no connection to a worker")
	case x.Outcome == upstream.NotRun || x.Outcome == upstream.WorkerReplaced:
		v.done(tag, false)
		v.markDown(name)
		w.why = resultcode.WorkerRefused
	default:
		w.ran = true
		w.why = resultcode.OutcomeUnknown
		v.done(tag, !x.Unreachable)
		v.markDown(name)
		v.Log.WithError(x.Err).WithField("worker", name).Warn("a try of unknown outcome")
	}
}

// retries says whether a worker's own failure is worth another worker: only where the request may run again.
func (w *relay) retries(status int) bool {
	return status >= 500 && !w.m.Once && w.sent < w.most() && w.v.Tasks.Now().Add(w.m.Promise.MaxFirstTokenTime/4) < w.until
}
