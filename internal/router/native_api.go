package router

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
)

// serve handles all requests of the native API. Paths that need no mapping are answered here.
func (v *Router) serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/healthz":
		v.health(ctx)
	case "/status":
		v.status(ctx)
	case "/metrics":
		v.metrics(ctx)
	default:
		v.handlePrompt(ctx, path)
	}
}

// refuse answers with a code and text at once, and with Retry-After if retryAfter is set.
func (v *Router) refuse(ctx *fasthttp.RequestCtx, code resultcode.Code, text string, notRun bool, retryAfter time.Duration) {
	v.stats.countResult(code)
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(code)))
	o.Set("text", a.NewString(text))
	if notRun {
		o.Set("not_run", a.NewTrue())
	} else {
		o.Set("not_run", a.NewFalse())
	}
	ctx.Response.Reset()
	if retryAfter > 0 {
		o.Set("retry_after_ms", a.NewNumberInt(int(retryAfter.Milliseconds())))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	ctx.SetStatusCode(code.Status())
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// malformed refuses a request that is not valid HTTP or is too large. It matched no mapping and did not run.
func (v *Router) malformed(ctx *fasthttp.RequestCtx, err error) {
	c := resultcode.InvalidBody
	if err == fasthttp.ErrBodyTooLarge {
		c = resultcode.RequestTooLarge
	}
	v.refuse(ctx, c, "the request could not be read", true, 0)
	ctx.SetConnectionClose()
}

// handlePrompt handles one prompt by the compiled configuration.
func (v *Router) handlePrompt(ctx *fasthttp.RequestCtx, path string) {
	v.inFlight.Add(1)
	w := &nativeRequest{router: v, ctx: ctx, startedAt: v.Tasks.Now(), config: v.activeConfig.Load(),
		client: v.clientWatcher.Watch(ctx.Conn()), stage: stageClaim}
	defer func() {
		if !w.streaming {
			w.finish(false)
		}
	}()
	switch {
	case v.draining():
		ctx.SetConnectionClose()
		v.refuse(ctx, resultcode.Draining, "this node is leaving", true, drainRetryAfter)
		return
	case !v.ready.Load() || w.config == nil:
		v.refuse(ctx, resultcode.NotReady, "this node has no confirmed configuration yet", true, time.Second)
		return
	case exceedsLimits(ctx, w.config.Limits):
		v.refuse(ctx, resultcode.RequestTooLarge, "the request is over the limits", true, 0)
		ctx.SetConnectionClose()
		return
	}
	if !w.readRequest() {
		return
	}
	actions, ok := w.config.Program.Find(routing.Request{Host: requestHost(ctx), Path: path, Header: func(n string) string {
		return string(ctx.Request.Header.Peek(n))
	}})
	if !ok {
		v.refuse(ctx, resultcode.NoMapping, "no mapping takes this request", true, 0)
		return
	}
	w.mapping = w.config.Mappings[actions[0].Mapping]
	v.mappingStats.update(w.mapping, func(stats *mappingStats) { stats.countRequest(w.startedAt) })
	routing.Run(actions, routing.Handlers{Deadline: w.applyTimeLimit, Claim: w.claimKey, Split: w.chooseService,
		Dispatch: w.tryService, Refuse: w.refuse})
}

// readRequest reads and checks the method, headers and body of a prompt. It refuses an invalid one and returns false.
func (w *nativeRequest) readRequest() bool {
	ctx, v := w.ctx, w.router
	if !ctx.IsPost() {
		v.refuse(ctx, resultcode.InvalidBody, "a prompt is a POST", true, 0)
		return false
	}
	header := ctx.Request.Header.Peek("Time-Left-Ms")
	if len(header) == 0 {
		v.refuse(ctx, resultcode.MissingTimeLeft, "Time-Left-Ms is missing", true, 0)
		return false
	}
	n, err := strconv.ParseUint(string(header), 10, 31)
	if err != nil || n == 0 {
		v.refuse(ctx, resultcode.InvalidTimeLeft, "Time-Left-Ms is a whole number of milliseconds above 0", true, 0)
		return false
	}
	w.timeLeft = time.Duration(n) * time.Millisecond
	w.key = string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(w.key) > 200 {
		v.refuse(ctx, resultcode.InvalidKey, "an Idempotency-Key has at most 200 bytes", true, 0)
		return false
	}
	w.body = bytes.Clone(ctx.PostBody()) // the body is used after the handler has returned
	parsed, err := fastjson.ParseBytes(w.body)
	if err != nil {
		v.refuse(ctx, resultcode.InvalidBody, "the body is no JSON: "+err.Error(), true, 0)
		return false
	}
	prompt := parsed.Get("prompt")
	if prompt == nil || prompt.Type() != fastjson.TypeString || len(prompt.GetStringBytes()) == 0 {
		v.refuse(ctx, resultcode.InvalidBody, "prompt is missing or no text", true, 0)
		return false
	}
	w.prompt = prompt.GetStringBytes()
	return true
}

// retryAfter returns the delay after which a refused client should retry: the larger of the service's minimum and the
// expected wait, plus jitter.
func retryAfter(minimum, jitter, expectedWait time.Duration) time.Duration {
	b := max(minimum, expectedWait)
	if jitter > 0 {
		b += time.Duration(rand.Int64N(int64(jitter)))
	}
	return b
}
