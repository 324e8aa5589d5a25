package router

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/units"
)

// relayRequest is the state of one request in an adapter's protocol (docs/design.md, section 11): its bytes go to a worker
// and the worker's come back unchanged. Its ID belongs to a single attempt of a client, so no idempotency key is claimed
// for it.
type relayRequest struct {
	router       *Router
	ctx          *fasthttp.RequestCtx
	config       *activeConfig
	mapping      *config.Mapping
	id           string
	body         []byte
	startedAt    units.Time
	deadline     units.Time
	timeLeft     time.Duration
	prompt       adapter.Prompt
	hasSize      bool   // whether the prompt's size is known
	lastEventID  string // ID of the last complete event that the client has
	dispatches   int    // workers that the request was sent to
	mayHaveRun   bool
	client       *clientwatch.Request
	stage        stage
	failedWorker string // the worker whose answer broke last
	reason       resultcode.Code
	expectedWait time.Duration
	priority     uint8
	stream       *responseBody // nil unless the answer is streamed
}

// holdTimeout is how long a request is held while a started or resumed node confirms that its configuration is up to date,
// which usually takes less. It is refused only after this timeout or when it is cancelled, and then at once (docs/design.md,
// section 11).
const holdTimeout = 700 * time.Millisecond

// handleRelay handles one request in the adapter's protocol.
func (v *Router) handleRelay(ctx *fasthttp.RequestCtx) {
	v.inFlight.Add(1)
	w := &relayRequest{router: v, ctx: ctx, startedAt: v.Tasks.Now(), client: v.clientWatcher.Watch(ctx.Conn()),
		stage: stageAdmission}
	defer func() {
		if w.stream == nil {
			w.finish()
		}
	}()
	if !acceptableRequest(&ctx.Request.Header) {
		w.respond(resultcode.InvalidBody, 0)
		ctx.SetConnectionClose()
		return
	}
	if v.draining() {
		ctx.SetConnectionClose()
	}
	for end := w.startedAt.Add(holdTimeout); !v.ready.Load() && v.Tasks.Now() < end && w.client.Err() == nil; {
		v.Tasks.Wait(w.client, 5*time.Millisecond)
	}
	w.config = v.activeConfig.Load()
	if w.config == nil || !v.ready.Load() {
		w.respond(resultcode.NotReady, 200*time.Millisecond)
		return
	}
	path, host := ctx.Request.Header.RequestURI(), requestHost(ctx)
	if i := bytes.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	actions, ok := w.config.Program.Find(routing.Request{Host: host, Path: string(path), Header: func(n string) string {
		return string(ctx.Request.Header.Peek(n))
	}})
	if !ok {
		w.respond(resultcode.NoMapping, 0)
		return
	}
	w.mapping = w.config.Mappings[actions[0].Mapping]
	if exceedsLimits(ctx, w.config.Limits) {
		w.respond(resultcode.RequestTooLarge, 0)
		ctx.SetConnectionClose()
		return
	}
	w.readHeaders()
	v.mappingStats.update(w.mapping, func(stats *mappingStats) { stats.countRequest(w.startedAt) })
	routing.Run(actions, routing.Handlers{Deadline: w.applyTimeLimit, Claim: func() bool { return false }, Split: w.chooseService,
		Dispatch: w.tryService, Refuse: w.refuse})
}

// finish releases the client. No work for the request may be left.
func (w *relayRequest) finish() {
	w.router.finishRequest(w.client, w.stage, w.startedAt, w.stream != nil && w.stream.complete)
}

// checkCancelled reports whether the request is cancelled, and sets the reason if so.
func (w *relayRequest) checkCancelled() bool {
	reason := cancellationCode(w.client)
	if reason != 0 {
		w.reason = reason
	}
	return reason != 0
}

// requestHost returns the lower-case host of the request's Host header, without a port.
func requestHost(ctx *fasthttp.RequestCtx) string {
	h := strings.ToLower(string(ctx.Request.Header.Host()))
	if i := strings.LastIndexByte(h, ':'); i > 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return h
}

// readHeaders reads the request's ID, last event ID, time left and prompt size from its headers, and copies its body.
func (w *relayRequest) readHeaders() {
	n, h := &w.router.Adapter.Headers, &w.ctx.Request.Header
	w.id = string(h.Peek(n.AttemptID))
	w.lastEventID = string(h.Peek(n.LastEventID))
	w.timeLeft = w.mapping.Promise.Deadline
	if ms, err := strconv.ParseFloat(string(h.Peek(n.TimeLeft)), 64); err == nil && ms >= 0 && ms < 1e9 {
		w.timeLeft = time.Duration(ms * float64(time.Millisecond))
	}
	w.body = bytes.Clone(w.ctx.PostBody()) // the body is used after the handler has returned
	if w.router.Adapter.Prompt != nil {
		w.prompt, w.hasSize = w.router.Adapter.Prompt(h)
	}
}

// drainRetryAfter is the Retry-After of a draining node. It is short, since the client's retry reaches another node.
const drainRetryAfter = 100 * time.Millisecond

// applyTimeLimit sets the deadline to the client's time left, but at most limitMs, the mapping's limit. A draining node
// refuses a request that might take longer than the node will run; applyTimeLimit reports whether it did.
func (w *relayRequest) applyTimeLimit(limitMs int) bool {
	w.deadline = w.startedAt.Add(min(w.timeLeft, time.Duration(limitMs)*time.Millisecond))
	if w.router.mayStart(w.router.Tasks.Now(), w.deadline, w.mapping) {
		return false
	}
	w.router.mappingStats.update(w.mapping, func(stats *mappingStats) { stats.refused++ })
	w.respond(resultcode.Draining, drainRetryAfter)
	return true
}

// chooseService picks one of the services that share the mapping and tries it. The same attempt ID always picks the same
// one.
func (w *relayRequest) chooseService() bool {
	s, ok := pickService(w.mapping.Split, w.id)
	return ok && w.tryService(s)
}

// pickService returns the service that id hashes to, weighted by the targets' shares.
func pickService(split []config.Target, id string) (string, bool) {
	sum := 0
	for _, target := range split {
		sum += target.Share
	}
	remaining := int(units.Mix("share", id) % uint64(max(1, sum)))
	for _, target := range split {
		if remaining -= target.Share; remaining < 0 {
			return target.Service, true
		}
	}
	return "", false
}

// exceedsLimits reports whether a request's body or header is larger than the configured limits.
func exceedsLimits(ctx *fasthttp.RequestCtx, l config.Limits) bool {
	return l.BodyBytes > 0 && len(ctx.PostBody()) > l.BodyBytes || l.HeaderBytes > 0 && len(ctx.Request.Header.RawHeaders()) > l.HeaderBytes
}

// refuse sends the final answer of a request that no service has answered, with Retry-After if it has not run.
func (w *relayRequest) refuse() {
	code := w.reason
	if code == 0 {
		code = resultcode.NoWorker
	}
	if code == resultcode.ClientDisconnected {
		w.ctx.SetConnectionClose()
	} else {
		w.router.mappingStats.update(w.mapping, func(stats *mappingStats) {
			stats.refused++
			stats.refusalTime += w.router.Tasks.Now().Sub(w.startedAt)
		})
	}
	switch {
	case w.mayHaveRun:
		w.respond(resultcode.OutcomeUnknown, 0)
	case code == resultcode.ClientDisconnected:
		w.respond(code, 0)
	default:
		s := w.config.Services[w.mapping.Services[0]]
		w.respond(code, retryAfter(s.RetryAfter, s.RetryJitter, w.expectedWait))
	}
}

// respond answers with one of the router's own codes. Retry-After is sent only if the request did not run.
func (w *relayRequest) respond(code resultcode.Code, retryAfter time.Duration) {
	if code != resultcode.ClientDisconnected { // recordDisconnect counts it
		w.router.stats.countResult(code)
	}
	r := &w.ctx.Response
	r.Reset()
	if w.router.draining() {
		w.ctx.SetConnectionClose()
	}
	if retryAfter > 0 {
		r.Header.Set("Retry-After", strings.TrimRight(strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64), "0"))
	}
	r.SetStatusCode(code.Status())
	r.Header.SetContentType("application/json")
	r.SetBodyString(`{"code":` + strconv.Itoa(int(code)) + `,"text":"` + refusalText(code) + "\"}\n")
}

func refusalText(c resultcode.Code) string {
	switch c {
	case resultcode.NoMapping:
		return "no mapping takes this request"
	case resultcode.NotReady:
		return "this node has no confirmed configuration yet"
	case resultcode.OutcomeUnknown:
		return "the outcome is unknown: it may have run"
	case resultcode.InvalidBody:
		return "the request could not be read"
	case resultcode.RequestTooLarge:
		return "the request is over the limits"
	}
	return refusalTexts[c]
}
