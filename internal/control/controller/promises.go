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
// returns the sums and the numbers of routers that were queried and that answered.
func (c *Controller) collectPromiseStats(ctx context.Context) (stats map[string]config.Seen, queried, answered int) {
	type answer map[string]config.Seen
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
	stats = map[string]config.Seen{}
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

func parsePromiseStats(body []byte) map[string]config.Seen {
	doc, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil
	}
	stats := map[string]config.Seen{}
	promises := doc.GetObject("promises")
	if promises == nil {
		return stats
	}
	duration := func(x *fastjson.Value, name string) time.Duration {
		return time.Duration(x.GetInt64(name)) * time.Millisecond
	}
	promises.Visit(func(k []byte, x *fastjson.Value) {
		stats[string(k)] = config.Seen{Promise: string(x.GetStringBytes("promise")), Service: string(x.GetStringBytes("service")),
			Asked: x.GetInt("asked"), Kept: x.GetInt("first_kept"), Missed: x.GetInt("first_missed"), OnTime: x.GetInt("on_time"),
			Refused: x.GetInt("refused"), Again: x.GetInt("again"), Ended: x.GetInt("ended"), PerSecond: x.GetFloat64("per_second"),
			Waited: duration(x, "refused_after_ms"), Held: duration(x, "held_ms"), First95: duration(x, "first_ms_95th")}
	})
	return stats
}

// servePromises reports how each promise is kept over the whole fleet.
func (c *Controller) servePromises(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
	defer cancel()
	stats, queried, answered := c.collectPromiseStats(callCtx)
	var a fastjson.Arena
	o, list := a.NewObject(), a.NewObject()
	o.Set("code", a.NewNumberInt(int(resultcode.OK)))
	o.Set("routers", a.NewNumberInt(queried))
	o.Set("routers_answered", a.NewNumberInt(answered))
	for _, k := range message.SortedKeys(stats) {
		promise := stats[k]
		x := a.NewObject()
		x.Set("promise", a.NewString(promise.Promise))
		x.Set("asked", a.NewNumberInt(promise.Asked))
		x.Set("per_second", a.NewNumberFloat64(promise.PerSecond))
		x.Set("first_words_kept_percent", a.NewNumberFloat64(config.Share(promise.Kept, promise.Kept+promise.Missed)))
		x.Set("first_ms_95th", a.NewNumberInt(int(promise.First95.Milliseconds())))
		x.Set("on_time_percent", a.NewNumberFloat64(config.Share(promise.OnTime, promise.Asked)))
		x.Set("refused", a.NewNumberInt(promise.Refused))
		x.Set("refused_after_ms", a.NewNumberInt(int(promise.Waited.Milliseconds())))
		x.Set("further_tries_percent", a.NewNumberFloat64(100*float64(promise.Again)/float64(max(1, promise.Asked))))
		list.Set(k, x)
	}
	o.Set("mappings", list)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}
