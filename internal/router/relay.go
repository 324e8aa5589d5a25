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

// relay is one request on its way through this node in an adapter's words (design 11): its bytes go to a worker and the
// worker's come back unchanged. Its id belongs to one try of a client, so nothing is claimed for it.
type relay struct {
	v      *Router
	ctx    *fasthttp.RequestCtx
	rules  *rules
	m      *config.Mapping
	id     string
	body   []byte
	begun  units.Time
	until  units.Time
	left   time.Duration
	prompt adapter.Prompt
	sized  bool   // the prompt's size is known
	last   string // the id of the last whole event that the client has
	sent   int    // workers that the request was sent to
	ran    bool   // it may have run
	client *clientwatch.Request
	at     stage  // where it stands
	broke  string // the worker that broke off last
	why    resultcode.Code
	due    time.Duration
	urge   uint8
	reply  *reply // while a stream goes on
}

// holdFor is how long a request waits for a node that has started or woken and asks whether its news still stands: as a
// rule that takes less. It is not given up meanwhile; one that is gets its answer at once (design 11).
const holdFor = 700 * time.Millisecond

// relay takes one request its way.
func (v *Router) relay(ctx *fasthttp.RequestCtx) {
	v.inFlight.Add(1)
	w := &relay{v: v, ctx: ctx, begun: v.Tasks.Now(), client: v.clients.Watch(ctx.Conn()), at: stageAdmission}
	defer func() {
		if w.reply == nil {
			w.over()
		}
	}()
	if !proper(&ctx.Request.Header) {
		w.end(resultcode.InvalidBody, 0)
		ctx.SetConnectionClose()
		return
	}
	if v.leaving() {
		ctx.SetConnectionClose()
	}
	for end := w.begun.Add(holdFor); !v.ready.Load() && v.Tasks.Now() < end && w.client.Err() == nil; {
		v.Tasks.Wait(w.client, 5*time.Millisecond)
	}
	w.rules = v.rules.Load()
	if w.rules == nil || !v.ready.Load() {
		w.end(resultcode.NotReady, 200*time.Millisecond)
		return
	}
	path, host := ctx.Request.Header.RequestURI(), hostOf(ctx)
	if i := bytes.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	do, ok := w.rules.Program.Find(routing.Request{Host: host, Path: string(path), Header: func(n string) string { return string(ctx.Request.Header.Peek(n)) }})
	if !ok {
		w.end(resultcode.NoMapping, 0)
		return
	}
	w.m = w.rules.Mappings[do[0].Mapping]
	if over(ctx, w.rules.Limits) {
		w.end(resultcode.RequestTooLarge, 0)
		ctx.SetConnectionClose()
		return
	}
	w.read()
	v.tallies.count(w.m, func(t *tally) { t.ask(w.begun) })
	routing.Run(do, routing.Handlers{Deadline: w.limit, Claim: func() bool { return false }, Split: w.share, Dispatch: w.try, Refuse: w.refuse})
}

// over lets go of the client; nothing may be under way for it any more.
func (w *relay) over() {
	w.v.over(w.client, w.at, w.begun, w.reply != nil && w.reply.ended)
}

// cancelled looks whether the request is cancelled, and notes why.
func (w *relay) cancelled() bool {
	why := cancelledAs(w.client)
	if why != 0 {
		w.why = why
	}
	return why != 0
}

// hostOf is the host that the client names, without a port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	h := strings.ToLower(string(ctx.Request.Header.Host()))
	if i := strings.LastIndexByte(h, ':'); i > 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return h
}

// read takes what the headers tell.
func (w *relay) read() {
	n, h := &w.v.Adapter.Headers, &w.ctx.Request.Header
	w.id = string(h.Peek(n.AttemptID))
	w.last = string(h.Peek(n.LastEventID))
	w.left = w.m.Promise.Deadline
	if ms, err := strconv.ParseFloat(string(h.Peek(n.TimeLeft)), 64); err == nil && ms >= 0 && ms < 1e9 {
		w.left = time.Duration(ms * float64(time.Millisecond))
	}
	w.body = bytes.Clone(w.ctx.PostBody()) // outlives the handler
	if w.v.Adapter.Prompt != nil {
		w.prompt, w.sized = w.v.Adapter.Prompt(h)
	}
}

// leaveBack is when a client that a leaving node refuses may come again: at once, as it comes to another.
const leaveBack = 100 * time.Millisecond

// limit bounds the client's time left by the mapping's. A leaving node ends the way of what might outlast it.
func (w *relay) limit(ms int) bool {
	w.until = w.begun.Add(min(w.left, time.Duration(ms)*time.Millisecond))
	if w.v.begins(w.v.Tasks.Now(), w.until, w.m) {
		return false
	}
	w.v.tallies.count(w.m, func(t *tally) { t.refused++ })
	w.end(resultcode.Draining, leaveBack)
	return true
}

// share draws the service among those that share the mapping; the same try always draws the same.
func (w *relay) share() bool {
	s, ok := draw(w.m.Split, w.id)
	return ok && w.try(s)
}

// draw gives the service that an id falls to, by the shares.
func draw(split []config.Target, id string) (string, bool) {
	sum := 0
	for _, t := range split {
		sum += t.Share
	}
	x := int(units.Mix("share", id) % uint64(max(1, sum)))
	for _, t := range split {
		if x -= t.Share; x < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// over says whether a request is larger than the limits in force allow.
func over(ctx *fasthttp.RequestCtx, l config.Limits) bool {
	return l.BodyBytes > 0 && len(ctx.PostBody()) > l.BodyBytes || l.HeaderBytes > 0 && len(ctx.Request.Header.RawHeaders()) > l.HeaderBytes
}

// refuse is the last step of every way: the final answer, at once, with when to come back if it has not run.
func (w *relay) refuse() {
	c := w.why
	if c == 0 {
		c = resultcode.NoWorker
	}
	if c == resultcode.ClientDisconnected {
		w.ctx.SetConnectionClose()
	} else {
		w.v.tallies.count(w.m, func(t *tally) {
			t.refused++
			t.waited += w.v.Tasks.Now().Sub(w.begun)
		})
	}
	switch {
	case w.ran:
		w.end(resultcode.OutcomeUnknown, 0)
	case c == resultcode.ClientDisconnected:
		w.end(c, 0)
	default:
		s := w.rules.Services[w.m.Services[0]]
		w.end(c, back(s.RetryAfter, s.RetryJitter, w.due))
	}
}

// end answers with a code of our own. A client is told when to come back only where the request did not run.
func (w *relay) end(c resultcode.Code, after time.Duration) {
	if c != resultcode.ClientDisconnected { // counted as the client left
		w.v.stats.count(c)
	}
	r := &w.ctx.Response
	r.Reset()
	if w.v.leaving() {
		w.ctx.SetConnectionClose()
	}
	if after > 0 {
		r.Header.Set("Retry-After", strings.TrimRight(strconv.FormatFloat(after.Seconds(), 'f', 3, 64), "0"))
	}
	r.SetStatusCode(c.Status())
	r.Header.SetContentType("application/json")
	r.SetBodyString(`{"code":` + strconv.Itoa(int(c)) + `,"text":"` + reasonOf(c) + "\"}\n")
}

func reasonOf(c resultcode.Code) string {
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
	return reasons[c]
}
