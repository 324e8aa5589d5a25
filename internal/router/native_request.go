package router

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/codes"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/router/placement"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// nativeRequest is one request of the product's own interface on its way.
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
	dispatches    int  // hand-overs whose bytes may have left
	retryReserved bool // the next try was taken from the budget already
	knownNotRun   bool
	reason        codes.Code
	claimedKey    string // the key whose claim was granted, with its mapping
	holders       []units.Node
	expectedWait  time.Duration
	client        *clientwatch.Request
	stage         stage // where it stands
	streaming     bool
}

const (
	defaultMaxAttempts   = 3
	maxVerdictAge        = 300 * time.Millisecond // a verdict older than this is not acted on: the process may have been frozen
	overdueCheckInterval = 50 * time.Millisecond  // how often an answer that has not begun is looked at
)

// applyTimeLimit bounds the caller's time left by the mapping's.
func (w *nativeRequest) applyTimeLimit(limitMs int) bool {
	w.knownNotRun = true
	w.deadline = w.startedAt.Add(min(w.timeLeft, time.Duration(limitMs)*time.Millisecond))
	return false
}

// chooseService draws the service among those that share the mapping: by the caller's key, so that its copies draw the same.
func (w *nativeRequest) chooseService() bool {
	id := w.key
	if id == "" {
		id = strconv.FormatUint(w.router.nextTag.Add(1), 16)
	}
	s, ok := pickService(w.mapping.Split, id)
	return ok && w.tryService(s)
}

// attemptsLeft says whether the mapping lets the prompt go to another worker, besides those that have it now.
func (w *nativeRequest) attemptsLeft(pending int) bool {
	return w.mapping.Tries == 0 || w.dispatches+pending < w.mapping.Tries
}

// tryService offers the prompt to one service. True ends the request's way.
func (w *nativeRequest) tryService(name string) bool {
	service := w.config.Services[name]
	v := w.router
	for range max(defaultMaxAttempts, w.mapping.Tries) {
		now := v.Tasks.Now()
		if w.checkCancelled() {
			return w.endWithRefusal()
		}
		if w.deadline.Sub(now) < service.First {
			w.reason = codes.OutOfTime
			return w.dispatches > 0 && w.endWithRefusal()
		}
		if !w.attemptsLeft(0) {
			return w.endWithRefusal()
		}
		if w.dispatches > 0 && !w.takeRetry(name, now) {
			w.reason = codes.Budget
			return w.endWithRefusal()
		}
		tag := v.nextTag.Add(1)
		verdict := w.admit(now, tag, service)
		if verdict.Code != codes.OK {
			w.reason, w.expectedWait = verdict.Code, verdict.Due
			return w.dispatches > 0 && w.endWithRefusal()
		}
		if v.Tasks.Now().Sub(verdict.decidedAt) > maxVerdictAge {
			v.release(tag, false)
			continue
		}
		if w.dispatch(tag, verdict.Worker, service) {
			return true
		}
	}
	if w.reason == 0 {
		w.reason = codes.NoWorker
	}
	return w.dispatches > 0 && w.endWithRefusal()
}

// admit asks for admission and waits for the verdict, or until the request is cancelled.
func (w *nativeRequest) admit(now units.Time, tag uint64, service *config.Service) timedVerdict {
	v := w.router
	w.stage = stageAdmission
	candidates, coordinators := v.candidates(now, service, placement.Fingerprint(w.prompt, service.Prefix))
	result := make(chan timedVerdict, 1)
	v.queueMu.Lock()
	v.pendingAdmissions[tag] = result
	out := v.queue.Arrive(now, admission.Request{Tag: tag, Policy: service.Allow, Cands: candidates, Tries: service.Spread + 4, Until: w.deadline, First: service.First, Worth: uint16(w.mapping.Promise.Worth),
		Keeper: func(n string) units.Node { return coordinators[n] }})
	v.deliverVerdicts(now)
	v.queueMu.Unlock()
	v.Deliver(out)
	select {
	case verdict := <-result:
		return verdict
	case <-w.client.Done():
		v.releaseAborted(tag)
		w.checkCancelled()
		return timedVerdict{Verdict: admission.Verdict{Code: w.reason}}
	}
}

// workerAddress finds a worker that may still be handed something.
func (v *Router) workerAddress(name string, service *config.Service) (addr, zone string, ok bool) {
	v.viewMu.Lock()
	defer v.viewMu.Unlock()
	for _, worker := range v.view.workersByPool[service.Pool] {
		if service.Name+"/"+worker.ID == name {
			return worker.Addr, worker.Zone, !worker.Leaving && !v.view.evacuatedZones[worker.Zone]
		}
	}
	return "", "", false
}

// dispatch sends the prompt to the worker. True ends the request's way; false lets it look further.
func (w *nativeRequest) dispatch(tag uint64, worker string, service *config.Service) bool {
	v := w.router
	addr, zone, ok := v.workerAddress(worker, service)
	if !ok || !w.mapping.Reaches(service.Name) {
		v.release(tag, false)
		w.reason = codes.NoWorker
		return false
	}
	now := v.Tasks.Now()
	id := fmt.Sprintf("%s-%s", v.Self, strconv.FormatUint(tag, 16))
	attempt := upstream.NewTry(w.client, addr, id, w.body, w.deadline.Sub(now))
	v.stats.countDispatch(zone, v.Boot.Zone, len(w.body))
	v.Tasks.Go(attempt.Run)
	if w.dispatches == 0 {
		v.retryBudgetOf(service.Name).First(now)
	}
	w.dispatchedAt, w.stage = now, stageAnswer
	event := w.awaitFirstEvent(attempt, service, worker)
	if w.client.Err() != nil && event.Kind != upstream.Piece && event.Kind != upstream.Sealed {
		return w.abortAttempt(tag, event)
	}
	switch event.Kind {
	case upstream.Piece, upstream.Sealed:
		w.client.Answering()
		v.firstOutputLatencyOf(service.Name).Add(v.Tasks.Now().Sub(now))
		w.startStream(tag, attempt, event, worker)
		return true
	case upstream.NotSent:
		v.release(tag, false)
		if event.Down {
			v.markDown(worker)
		}
		w.reason = codes.NoWorker
		return false
	case upstream.NotRun:
		v.release(tag, false)
		w.reason = codes.WorkerNo
		w.dispatches++
		return false
	}
	// It may have run: only a mapping that may repeat is tried again.
	w.dispatches++
	w.knownNotRun = false
	w.reason = codes.Unknown
	v.release(tag, !event.Down)
	v.markDown(worker)
	v.Log.WithError(event.Err).WithField("worker", worker).Warn("a try of unknown outcome")
	return w.mapping.Once && w.endWithRefusal()
}

// abortAttempt ends the way of a request that was cancelled while a worker had it, or was about to get it.
func (w *nativeRequest) abortAttempt(tag uint64, event upstream.Event) bool {
	w.checkCancelled()
	if event.Kind == upstream.NotSent {
		w.router.release(tag, false)
		return w.endWithRefusal()
	}
	w.dispatches++
	w.knownNotRun = false
	w.router.releaseAborted(tag)
	return w.endWithRefusal()
}

// checkCancelled looks whether the request is cancelled, and notes why.
func (w *nativeRequest) checkCancelled() bool {
	reason := cancellationCode(w.client)
	if reason != 0 {
		w.reason = reason
	}
	return reason != 0
}

// finish lets go of the client; nothing may be under way for it any more.
func (w *nativeRequest) finish(whole bool) {
	w.router.finishRequest(w.client, w.stage, w.startedAt, whole)
}
