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

// maxAttempts returns the maximum number of workers that the request may be sent to.
func (w *relayRequest) maxAttempts() int {
	if w.mapping.MaxWorkers > 0 {
		return w.mapping.MaxWorkers
	}
	return defaultMaxAttempts
}

// takeAttempt reports whether the request may be sent to another worker. A retry is taken from the retry budget.
func (w *relayRequest) takeAttempt(service string, now units.Time) bool {
	switch {
	case w.checkCancelled():
		return false
	case w.dispatches == 0:
		return true
	case w.router.nearDrainDeadline():
		w.reason = resultcode.Draining
		return false
	case w.dispatches >= w.maxAttempts() || w.mayHaveRun && w.mapping.Once:
		return false
	case !w.router.retryBudgetOf(service).AllowRetry(now, w.router.retrySlack()):
		w.reason = resultcode.RetryBudgetExhausted
		return false
	}
	w.router.mappingStats.update(w.mapping, func(stats *mappingStats) { stats.retries++ })
	return true
}

// coordinatorRetryInterval is the delay before admission is retried after no worker's coordinator has answered.
const coordinatorRetryInterval = 40 * time.Millisecond

// tryService attempts the request on one service. It reports whether the request has been answered.
func (w *relayRequest) tryService(name string) bool {
	service, v := w.config.Services[name], w.router
	for n := 0; n < defaultMaxAttempts+2; n++ { // attempts that never left this node may be repeated as well
		now := v.Tasks.Now()
		if w.deadline.Sub(now) < service.FirstTokenTime {
			w.reason = resultcode.DeadlineExceeded
			return false
		}
		if !w.takeAttempt(name, now) {
			return false
		}
		decision, tag := w.admit(now, service)
		if decision.Code == resultcode.NoWorker && w.dispatches == 0 && now.Sub(w.startedAt) < holdTimeout {
			// The workers' coordinators are changing; the new ones answer shortly (docs/design.md, section 11).
			v.Tasks.Wait(w.client, coordinatorRetryInterval)
			n--
			continue
		}
		if decision.Code != resultcode.OK {
			w.reason, w.expectedWait = decision.Code, decision.ExpectedWait
			return false
		}
		if v.Tasks.Now().Sub(decision.decidedAt) > maxDecisionAge {
			v.release(tag, false)
			continue
		}
		if response := w.dispatch(tag, decision.Worker, service); response != nil {
			w.respondFromWorker(response)
			return true
		}
	}
	return false
}

// workerResponse is an attempt that a worker has answered.
type workerResponse struct {
	*upstream.Exchange
	tag          uint64
	worker       string
	service      *config.Service
	dispatchedAt units.Time
}

// stageUnlessStreaming returns at, or stageStream if the client's answer has already begun.
func (w *relayRequest) stageUnlessStreaming(at stage) stage {
	if w.stream != nil {
		return stageStream
	}
	return at
}

// admit requests admission and waits for the decision or until the request is cancelled.
func (w *relayRequest) admit(now units.Time, service *config.Service) (timedDecision, uint64) {
	v, tag := w.router, w.router.nextTag.Add(1)
	w.stage = w.stageUnlessStreaming(stageAdmission)
	query := admission.Request{Tag: tag, Policy: service.AdmissionPolicy, Deadline: w.deadline, FirstTokenTime: service.FirstTokenTime,
		Worth: uint16(w.mapping.Promise.Worth), MaxCandidates: 3}
	candidates, coordinators := v.placeRelay(now, service, w, &query)
	query.Candidates, query.Coordinator = candidates, func(n string) units.NodeID { return coordinators[n] }
	result := make(chan timedDecision, 1)
	v.queueMu.Lock()
	v.pendingAdmissions[tag] = result
	out := v.queue.Submit(now, query)
	v.deliverDecisions(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	select {
	case decision := <-result:
		return decision, tag
	case <-w.client.Done():
		v.releaseAborted(tag)
		w.checkCancelled()
		return timedDecision{Decision: admission.Decision{Code: w.reason}}, tag
	}
}

// newWorkerRequest builds the request to the worker: the client's headers and body, and the time left, the expected
// worker, the priority and the last event ID.
func (w *relayRequest) newWorkerRequest(worker string, left time.Duration) *fasthttp.Request {
	n, r := &w.router.Adapter.Headers, fasthttp.AcquireRequest()
	w.ctx.Request.Header.CopyTo(&r.Header)
	for _, h := range hopByHopHeaders {
		r.Header.Del(h)
	}
	r.Header.ResetConnectionClose()
	r.Header.SetNoDefaultContentType(true)
	r.Header.Set(n.TimeLeft, strconv.Itoa(int(max(1, left/time.Millisecond))))
	r.Header.Set(n.ExpectedWorker, worker)
	r.Header.Set(n.Urgency, strconv.Itoa(int(w.priority)))
	if w.lastEventID != "" {
		r.Header.Set(n.LastEventID, w.lastEventID)
	}
	r.SetBodyRaw(w.body)
	return r
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// dispatch sends the request to a worker. It returns nil if there was no answer to pass on; takeAttempt then decides whether
// the request may be retried.
func (w *relayRequest) dispatch(tag uint64, name string, service *config.Service) *workerResponse {
	v := w.router
	addr, zone, ok := v.workerAddress(name, service)
	if !ok || !w.mapping.MayReach(service.Name) {
		v.release(tag, false)
		w.reason = resultcode.NoWorker
		return nil
	}
	now := v.Tasks.Now()
	worker := name[len(service.Name)+1:]
	req := w.newWorkerRequest(worker, w.deadline.Sub(now))
	order := &upstream.Dispatch{Worker: worker, Addr: addr, ID: w.id, Request: req,
		Deadline: time.Now().Add(w.deadline.Sub(now)), SendOnce: w.mapping.Once, MaxConns: v.connectionShare(service)}
	v.stats.countDispatch(zone, v.Settings.Zone, len(w.body))
	if w.dispatches == 0 {
		v.retryBudgetOf(service.Name).RecordFirstAttempt(now)
	}
	w.stage = w.stageUnlessStreaming(stageAnswer)
	exchange := v.pool.Do(w.client, order)
	fasthttp.ReleaseRequest(req)
	if exchange.Outcome == upstream.Partial {
		w.dispatches++
		w.mayHaveRun = true
		if w.shouldRetryStatus(exchange.Response.StatusCode()) {
			exchange.End()
			v.release(tag, false)
			v.markDown(name)
			w.reason = resultcode.WorkerRefused
			return nil
		}
		elapsed := v.Tasks.Now().Sub(now)
		v.firstTokenLatencyOf(service.Name).Add(elapsed)
		v.queueMu.Lock()
		v.queue.RecordFirstToken(tag, elapsed)
		v.queueMu.Unlock()
		return &workerResponse{Exchange: exchange, tag: tag, worker: name, service: service, dispatchedAt: now}
	}
	w.recordUnanswered(tag, name, exchange)
	exchange.End()
	return nil
}

// recordUnanswered updates the request, its permit and the worker's state after an attempt without an answer.
func (w *relayRequest) recordUnanswered(tag uint64, worker string, exchange *upstream.Exchange) {
	v := w.router
	if exchange.Outcome != upstream.NotSent {
		w.dispatches++
	}
	switch cancelled := w.client.Err() != nil; {
	case exchange.Outcome == upstream.NotSent && cancelled:
		v.release(tag, false)
	case exchange.Outcome == upstream.Unknown && cancelled: // aborted here, so the worker is not marked down
		w.mayHaveRun = true
		v.releaseAborted(tag)
	case exchange.Outcome == upstream.NotSent:
		v.release(tag, false)
		if exchange.Unreachable {
			v.markDown(worker)
		}
		w.reason = resultcode.NoWorker
		v.Log.WithError(exchange.Err).WithField("worker", worker).Warn("cannot connect to worker")
	case exchange.Outcome == upstream.NotRun || exchange.Outcome == upstream.WorkerReplaced:
		v.release(tag, false)
		v.markDown(worker)
		w.reason = resultcode.WorkerRefused
	default:
		w.mayHaveRun = true
		w.reason = resultcode.OutcomeUnknown
		v.release(tag, !exchange.Unreachable)
		v.markDown(worker)
		v.Log.WithError(exchange.Err).WithField("worker", worker).Warn("attempt with unknown outcome")
	}
}

// shouldRetryStatus reports whether a worker's error status is retried on another worker. Only repeatable requests are.
func (w *relayRequest) shouldRetryStatus(status int) bool {
	return status >= 500 && !w.mapping.Once && w.dispatches < w.maxAttempts() &&
		w.router.Tasks.Now().Add(w.mapping.Promise.MaxFirstTokenTime/4) < w.deadline
}
