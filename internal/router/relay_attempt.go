package router

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/codes"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// maxAttempts is how many workers the request may be sent to.
func (w *relayRequest) maxAttempts() int {
	if w.mapping.Tries > 0 {
		return w.mapping.Tries
	}
	return defaultMaxAttempts
}

// takeAttempt says whether the request may go to another worker, and takes the further try from the budget.
func (w *relayRequest) takeAttempt(service string, now units.Time) bool {
	switch {
	case w.checkCancelled():
		return false
	case w.dispatches == 0:
		return true
	case w.router.nearDrainDeadline():
		w.reason = codes.Draining
		return false
	case w.dispatches >= w.maxAttempts() || w.mayHaveRun && w.mapping.Once:
		return false
	case !w.router.retryBudgetOf(service).Again(now, w.router.retrySlack()):
		w.reason = codes.Budget
		return false
	}
	w.router.mappingStats.update(w.mapping, func(t *mappingStats) { t.retries++ })
	return true
}

// coordinatorRetryInterval is how soon workers are looked for again after no keeper answered for any.
const coordinatorRetryInterval = 40 * time.Millisecond

// tryService offers the request to one service. True ends its way.
func (w *relayRequest) tryService(name string) bool {
	service, v := w.config.Services[name], w.router
	for n := 0; n < defaultMaxAttempts+2; n++ { // what never left this node may look further as well
		now := v.Tasks.Now()
		if w.deadline.Sub(now) < service.First {
			w.reason = codes.OutOfTime
			return false
		}
		if !w.takeAttempt(name, now) {
			return false
		}
		verdict, tag := w.admit(now, service)
		if verdict.Code == codes.NoWorker && w.dispatches == 0 && now.Sub(w.startedAt) < holdTimeout {
			v.Tasks.Wait(w.client, coordinatorRetryInterval) // the workers' keepers are changing: they answer in a moment (design 11)
			n--
			continue
		}
		if verdict.Code != codes.OK {
			w.reason, w.expectedWait = verdict.Code, verdict.Due
			return false
		}
		if v.Tasks.Now().Sub(verdict.decidedAt) > maxVerdictAge {
			v.release(tag, false)
			continue
		}
		if response := w.dispatch(tag, verdict.Worker, service); response != nil {
			w.respondFromWorker(response)
			return true
		}
	}
	return false
}

// workerResponse is one hand-over that was answered.
type workerResponse struct {
	*upstream.Exchange
	tag          uint64
	worker       string
	service      *config.Service
	dispatchedAt units.Time
}

// stageUnlessStreaming is the stage of a request that may be a stream under way already.
func (w *relayRequest) stageUnlessStreaming(at stage) stage {
	if w.stream != nil {
		return stageStream
	}
	return at
}

// admit asks for admission and waits for the verdict, or until the request is cancelled.
func (w *relayRequest) admit(now units.Time, service *config.Service) (timedVerdict, uint64) {
	v, tag := w.router, w.router.nextTag.Add(1)
	w.stage = w.stageUnlessStreaming(stageAdmission)
	query := admission.Request{Tag: tag, Policy: service.Allow, Until: w.deadline, First: service.First, Worth: uint16(w.mapping.Promise.Worth), Tries: 3}
	candidates, coordinators := v.placeRelay(now, service, w, &query)
	query.Cands, query.Keeper = candidates, func(n string) units.Node { return coordinators[n] }
	result := make(chan timedVerdict, 1)
	v.queueMu.Lock()
	v.pendingAdmissions[tag] = result
	out := v.queue.Arrive(now, query)
	v.deliverVerdicts(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	select {
	case verdict := <-result:
		return verdict, tag
	case <-w.client.Done():
		v.releaseAborted(tag)
		w.checkCancelled()
		return timedVerdict{Verdict: admission.Verdict{Code: w.reason}}, tag
	}
}

// newWorkerRequest lays out what goes to the worker: the client's bytes, and what the worker is told besides.
func (w *relayRequest) newWorkerRequest(worker string, left time.Duration) *fasthttp.Request {
	n, r := &w.router.Adapter.Names, fasthttp.AcquireRequest()
	w.ctx.Request.Header.CopyTo(&r.Header)
	for _, h := range hopByHopHeaders {
		r.Header.Del(h)
	}
	r.Header.ResetConnectionClose()
	r.Header.SetNoDefaultContentType(true)
	r.Header.Set(n.Left, strconv.Itoa(int(max(1, left/time.Millisecond))))
	r.Header.Set(n.Expect, worker)
	r.Header.Set(n.Urgency, strconv.Itoa(int(w.urgency)))
	if w.lastEventID != "" {
		r.Header.Set(n.After, w.lastEventID)
	}
	r.SetBodyRaw(w.body)
	return r
}

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// dispatch sends the request to a worker. Nothing means that it may look further, as far as may allows.
func (w *relayRequest) dispatch(tag uint64, name string, service *config.Service) *workerResponse {
	v := w.router
	addr, zone, ok := v.workerAddress(name, service)
	if !ok || !w.mapping.Reaches(service.Name) {
		v.release(tag, false)
		w.reason = codes.NoWorker
		return nil
	}
	now := v.Tasks.Now()
	worker := name[len(service.Name)+1:]
	req := w.newWorkerRequest(worker, w.deadline.Sub(now))
	order := &upstream.Order{Worker: worker, Addr: addr, ID: w.id, Req: req, Due: time.Now().Add(w.deadline.Sub(now)), Fresh: w.mapping.Once,
		Most: v.connectionShare(service)}
	v.stats.countDispatch(zone, v.Boot.Zone, len(w.body))
	if w.dispatches == 0 {
		v.retryBudgetOf(service.Name).First(now)
	}
	w.stage = w.stageUnlessStreaming(stageAnswer)
	exchange := v.pool.Do(w.client, order)
	fasthttp.ReleaseRequest(req)
	if exchange.Kind == upstream.Piece {
		w.dispatches++
		w.mayHaveRun = true
		if w.shouldRetryStatus(exchange.Resp.StatusCode()) {
			exchange.End()
			v.release(tag, false)
			v.markDown(name)
			w.reason = codes.WorkerNo
			return nil
		}
		elapsed := v.Tasks.Now().Sub(now)
		v.firstOutputLatencyOf(service.Name).Add(elapsed)
		v.queueMu.Lock()
		v.queue.Words(tag, elapsed)
		v.queueMu.Unlock()
		return &workerResponse{Exchange: exchange, tag: tag, worker: name, service: service, dispatchedAt: now}
	}
	w.recordUnanswered(tag, name, exchange)
	exchange.End()
	return nil
}

// recordUnanswered notes what became of a hand-over without an answer.
func (w *relayRequest) recordUnanswered(tag uint64, worker string, exchange *upstream.Exchange) {
	v := w.router
	if exchange.Kind != upstream.NotSent {
		w.dispatches++
	}
	switch cancelled := w.client.Err() != nil; {
	case exchange.Kind == upstream.NotSent && cancelled:
		v.release(tag, false)
	case exchange.Kind == upstream.Unknown && cancelled: // broken off here: nothing is held against the worker
		w.mayHaveRun = true
		v.releaseAborted(tag)
	case exchange.Kind == upstream.NotSent:
		v.release(tag, false)
		if exchange.Down {
			v.markDown(worker)
		}
		w.reason = codes.NoWorker
		v.Log.WithError(exchange.Err).WithField("worker", worker).Warn("no connection to a worker")
	case exchange.Kind == upstream.NotRun || exchange.Kind == upstream.Moved:
		v.release(tag, false)
		v.markDown(worker)
		w.reason = codes.WorkerNo
	default:
		w.mayHaveRun = true
		w.reason = codes.Unknown
		v.release(tag, !exchange.Down)
		v.markDown(worker)
		v.Log.WithError(exchange.Err).WithField("worker", worker).Warn("a try of unknown outcome")
	}
}

// shouldRetryStatus says whether a worker's own failure is worth another worker: only where the request may run again.
func (w *relayRequest) shouldRetryStatus(status int) bool {
	return status >= 500 && !w.mapping.Once && w.dispatches < w.maxAttempts() && w.router.Tasks.Now().Add(w.mapping.Promise.First/4) < w.deadline
}
