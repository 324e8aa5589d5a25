package router

import (
	"io"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/upstream"
)

// smallest answers are read whole before the first byte goes to the client: a broken one is then no success.
const whole = 64 << 10

// answer passes a worker's answer on.
func (w *relay) answer(e *run) {
	v := w.v
	if c := e.Response.StatusCode(); c == 408 || c == 421 || c == 429 || c == 503 {
		e.End() // a refusal that does not say that it has not run promises what nobody knows
		v.done(e.tag, false)
		w.end(resultcode.OutcomeUnknown, 0)
		return
	}
	w.client.AnswerStarted()
	v.tallies.count(w.m, func(t *tally) { t.firstWords(v.Tasks.Now().Sub(w.begun)) })
	w.heads(e)
	r := &reply{w: w, run: e}
	r.events.LastID = w.last
	if w.m.Stream || e.Length() < 0 || e.Length() > whole {
		w.reply = r
		w.at = stageStream
		w.ctx.Response.ImmediateHeaderFlush = true
		w.ctx.SetBodyStream(r, r.length())
		return
	}
	b, err := io.ReadAll(r)
	if err != nil {
		r.Close()
		w.broke = e.worker
		if w.try(e.service.Name) { // which takes it from the budget
			return
		}
		w.end(resultcode.OutcomeUnknown, 0)
		return
	}
	w.ctx.Response.SetBodyRaw(b)
	r.Close()
}

// heads copies the worker's status and headers, but for those that concern one connection only.
func (w *relay) heads(e *run) {
	out, in := &w.ctx.Response, e.Response
	out.Reset()
	in.Header.CopyTo(&out.Header)
	for _, h := range hops {
		out.Header.Del(h)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol([]byte("HTTP/1.1")) // the version, too, concerns the worker's connection only
	out.Header.SetNoDefaultContentType(true)
	if w.v.leaving() {
		w.ctx.SetConnectionClose()
	}
}

// reply is the body of a client's answer. An error from Read makes the server break the connection off without a
// final chunk, so that a broken answer never looks whole. A stream that may be resumed goes on at another worker behind
// the last whole event, under its first head (design 11).
type reply struct {
	w *relay
	*run
	events upstream.EventStream
	out    []byte // whole events that are not read yet
	buf    []byte
	ended  bool
	closed bool
	err    error
}

// resumes says whether another worker may go on with this answer.
func (r *reply) resumes() bool {
	return r.w.m.Resume && r.Response.StatusCode() == fasthttp.StatusOK
}

// length gives the length to announce, -1 for chunks. What another worker may go on with can have any length: its
// first worker's would cut it off and have it look whole.
func (r *reply) length() int {
	if r.resumes() {
		return -1
	}
	return r.Length()
}

// Read gives the next bytes as they come.
func (r *reply) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if !r.resumes() {
		n, err := r.run.Read(p)
		if err == io.EOF {
			r.ended = true
		} else if err != nil {
			r.broken(err)
		}
		return n, err
	}
	for len(r.out) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if err := r.more(); err != nil {
			r.err = err
			return 0, err
		}
	}
	n := copy(p, r.out)
	r.out = r.out[n:]
	return n, nil
}

// more reads on until something whole has come, at another worker if need be.
func (r *reply) more() error {
	if r.buf == nil {
		r.buf = make([]byte, 4096)
	}
	n, err := r.run.Read(r.buf)
	out, bad := r.events.Append(r.buf[:n])
	r.out = append(r.out[:0], out...)
	switch {
	case bad != nil:
		err = bad
	case err == io.EOF && r.events.PendingBytes() > 0:
		err = errBroken // the end came in the middle of an event
	case err == io.EOF:
		r.ended = true
		return nil
	}
	if err == nil {
		return nil
	}
	r.broken(err)
	if !r.resume() {
		return errBroken
	}
	return nil
}

func (r *reply) broken(err error) {
	v := r.w.v
	if r.w.client.Err() != nil {
		return // broken off here
	}
	v.stats.count(resultcode.StreamBroken)
	v.markDown(r.worker)
	v.Log.WithError(err).WithField("worker", r.worker).Warn("a stream broke")
}

// resume takes the stream up at another worker behind the last whole event.
func (r *reply) resume() bool {
	w := r.w
	if r.events.HasEventWithoutID {
		return false // nobody knows behind which event it broke
	}
	w.last, w.broke = r.events.LastID, r.worker
	r.run.End()
	w.v.cut(r.tag)
	r.run.tag = 0
	for {
		now := w.v.Tasks.Now()
		if w.until.Sub(now) < r.service.FirstTokenTime || !w.may(r.service.Name, now) {
			return false
		}
		x, tag := w.admit(now, r.service)
		if x.Code != resultcode.OK {
			return false
		}
		e := w.handOver(tag, x.Worker, r.service)
		if e == nil {
			continue
		}
		if e.Response.StatusCode() != 200 {
			e.End()
			w.v.cut(tag)
			return false
		}
		r.run = e
		r.events = upstream.EventStream{LastID: r.events.LastID}
		return true
	}
}

// Close ends the run and gives the slot back; the server calls it however the answer ended.
func (r *reply) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	v, w := r.w.v, r.w
	r.run.End()
	now := v.Tasks.Now()
	v.tallies.count(w.m, func(t *tally) {
		t.ended++
		t.held += now.Sub(r.handed)
		if r.ended && now <= w.until {
			t.whole++
			t.lasting.Add(now.Sub(w.begun))
		}
	})
	if r.tag != 0 {
		if r.ended {
			v.done(r.tag, false)
		} else {
			v.cut(r.tag)
		}
	}
	if r.ended {
		v.stats.count(resultcode.OK)
		v.markUp(r.worker)
	}
	if w.reply == r {
		w.over()
	}
	return nil
}
