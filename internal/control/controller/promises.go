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

// statusTimeout limits the request for one router's status.
const statusTimeout = time.Second

// collectPromiseStats requests the promise statistics of every live router in parallel, within the deadline of ctx. It
// returns the sums and the numbers of routers that were asked and that answered.
func (c *Controller) collectPromiseStats(ctx context.Context) (stats map[string]config.PromiseStats, asked, answered int) {
	type answer map[string]config.PromiseStats
	var addrs []string
	for _, member := range c.Members() {
		if member.Role == membership.Router && member.State <= membership.Suspect {
			addrs = append(addrs, member.HTTPAddr)
		}
	}
	answers := make(chan answer, len(addrs))
	timeout := statusTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	for _, addr := range addrs {
		c.Tasks.Go(func() {
			code, body, _, err := transport.HTTPRequest("GET", addr, "/status", nil, nil, timeout)
			if err != nil || code != 200 {
				answers <- nil
				return
			}
			answers <- parsePromiseStats(body)
		})
	}
	stats = map[string]config.PromiseStats{}
	for range addrs {
		answer := <-answers
		if answer == nil {
			continue
		}
		answered++
		for k, promise := range answer {
			sum := stats[k]
			sum.Add(promise)
			stats[k] = sum
		}
	}
	return stats, len(addrs), answered
}

func parsePromiseStats(body []byte) map[string]config.PromiseStats {
	doc, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil
	}
	stats := map[string]config.PromiseStats{}
	promises := doc.GetObject("promises")
	if promises == nil {
		return stats
	}
	duration := func(x *fastjson.Value, name string) time.Duration {
		return time.Duration(x.GetInt64(name)) * time.Millisecond
	}
	promises.Visit(func(k []byte, x *fastjson.Value) {
		stats[string(k)] = config.PromiseStats{Promise: string(x.GetStringBytes("promise")), Service: string(x.GetStringBytes("service")),
			Requests: x.GetInt("asked"), FirstTokenKept: x.GetInt("first_kept"), FirstTokenMissed: x.GetInt("first_missed"), OnTime: x.GetInt("on_time"),
			Refused: x.GetInt("refused"), Retries: x.GetInt("again"), Finished: x.GetInt("ended"), RequestRate: x.GetFloat64("per_second"),
			RefusalWait: duration(x, "refused_after_ms"), SlotTime: duration(x, "held_ms"), FirstTokenP95: duration(x, "first_ms_95th")}
	})
	return stats
}

// servePromises reports how each promise is kept over the whole fleet.
func (c *Controller) servePromises(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
	defer cancel()
	stats, asked, answered := c.collectPromiseStats(callCtx)
	var a fastjson.Arena
	o, list := a.NewObject(), a.NewObject()
	o.Set("code", a.NewNumberInt(int(resultcode.OK)))
	o.Set("routers", a.NewNumberInt(asked))
	o.Set("routers_answered", a.NewNumberInt(answered))
	for _, k := range message.SortedKeys(stats) {
		promise := stats[k]
		x := a.NewObject()
		x.Set("promise", a.NewString(promise.Promise))
		x.Set("asked", a.NewNumberInt(promise.Requests))
		x.Set("per_second", a.NewNumberFloat64(promise.RequestRate))
		x.Set("first_words_kept_percent", a.NewNumberFloat64(config.Percent(promise.FirstTokenKept, promise.FirstTokenKept+promise.FirstTokenMissed)))
		x.Set("first_ms_95th", a.NewNumberInt(int(promise.FirstTokenP95.Milliseconds())))
		x.Set("on_time_percent", a.NewNumberFloat64(config.Percent(promise.OnTime, promise.Requests)))
		x.Set("refused", a.NewNumberInt(promise.Refused))
		x.Set("refused_after_ms", a.NewNumberInt(int(promise.RefusalWait.Milliseconds())))
		x.Set("further_tries_percent", a.NewNumberFloat64(100*float64(promise.Retries)/float64(max(1, promise.Requests))))
		list.Set(k, x)
	}
	o.Set("mappings", list)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}
