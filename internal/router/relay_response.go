package router

import (
	"io"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/codes"
	"seamshunt/internal/router/upstream"
)

// smallest answers are read whole before the first byte goes to the client: a broken one is then no success.
const maxBufferedResponse = 64 << 10

// respondFromWorker passes a worker's answer on.
func (w *relayRequest) respondFromWorker(response *workerResponse) {
	v := w.router
	if c := response.Resp.StatusCode(); c == 408 || c == 421 || c == 429 || c == 503 {
		response.End() // a refusal that does not say that it has not run promises what nobody knows
		v.release(response.tag, false)
		w.respond(codes.Unknown, 0)
		return
	}
	w.client.Answering()
	v.mappingStats.update(w.mapping, func(t *mappingStats) { t.recordFirstOutput(v.Tasks.Now().Sub(w.startedAt)) })
	w.copyHeader(response)
	body := &responseBody{request: w, workerResponse: response}
	body.events.Last = w.lastEventID
	if w.mapping.Stream || response.Length() < 0 || response.Length() > maxBufferedResponse {
		w.stream = body
		w.stage = stageStream
		w.ctx.Response.ImmediateHeaderFlush = true
		w.ctx.SetBodyStream(body, body.contentLength())
		return
	}
	content, err := io.ReadAll(body)
	if err != nil {
		body.Close()
		w.failedWorker = response.worker
		if w.tryService(response.service.Name) { // which takes it from the budget
			return
		}
		w.respond(codes.Unknown, 0)
		return
	}
	w.ctx.Response.SetBodyRaw(content)
	body.Close()
}

// copyHeader copies the worker's status and headers, but for those that concern one connection only.
func (w *relayRequest) copyHeader(response *workerResponse) {
	out, in := &w.ctx.Response, response.Resp
	out.Reset()
	in.Header.CopyTo(&out.Header)
	for _, h := range hopByHopHeaders {
		out.Header.Del(h)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol([]byte("HTTP/1.1")) // the version, too, concerns the worker's connection only
	out.Header.SetNoDefaultContentType(true)
	if w.router.draining() {
		w.ctx.SetConnectionClose()
	}
}

// responseBody is the body of a client's answer. An error from Read makes the server break the connection off without a
// final chunk, so that a broken answer never looks whole. A stream that may be resumed goes on at another worker behind
// the last whole event, under its first head (design 11).
type responseBody struct {
	request *relayRequest
	*workerResponse
	events   upstream.Events
	pending  []byte // whole events that are not read yet
	buf      []byte
	complete bool
	closed   bool
	err      error
}

// resumable says whether another worker may go on with this answer.
func (r *responseBody) resumable() bool {
	return r.request.mapping.Resume && r.Resp.StatusCode() == fasthttp.StatusOK
}

// contentLength gives the length to announce, -1 for chunks. What another worker may go on with can have any length: its
// first worker's would cut it off and have it look whole.
func (r *responseBody) contentLength() int {
	if r.resumable() {
		return -1
	}
	return r.Length()
}

// Read gives the next bytes as they come.
func (r *responseBody) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if !r.resumable() {
		n, err := r.workerResponse.Read(p)
		if err == io.EOF {
			r.complete = true
		} else if err != nil {
			r.recordBreak(err)
		}
		return n, err
	}
	for len(r.pending) == 0 {
		if r.complete {
			return 0, io.EOF
		}
		if err := r.readMore(); err != nil {
			r.err = err
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// readMore reads on until something whole has come, at another worker if need be.
func (r *responseBody) readMore() error {
	if r.buf == nil {
		r.buf = make([]byte, 4096)
	}
	n, err := r.workerResponse.Read(r.buf)
	events, formatErr := r.events.Whole(r.buf[:n])
	r.pending = append(r.pending[:0], events...)
	switch {
	case formatErr != nil:
		err = formatErr
	case err == io.EOF && r.events.Tail() > 0:
		err = errBroken // the end came in the middle of an event
	case err == io.EOF:
		r.complete = true
		return nil
	}
	if err == nil {
		return nil
	}
	r.recordBreak(err)
	if !r.resume() {
		return errBroken
	}
	return nil
}

func (r *responseBody) recordBreak(err error) {
	v := r.request.router
	if r.request.client.Err() != nil {
		return // broken off here
	}
	v.stats.countResult(codes.BrokenStream)
	v.markDown(r.worker)
	v.Log.WithError(err).WithField("worker", r.worker).Warn("a stream broke")
}

// resume takes the stream up at another worker behind the last whole event.
func (r *responseBody) resume() bool {
	w := r.request
	if r.events.Bare {
		return false // nobody knows behind which event it broke
	}
	w.lastEventID, w.failedWorker = r.events.Last, r.worker
	r.workerResponse.End()
	w.router.releaseAborted(r.tag)
	r.workerResponse.tag = 0
	for {
		now := w.router.Tasks.Now()
		if w.deadline.Sub(now) < r.service.First || !w.takeAttempt(r.service.Name, now) {
			return false
		}
		verdict, tag := w.admit(now, r.service)
		if verdict.Code != codes.OK {
			return false
		}
		response := w.dispatch(tag, verdict.Worker, r.service)
		if response == nil {
			continue
		}
		if response.Resp.StatusCode() != 200 {
			response.End()
			w.router.releaseAborted(tag)
			return false
		}
		r.workerResponse = response
		r.events = upstream.Events{Last: r.events.Last}
		return true
	}
}

// Close ends the run and gives the slot back; the server calls it however the answer ended.
func (r *responseBody) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	v, w := r.request.router, r.request
	r.workerResponse.End()
	now := v.Tasks.Now()
	v.mappingStats.update(w.mapping, func(t *mappingStats) {
		t.streamsEnded++
		t.streamTime += now.Sub(r.dispatchedAt)
		if r.complete && now <= w.deadline {
			t.onTime++
			t.durations.Add(now.Sub(w.startedAt))
		}
	})
	if r.tag != 0 {
		if r.complete {
			v.release(r.tag, false)
		} else {
			v.releaseAborted(r.tag)
		}
	}
	if r.complete {
		v.stats.countResult(codes.OK)
		v.markUp(r.worker)
	}
	if w.stream == r {
		w.finish()
	}
	return nil
}
