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

// nativeRequest is the state of one request of the native API.
type nativeRequest struct {
	router        *Router
	ctx           *fasthttp.RequestCtx
	config        *activeConfig
	mapping       *config.Mapping
	startedAt     units.Time
	deadline      units.Time
	timeLeft      time.Duration
	key           string
	body          []byte
	prompt        []byte
	dispatchedAt  units.Time
	dispatches    int  // attempts whose bytes may have reached a worker
	retryReserved bool // the next retry has been taken from the budget already
	knownNotRun   bool // no copy of the request can have run
	reason        resultcode.Code
	claimedKey    string // mapping and key whose claim was granted
	holders       []units.NodeID
	expectedWait  time.Duration
	client        *clientwatch.Request
	stage         stage
	streaming     bool
}

const (
	defaultMaxAttempts   = 3
	maxDecisionAge       = 300 * time.Millisecond // older decisions are discarded: the process may have been paused
	overdueCheckInterval = 50 * time.Millisecond  // how often an attempt without output is checked
)

// applyTimeLimit sets the deadline to the client's time left, but at most limitMs, the mapping's limit. It returns false: the
// request has not been answered.
func (w *nativeRequest) applyTimeLimit(limitMs int) bool {
	w.knownNotRun = true
	w.deadline = w.startedAt.Add(min(w.timeLeft, time.Duration(limitMs)*time.Millisecond))
	return false
}

// chooseService picks one of the services that share the mapping and attempts the request on it. The choice depends on
// the client's key, so that all copies of the request use the same service. It reports whether the request has been
// answered.
func (w *nativeRequest) chooseService() bool {
	id := w.key
	if id == "" {
		id = strconv.FormatUint(w.router.nextTag.Add(1), 16)
	}
	s, ok := pickService(w.mapping.Split, id)
	return ok && w.tryService(s)
}

// attemptsLeft reports whether the mapping allows another attempt besides the pending ones.
func (w *nativeRequest) attemptsLeft(pending int) bool {
	return w.mapping.MaxWorkers == 0 || w.dispatches+pending < w.mapping.MaxWorkers
}

// tryService attempts the request on one service. It reports whether the request has been answered.
func (w *nativeRequest) tryService(name string) bool {
	service := w.config.Services[name]
	v := w.router
	for range max(defaultMaxAttempts, w.mapping.MaxWorkers) {
		now := v.Tasks.Now()
		if w.checkCancelled() {
			return w.endWithRefusal()
		}
		if w.deadline.Sub(now) < service.FirstTokenTime {
			w.reason = resultcode.DeadlineExceeded
			return w.dispatches > 0 && w.endWithRefusal()
		}
		if !w.attemptsLeft(0) {
			return w.endWithRefusal()
		}
		if w.dispatches > 0 && !w.takeRetry(name, now) {
			w.reason = resultcode.RetryBudgetExhausted
			return w.endWithRefusal()
		}
		tag := v.nextTag.Add(1)
		decision := w.admit(now, tag, service)
		if decision.Code != resultcode.OK {
			w.reason, w.expectedWait = decision.Code, decision.ExpectedWait
			return w.dispatches > 0 && w.endWithRefusal()
		}
		if v.Tasks.Now().Sub(decision.decidedAt) > maxDecisionAge {
			v.release(tag, false)
			continue
		}
		if w.dispatch(tag, decision.Worker, service) {
			return true
		}
	}
	if w.reason == 0 {
		w.reason = resultcode.NoWorker
	}
	return w.dispatches > 0 && w.endWithRefusal()
}

// admit requests admission and waits for the decision or until the request is cancelled.
func (w *nativeRequest) admit(now units.Time, tag uint64, service *config.Service) timedDecision {
	v := w.router
	w.stage = stageAdmission
	candidates, coordinators := v.candidates(now, service, placement.Fingerprint(w.prompt, service.PrefixBytes))
	result := make(chan timedDecision, 1)
	v.queueMu.Lock()
	v.pendingAdmissions[tag] = result
	out := v.queue.Submit(now, admission.Request{Tag: tag, Policy: service.AdmissionPolicy, Candidates: candidates,
		MaxCandidates: service.PreferredCount + 4,
		Deadline:      w.deadline, FirstTokenTime: service.FirstTokenTime, Worth: uint16(w.mapping.Promise.Worth),
		Coordinator: func(n string) units.NodeID { return coordinators[n] }})
	v.deliverDecisions(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	select {
	case decision := <-result:
		return decision
	case <-w.client.Done():
		v.releaseAborted(tag)
		w.checkCancelled()
		return timedDecision{Decision: admission.Decision{Code: w.reason}}
	}
}

// workerAddress returns the address and zone of a worker; ok reports whether requests may still be dispatched to it.
func (v *Router) workerAddress(name string, service *config.Service) (addr, zone string, ok bool) {
	v.viewMu.Lock()
	defer v.viewMu.Unlock()
	for _, worker := range v.view.workersByPool[service.Pool] {
		if service.Name+"/"+worker.ID == name {
			return worker.Addr, worker.Zone, !worker.Draining && !v.view.evacuatedZones[worker.Zone]
		}
	}
	return "", "", false
}

// dispatch sends the prompt to a worker. It reports whether the request is answered or its answer has begun; otherwise it
// may be retried.
func (w *nativeRequest) dispatch(tag uint64, worker string, service *config.Service) bool {
	v := w.router
	addr, zone, ok := v.workerAddress(worker, service)
	if !ok || !w.mapping.MayReach(service.Name) {
		v.release(tag, false)
		w.reason = resultcode.NoWorker
		return false
	}
	now := v.Tasks.Now()
	id := fmt.Sprintf("%s-%s", v.Self, strconv.FormatUint(tag, 16))
	attempt := upstream.NewAttempt(w.client, addr, id, w.body, w.deadline.Sub(now))
	v.stats.countDispatch(zone, v.Settings.Zone, len(w.body))
	v.Tasks.Go(attempt.Run)
	if w.dispatches == 0 {
		v.retryBudgetOf(service.Name).RecordFirstAttempt(now)
	}
	w.dispatchedAt, w.stage = now, stageAnswer
	event := w.awaitFirstEvent(attempt, service, worker)
	if w.client.Err() != nil && event.Outcome != upstream.Partial && event.Outcome != upstream.Complete {
		return w.abortAttempt(tag, event)
	}
	switch event.Outcome {
	case upstream.Partial, upstream.Complete:
		w.client.AnswerStarted()
		v.firstTokenLatencyOf(service.Name).Add(v.Tasks.Now().Sub(now))
		w.startStream(tag, attempt, event, worker)
		return true
	case upstream.NotSent:
		v.release(tag, false)
		if event.Unreachable {
			v.markDown(worker)
		}
		w.reason = resultcode.NoWorker
		return false
	case upstream.NotRun:
		v.release(tag, false)
		w.reason = resultcode.WorkerRefused
		w.dispatches++
		return false
	}
	// The request may have run, so only a repeatable mapping is retried.
	w.dispatches++
	w.knownNotRun = false
	w.reason = resultcode.OutcomeUnknown
	v.release(tag, !event.Unreachable)
	v.markDown(worker)
	v.Log.WithError(event.Err).WithField("worker", worker).Warn("attempt with unknown outcome")
	return w.mapping.Once && w.endWithRefusal()
}

// abortAttempt answers a request that was cancelled during an attempt.
func (w *nativeRequest) abortAttempt(tag uint64, event upstream.Event) bool {
	w.checkCancelled()
	if event.Outcome == upstream.NotSent {
		w.router.release(tag, false)
		return w.endWithRefusal()
	}
	w.dispatches++
	w.knownNotRun = false
	w.router.releaseAborted(tag)
	return w.endWithRefusal()
}

// checkCancelled reports whether the request is cancelled, and sets the reason if so.
func (w *nativeRequest) checkCancelled() bool {
	reason := cancellationCode(w.client)
	if reason != 0 {
		w.reason = reason
	}
	return reason != 0
}

// finish releases the client. No work for the request may be left.
func (w *nativeRequest) finish(complete bool) {
	w.router.finishRequest(w.client, w.stage, w.startedAt, complete)
}
