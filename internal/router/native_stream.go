package router

import (
	"errors"
	"io"
	"net"
	"time"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/upstream"
)

// endWithRefusal sends the final refusal and returns true.
func (w *nativeRequest) endWithRefusal() bool {
	w.refuse()
	return true
}

// refuse sends the final refusal. It reports "not run" only if no byte of the prompt can still reach a worker, and
// "outcome unknown" otherwise.
func (w *nativeRequest) refuse() {
	c := w.reason
	if c == 0 {
		c = resultcode.NoWorker
	}
	if c == resultcode.ClientDisconnected {
		w.ctx.SetConnectionClose()
		w.ctx.SetStatusCode(c.Status())
		return
	}
	if !w.knownNotRun {
		w.router.refuse(w.ctx, resultcode.OutcomeUnknown, "the outcome is unknown: it may have run", false, 0)
		return
	}
	w.spendKey()
	w.router.mappingStats.update(w.mapping, func(stats *mappingStats) {
		stats.refused++
		stats.refusalTime += w.router.Tasks.Now().Sub(w.startedAt)
	})
	s := w.config.Services[w.mapping.Services[0]]
	w.router.refuse(w.ctx, c, refusalTexts[c], true, retryAfter(s.RetryAfter, s.RetryJitter, w.expectedWait))
}

var refusalTexts = map[resultcode.Code]string{
	resultcode.QueueFull:            "every waitlist is full",
	resultcode.DeadlineUnreachable:  "the time left does not reach to an answer",
	resultcode.NoWorker:             "no worker can be reached",
	resultcode.DeadlineExceeded:     "out of time",
	resultcode.Draining:             "this node is leaving",
	resultcode.RetryBudgetExhausted: "no further try is left in the budget",
	resultcode.WorkerRefused:        "the workers refused",
}

// startStream begins the client's response. Its body is read from the attempt as it arrives.
func (w *nativeRequest) startStream(tag uint64, attempt *upstream.Attempt, first upstream.Event, worker string) {
	w.streaming, w.stage = true, stageStream
	body := &nativeStream{request: w, tag: tag, attempt: attempt, worker: worker, firstEvent: &first}
	w.router.mappingStats.update(w.mapping, func(stats *mappingStats) {
		stats.recordFirstToken(w.router.Tasks.Now().Sub(w.startedAt))
	})
	w.ctx.SetStatusCode(200)
	w.ctx.SetContentType("application/x-ndjson")
	w.ctx.Response.Header.Set("Request-Id", attempt.ID)
	w.ctx.Response.Header.Set("Worker", worker)
	w.ctx.Response.ImmediateHeaderFlush = true
	w.ctx.SetBodyStream(body, -1)
}

var errBroken = errors.New("router: the worker's answer is incomplete")

// nativeStream is the body of a client's response. An error from Read makes the server close the connection without a final
// chunk, so that a broken response never looks complete.
type nativeStream struct {
	request        *nativeRequest
	tag            uint64
	attempt        *upstream.Attempt
	worker         string
	firstEvent     *upstream.Event
	pending        []byte
	sealed         bool
	outcomeUnknown bool
	closed         bool
}

// Read returns the next piece as soon as it arrives.
func (s *nativeStream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.sealed {
			return 0, io.EOF
		}
		event, err := s.nextEvent()
		if err != nil {
			return 0, err
		}
		s.pending = event.Line
		s.sealed = event.Outcome == upstream.Complete
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// nextEvent waits for the next event of the attempt, at most until the request's deadline.
func (s *nativeStream) nextEvent() (*upstream.Event, error) {
	if e := s.firstEvent; e != nil {
		s.firstEvent = nil
		return e, nil
	}
	v := s.request.router
	timeout := time.NewTimer(s.request.deadline.Sub(v.Tasks.Now()))
	defer timeout.Stop()
	select {
	case e := <-s.attempt.Events:
		if e.Outcome == upstream.Partial || e.Outcome == upstream.Complete {
			return &e, nil
		}
		if s.request.client.Err() != nil {
			break // aborted here
		}
		var timeoutErr net.Error
		s.outcomeUnknown = errors.As(e.Err, &timeoutErr) && timeoutErr.Timeout() // the worker may still be running it
		v.stats.countResult(resultcode.StreamBroken)
		v.markDown(s.worker)
		v.Log.WithError(e.Err).WithField("worker", s.worker).Warn("worker stream broke")
	case <-s.request.client.Done():
	case <-timeout.C:
		v.stats.countResult(resultcode.DeadlineExceeded)
	}
	return nil, errBroken
}

// Close ends the attempt and releases the permit. The server calls it however the response ended.
func (s *nativeStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.attempt.Cancel()
	now := s.request.router.Tasks.Now()
	s.request.router.mappingStats.update(s.request.mapping, func(stats *mappingStats) {
		stats.streamsEnded++
		stats.streamTime += now.Sub(s.request.dispatchedAt)
		if s.sealed && len(s.pending) == 0 && now <= s.request.deadline {
			stats.onTime++
		}
	})
	if s.sealed && len(s.pending) == 0 {
		s.request.router.stats.countResult(resultcode.OK)
		s.request.router.markUp(s.worker)
	}
	if s.sealed || s.outcomeUnknown {
		s.request.router.release(s.tag, s.outcomeUnknown)
	} else {
		s.request.router.releaseAborted(s.tag)
	}
	s.request.finish(s.sealed && len(s.pending) == 0)
	return nil
}
