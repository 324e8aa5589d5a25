package controller

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
)

// statusTimeout is how long a router's status is waited for.
const statusTimeout = time.Second

// seen asks every live router how it kept its promises, all at once, while the call has time left; it gives the sums and
// how many answered.
func (c *Controller) seen(ctx context.Context) (m map[string]config.PromiseStats, asked, answered int) {
	type answer map[string]config.PromiseStats
	var webs []string
	for _, x := range c.Members() {
		if x.Role == membership.Router && x.State <= membership.Suspect {
			webs = append(webs, x.HTTPAddr)
		}
	}
	ch := make(chan answer, len(webs))
	limit := statusTimeout
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end))
	}
	for _, w := range webs {
		c.Tasks.Go(func() {
			code, b, _, err := transport.HTTPRequest("GET", w, "/status", nil, nil, limit)
			if err != nil || code != 200 {
				ch <- nil
				return
			}
			ch <- readSeen(b)
		})
	}
	m = map[string]config.PromiseStats{}
	for range webs {
		a := <-ch
		if a == nil {
			continue
		}
		answered++
		for k, s := range a {
			x := m[k]
			x.Add(s)
			m[k] = x
		}
	}
	return m, len(webs), answered
}

func readSeen(b []byte) map[string]config.PromiseStats {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil
	}
	m := map[string]config.PromiseStats{}
	o := v.GetObject("promises")
	if o == nil {
		return m
	}
	span := func(x *fastjson.Value, name string) time.Duration {
		return time.Duration(x.GetInt64(name)) * time.Millisecond
	}
	o.Visit(func(k []byte, x *fastjson.Value) {
		m[string(k)] = config.PromiseStats{Promise: string(x.GetStringBytes("promise")), Service: string(x.GetStringBytes("service")),
			Requests: x.GetInt("asked"), FirstTokenKept: x.GetInt("first_kept"), FirstTokenMissed: x.GetInt("first_missed"), OnTime: x.GetInt("on_time"),
			Refused: x.GetInt("refused"), Retries: x.GetInt("again"), Finished: x.GetInt("ended"), RequestRate: x.GetFloat64("per_second"),
			RefusalWait: span(x, "refused_after_ms"), SlotTime: span(x, "held_ms"), FirstTokenP95: span(x, "first_ms_95th")}
	})
	return m
}

// promises tells operators how each promise is kept over the whole fleet.
func (c *Controller) promises(ctx *fasthttp.RequestCtx) {
	within, done := answerTime(register.RequestTimeout)
	defer done()
	m, asked, answered := c.seen(within)
	var a fastjson.Arena
	o, l := a.NewObject(), a.NewObject()
	o.Set("code", a.NewNumberInt(int(resultcode.OK)))
	o.Set("routers", a.NewNumberInt(asked))
	o.Set("routers_answered", a.NewNumberInt(answered))
	for _, k := range message.SortedKeys(m) {
		s := m[k]
		x := a.NewObject()
		x.Set("promise", a.NewString(s.Promise))
		x.Set("asked", a.NewNumberInt(s.Requests))
		x.Set("per_second", a.NewNumberFloat64(s.RequestRate))
		x.Set("first_words_kept_percent", a.NewNumberFloat64(config.Percent(s.FirstTokenKept, s.FirstTokenKept+s.FirstTokenMissed)))
		x.Set("first_ms_95th", a.NewNumberInt(int(s.FirstTokenP95.Milliseconds())))
		x.Set("on_time_percent", a.NewNumberFloat64(config.Percent(s.OnTime, s.Requests)))
		x.Set("refused", a.NewNumberInt(s.Refused))
		x.Set("refused_after_ms", a.NewNumberInt(int(s.RefusalWait.Milliseconds())))
		x.Set("further_tries_percent", a.NewNumberFloat64(100*float64(s.Retries)/float64(max(1, s.Requests))))
		l.Set(k, x)
	}
	o.Set("mappings", l)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}
