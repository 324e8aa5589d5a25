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

// serve is the door for callers; what needs no mapping is answered here.
func (v *Router) serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/healthz":
		v.health(ctx)
	case "/status":
		v.status(ctx)
	case "/metrics":
		v.metrics(ctx)
	default:
		v.prompt(ctx, path)
	}
}

// refuse answers with a code at once; a refused caller is told when to come back.
func (v *Router) refuse(ctx *fasthttp.RequestCtx, c resultcode.Code, text string, notRun bool, back time.Duration) {
	v.stats.count(c)
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(c)))
	o.Set("text", a.NewString(text))
	if notRun {
		o.Set("not_run", a.NewTrue())
	} else {
		o.Set("not_run", a.NewFalse())
	}
	ctx.Response.Reset()
	if back > 0 {
		o.Set("retry_after_ms", a.NewNumberInt(int(back.Milliseconds())))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int((back+time.Second-1)/time.Second)))
	}
	ctx.SetStatusCode(c.Status())
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// malformed answers a request that is no HTTP or is too large: it reached no rule and did not run.
func (v *Router) malformed(ctx *fasthttp.RequestCtx, err error) {
	c := resultcode.InvalidBody
	if err == fasthttp.ErrBodyTooLarge {
		c = resultcode.RequestTooLarge
	}
	v.refuse(ctx, c, "the request could not be read", true, 0)
	ctx.SetConnectionClose()
}

// prompt takes one request its way over the compiled rules.
func (v *Router) prompt(ctx *fasthttp.RequestCtx, path string) {
	v.inFlight.Add(1)
	w := &ownRequest{v: v, ctx: ctx, begun: v.Tasks.Now(), rules: v.rules.Load(), client: v.clients.Watch(ctx.Conn()), at: stageClaim}
	defer func() {
		if !w.streaming {
			w.over(false)
		}
	}()
	switch {
	case v.leaving():
		ctx.SetConnectionClose()
		v.refuse(ctx, resultcode.Draining, "this node is leaving", true, leaveBack)
		return
	case !v.ready.Load() || w.rules == nil:
		v.refuse(ctx, resultcode.NotReady, "this node has no confirmed configuration yet", true, time.Second)
		return
	case over(ctx, w.rules.Limits):
		v.refuse(ctx, resultcode.RequestTooLarge, "the request is over the limits", true, 0)
		ctx.SetConnectionClose()
		return
	}
	if !w.read() {
		return
	}
	do, ok := w.rules.Program.Find(routing.Request{Host: hostOf(ctx), Path: path, Header: func(n string) string { return string(ctx.Request.Header.Peek(n)) }})
	if !ok {
		v.refuse(ctx, resultcode.NoMapping, "no mapping takes this request", true, 0)
		return
	}
	w.m = w.rules.Mappings[do[0].Mapping]
	v.tallies.count(w.m, func(t *tally) { t.ask(w.begun) })
	routing.Run(do, routing.Handlers{Deadline: w.limit, Claim: w.claim, Split: w.share, Dispatch: w.try, Refuse: w.refuse})
}

// read checks what every prompt must bring.
func (w *ownRequest) read() bool {
	ctx, v := w.ctx, w.v
	if !ctx.IsPost() {
		v.refuse(ctx, resultcode.InvalidBody, "a prompt is a POST", true, 0)
		return false
	}
	left := ctx.Request.Header.Peek("Time-Left-Ms")
	if len(left) == 0 {
		v.refuse(ctx, resultcode.MissingTimeLeft, "Time-Left-Ms is missing", true, 0)
		return false
	}
	n, err := strconv.ParseUint(string(left), 10, 31)
	if err != nil || n == 0 {
		v.refuse(ctx, resultcode.InvalidTimeLeft, "Time-Left-Ms is a whole number of milliseconds above 0", true, 0)
		return false
	}
	w.left = time.Duration(n) * time.Millisecond
	w.key = string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(w.key) > 200 {
		v.refuse(ctx, resultcode.InvalidKey, "an Idempotency-Key has at most 200 bytes", true, 0)
		return false
	}
	w.body = bytes.Clone(ctx.PostBody()) // outlives the handler
	x, err := fastjson.ParseBytes(w.body)
	if err != nil {
		v.refuse(ctx, resultcode.InvalidBody, "the body is no JSON: "+err.Error(), true, 0)
		return false
	}
	p := x.Get("prompt")
	if p == nil || p.Type() != fastjson.TypeString || len(p.GetStringBytes()) == 0 {
		v.refuse(ctx, resultcode.InvalidBody, "prompt is missing or no text", true, 0)
		return false
	}
	w.text = p.GetStringBytes()
	return true
}

// back says when a refused caller should come again: the service's least time, the wait foreseen, and jitter.
func back(least, jitter, due time.Duration) time.Duration {
	b := max(least, due)
	if jitter > 0 {
		b += time.Duration(rand.Int64N(int64(jitter)))
	}
	return b
}
