package router

import (
	"io"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/upstream"
)

// maxBufferedResponse is the size up to which a worker's answer is read completely before its first byte goes to the client,
// so that an answer that breaks off is not passed on as a success.
const maxBufferedResponse = 64 << 10

// respondFromWorker passes a worker's answer to the client.
func (w *relayRequest) respondFromWorker(response *workerResponse) {
	v := w.router
	if c := response.Response.StatusCode(); c == 408 || c == 421 || c == 429 || c == 503 {
		response.End() // these don't prove that the request has not run, so they must not be passed on as refusals
		v.release(response.tag, false)
		w.respond(resultcode.OutcomeUnknown, 0)
		return
	}
	w.client.AnswerStarted()
	v.mappingStats.update(w.mapping, func(stats *mappingStats) { stats.recordFirstToken(v.Tasks.Now().Sub(w.startedAt)) })
	w.copyHeader(response)
	body := &responseBody{request: w, workerResponse: response}
	body.events.LastID = w.lastEventID
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
		if w.tryService(response.service.Name) { // takes the retry from the retry budget
			return
		}
		w.respond(resultcode.OutcomeUnknown, 0)
		return
	}
	w.ctx.Response.SetBodyRaw(content)
	body.Close()
}

// copyHeader copies the worker's status and headers to the client's response, except hop-by-hop headers.
func (w *relayRequest) copyHeader(response *workerResponse) {
	out, in := &w.ctx.Response, response.Response
	out.Reset()
	in.Header.CopyTo(&out.Header)
	for _, h := range hopByHopHeaders {
		out.Header.Del(h)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol([]byte("HTTP/1.1")) // the worker's protocol version applies to its connection only
	out.Header.SetNoDefaultContentType(true)
	if w.router.draining() {
		w.ctx.SetConnectionClose()
	}
}

// responseBody is the body of a client's response. An error from Read makes the server close the connection without a
// final chunk, so that a broken response never looks complete. A resumable stream continues on another worker after the
// last complete event, under the header of its first worker (docs/design.md, section 11).
type responseBody struct {
	request *relayRequest
	*workerResponse
	events   upstream.EventStream
	pending  []byte // complete events that have not been read yet
	buf      []byte
	complete bool
	closed   bool
	err      error
}

// resumable reports whether another worker may continue this response.
func (r *responseBody) resumable() bool {
	return r.request.mapping.Resume && r.Response.StatusCode() == fasthttp.StatusOK
}

// contentLength returns the length to announce, or -1 for a chunked response. A resumable response can have any length: the
// first worker's length would truncate it and make it look complete.
func (r *responseBody) contentLength() int {
	if r.resumable() {
		return -1
	}
	return r.Length()
}

// Read returns the next bytes as they arrive.
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

// readMore reads from the worker and appends complete events to pending. If the stream breaks, it resumes it on another
// worker.
func (r *responseBody) readMore() error {
	if r.buf == nil {
		r.buf = make([]byte, 4096)
	}
	n, err := r.workerResponse.Read(r.buf)
	events, formatErr := r.events.Append(r.buf[:n])
	r.pending = append(r.pending[:0], events...)
	switch {
	case formatErr != nil:
		err = formatErr
	case err == io.EOF && r.events.PendingBytes() > 0:
		err = errBroken // the stream ended within an event
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

// recordBreak counts and logs a broken stream and marks its worker down, unless this node aborted it.
func (r *responseBody) recordBreak(err error) {
	v := r.request.router
	if r.request.client.Err() != nil {
		return // aborted by this node
	}
	v.stats.countResult(resultcode.StreamBroken)
	v.markDown(r.worker)
	v.Log.WithError(err).WithField("worker", r.worker).Warn("worker stream broke")
}

// resume continues the stream on another worker after the last complete event. It reports whether it could.
func (r *responseBody) resume() bool {
	w := r.request
	if r.events.HasEventWithoutID {
		return false // an event had no ID, so the last one that the client has is unknown
	}
	w.lastEventID, w.failedWorker = r.events.LastID, r.worker
	r.workerResponse.End()
	w.router.releaseAborted(r.tag)
	r.workerResponse.tag = 0
	for {
		now := w.router.Tasks.Now()
		if w.deadline.Sub(now) < r.service.FirstTokenTime || !w.takeAttempt(r.service.Name, now) {
			return false
		}
		decision, tag := w.admit(now, r.service)
		if decision.Code != resultcode.OK {
			return false
		}
		response := w.dispatch(tag, decision.Worker, r.service)
		if response == nil {
			continue
		}
		if response.Response.StatusCode() != 200 {
			response.End()
			w.router.releaseAborted(tag)
			return false
		}
		r.workerResponse = response
		r.events = upstream.EventStream{LastID: r.events.LastID}
		return true
	}
}

// Close ends the exchange and releases the permit. The server calls it however the response ended.
func (r *responseBody) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	v, w := r.request.router, r.request
	r.workerResponse.End()
	now := v.Tasks.Now()
	v.mappingStats.update(w.mapping, func(stats *mappingStats) {
		stats.streamsEnded++
		stats.streamTime += now.Sub(r.dispatchedAt)
		if r.complete && now <= w.deadline {
			stats.onTime++
			stats.durations.Add(now.Sub(w.startedAt))
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
		v.stats.countResult(resultcode.OK)
		v.markUp(r.worker)
	}
	if w.stream == r {
		w.finish()
	}
	return nil
}
