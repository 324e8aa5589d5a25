package router

import (
	"errors"
	"io"
	"net"
	"time"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/upstream"
)

// end gives the final answer at once, with its code and when to come back.
func (w *ownRequest) end() bool {
	w.refuse()
	return true
}

// refuse says "not run" only where no byte of the prompt can still arrive anywhere; a doubt is "outcome unknown".
func (w *ownRequest) refuse() {
	c := w.why
	if c == 0 {
		c = resultcode.NoWorker
	}
	if c == resultcode.ClientDisconnected {
		w.ctx.SetConnectionClose()
		w.ctx.SetStatusCode(c.Status())
		return
	}
	if !w.sure {
		w.v.refuse(w.ctx, resultcode.OutcomeUnknown, "the outcome is unknown: it may have run", false, 0)
		return
	}
	w.burn()
	w.v.tallies.count(w.m, func(t *tally) {
		t.refused++
		t.waited += w.v.Tasks.Now().Sub(w.begun)
	})
	s := w.rules.Services[w.m.Services[0]]
	w.v.refuse(w.ctx, c, reasons[c], true, back(s.RetryAfter, s.RetryJitter, w.due))
}

var reasons = map[resultcode.Code]string{
	resultcode.QueueFull:            "every waitlist is full",
	resultcode.DeadlineUnreachable:  "the time left does not reach to an answer",
	resultcode.NoWorker:             "no worker can be reached",
	resultcode.DeadlineExceeded:     "out of time",
	resultcode.Draining:             "this node is leaving",
	resultcode.RetryBudgetExhausted: "no further try is left in the budget",
	resultcode.WorkerRefused:        "the workers refused",
}

// stream begins the caller's answer; the rest is read from the try as it comes.
func (w *ownRequest) stream(tag uint64, t *upstream.Attempt, first upstream.Event, worker string) {
	w.streaming, w.at = true, stageStream
	s := &stream{w: w, tag: tag, t: t, worker: worker, e: &first}
	w.v.tallies.count(w.m, func(t *tally) { t.firstWords(w.v.Tasks.Now().Sub(w.begun)) })
	w.ctx.SetStatusCode(200)
	w.ctx.SetContentType("application/x-ndjson")
	w.ctx.Response.Header.Set("Request-Id", t.ID)
	w.ctx.Response.Header.Set("Worker", worker)
	w.ctx.Response.ImmediateHeaderFlush = true
	w.ctx.SetBodyStream(s, -1)
}

var errBroken = errors.New("router: the worker's answer broke")

// stream is the body of a caller's answer. An error from Read makes the server break the wire off
// without a final chunk, so that a broken answer never looks whole.
type stream struct {
	w      *ownRequest
	tag    uint64
	t      *upstream.Attempt
	worker string
	e      *upstream.Event
	rest   []byte
	whole  bool
	unsure bool
	closed bool
}

// Read gives the next piece as soon as it comes.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if s.whole {
			return 0, io.EOF
		}
		e, err := s.next()
		if err != nil {
			return 0, err
		}
		s.rest = e.Line
		s.whole = e.Outcome == upstream.Complete
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *stream) next() (*upstream.Event, error) {
	if e := s.e; e != nil {
		s.e = nil
		return e, nil
	}
	v := s.w.v
	timeout := time.NewTimer(s.w.until.Sub(v.Tasks.Now()))
	defer timeout.Stop()
	select {
	case e := <-s.t.Events:
		if e.Outcome == upstream.Partial || e.Outcome == upstream.Complete {
			return &e, nil
		}
		if s.w.client.Err() != nil {
			break // broken off here
		}
		var late net.Error
		s.unsure = errors.As(e.Err, &late) && late.Timeout() // silence: nobody knows whether it still runs
		v.stats.count(resultcode.StreamBroken)
		v.markDown(s.worker)
		v.Log.WithError(e.Err).WithField("worker", s.worker).Warn("a stream broke")
	case <-s.w.client.Done():
	case <-timeout.C:
		v.stats.count(resultcode.DeadlineExceeded)
	}
	return nil, errBroken
}

// Close ends the try and gives the slot back; the server calls it however the answer ended.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.t.Cancel()
	now := s.w.v.Tasks.Now()
	s.w.v.tallies.count(s.w.m, func(t *tally) {
		t.ended++
		t.held += now.Sub(s.w.handed)
		if s.whole && len(s.rest) == 0 && now <= s.w.until {
			t.whole++
		}
	})
	if s.whole && len(s.rest) == 0 {
		s.w.v.stats.count(resultcode.OK)
		s.w.v.markUp(s.worker)
	}
	if s.whole || s.unsure {
		s.w.v.done(s.tag, s.unsure)
	} else {
		s.w.v.cut(s.tag)
	}
	s.w.over(s.whole && len(s.rest) == 0)
	return nil
}
