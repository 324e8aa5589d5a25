package controller

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// plan waits for an operator's confirmation on the node that made it; its id names that node.
type plan struct {
	key  string
	num  units.Version
	data []byte
	made units.Time
}

const planLife = 10 * time.Minute

// passOnTimeout is how long an operator's call passed on to another node may take.
const passOnTimeout = register.RequestTimeout + 2*time.Second

// propose works out what a configuration, or a zone's evacuation, would change; nothing is written.
func (c *Controller) propose(ctx *fasthttp.RequestCtx) {
	within, done := answerTime(register.RequestTimeout)
	defer done()
	body := append([]byte(nil), ctx.PostBody()...)
	p := &plan{key: keyConfig, data: body, made: c.Tasks.Now()}
	var next *config.Config
	if zone := string(ctx.QueryArgs().Peek("zone")); zone != "" {
		if f := c.checkZone(within, zone, body); f != nil {
			c.fail(ctx, f)
			return
		}
		p.key = "zone/" + zone
	} else {
		var fs []*resultcode.Fault
		if next, fs = c.compile(body); len(fs) > 0 {
			c.fail(ctx, fs...)
			return
		}
	}
	r := c.Submit(within, register.Request{Key: p.key})
	if r.Code != resultcode.OK {
		c.result(ctx, r)
		return
	}
	p.num = r.Version
	var d config.Plan
	if next != nil {
		var old *config.Config
		if r.Version > 0 {
			old, _ = c.compile(r.Data)
		}
		d = config.Compare(old, next, c.known)
		m, _, _ := c.seen(within)
		d.AddForecast(old, next, c.known, m)
	} else {
		d = c.compareZone(within, strings.TrimPrefix(p.key, "zone/"), r.Data, body)
	}
	c.plans.Range(func(k, v any) bool {
		if p.made.Sub(v.(*plan).made) > planLife {
			c.plans.Delete(k)
		}
		return true
	})
	id := c.Self.String() + "-" + node.RandomID().String()
	c.plans.Store(id, p)
	c.showPlan(ctx, id, p, d)
}

func (c *Controller) showPlan(ctx *fasthttp.RequestCtx, id string, p *plan, d config.Plan) {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(resultcode.OK)))
	o.Set("plan", a.NewString(id))
	o.Set("key", a.NewString(p.key))
	o.Set("number", a.NewNumberInt(int(p.num)))
	for _, x := range []struct {
		name string
		l    []string
	}{{"changes", d.Changes}, {"ceilings", d.Ceilings}, {"promises", d.Promises}, {"warnings", d.Warnings}} {
		l := a.NewArray()
		for i, s := range x.l {
			l.SetArrayItem(i, a.NewString(s))
		}
		o.Set(x.name, l)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// known counts a pool's workers that are listed and not leaving.
func (c *Controller) known(pool string) int {
	k := 0
	for _, w := range c.listed(pool) {
		if !w.Draining {
			k++
		}
	}
	return k
}

func (c *Controller) listed(pool string) []config.Worker {
	c.catalogMu.Lock()
	defer c.catalogMu.Unlock()
	return c.catalog.List(pool)
}

func (c *Controller) compareZone(within context.Context, zone string, old, body []byte) (d config.Plan) {
	was, is := fastjson.GetBool(old, "evacuated"), fastjson.GetBool(body, "evacuated")
	if was == is {
		d.Warnings = append(d.Warnings, "zone "+zone+" is so already")
	}
	in, all := 0, 0
	for _, p := range c.Settings.Pools {
		for _, w := range c.listed(p) {
			if w.Draining || c.evacuated(w.Zone) && w.Zone != zone {
				continue
			}
			all++
			if w.Zone == zone {
				in++
			}
		}
	}
	if cfg := c.config(); is && cfg != nil {
		m, _, _ := c.seen(within)
		d.AddForecast(cfg, cfg, func(pool string) (n int) {
			for _, w := range c.listed(pool) {
				if !w.Draining && w.Zone != zone && !c.evacuated(w.Zone) {
					n++
				}
			}
			return n
		}, m)
	}
	verb := "is taken back into service"
	if is {
		verb = "gets nothing new"
		if all-in < in {
			d.Warnings = append(d.Warnings, "fewer workers would stay in service than leave it")
		}
	}
	d.Changes = append(d.Changes, "zone "+zone+" "+verb)
	d.Ceilings = append(d.Ceilings, fmt.Sprintf("%d of %d workers in service are in zone %s", in, all, zone))
	return d
}

// config is the configuration that this node last heard of.
func (c *Controller) config() *config.Config {
	c.FeedMu.Lock()
	it := c.Feed.Items[keyConfig]
	c.FeedMu.Unlock()
	if it == nil {
		return nil
	}
	x, _ := c.compile(it.Data)
	return x
}

func (c *Controller) evacuated(zone string) bool {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	it := c.Feed.Items["zone/"+zone]
	return it != nil && fastjson.GetBool(it.Data, "evacuated")
}

// confirm applies a plan if its number still stands. The node that made the plan is asked where it was another.
func (c *Controller) confirm(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil || len(v.GetStringBytes("plan")) == 0 {
		c.fail(ctx, &resultcode.Fault{Code: resultcode.InvalidOperation, Place: "$.plan", Text: "the plan's id is wanted"})
		return
	}
	id := string(v.GetStringBytes("plan"))
	if x, ok := c.plans.Load(id); ok {
		p := x.(*plan)
		within, done := answerTime(register.RequestTimeout)
		defer done()
		c.change(within, ctx, register.Request{Key: p.key, ExpectedVersion: p.num, RequestID: id, Data: p.data})
		return
	}
	node, _, named := strings.Cut(id, "-")
	for _, m := range c.Members() {
		if m.Node.String() == node && m.Node != c.Self && m.State <= membership.Suspect && len(ctx.Request.Header.Peek("Passed-On")) == 0 {
			c.passOn(ctx, m.HTTPAddr)
			return
		}
	}
	if named && node != c.Self.String() {
		c.fail(ctx, &resultcode.Fault{Code: resultcode.CommitUnknown, Text: "the node that made the plan is not in touch: send it again, or plan again if that node is gone"})
		return
	}
	c.fail(ctx, &resultcode.Fault{Code: resultcode.PlanNotFound, Text: "no such plan here, or it is too old; plan again"})
}

// passOn gives an operator's call to the controller it belongs to, once.
func (c *Controller) passOn(ctx *fasthttp.RequestCtx, web string) {
	code, b, _, err := transport.HTTPRequest("POST", web, string(ctx.Path()), ctx.PostBody(), map[string]string{"Passed-On": c.Self.String()}, passOnTimeout)
	if err != nil {
		c.fail(ctx, &resultcode.Fault{Code: resultcode.CommitUnknown, Text: texts[resultcode.CommitUnknown]})
		return
	}
	ctx.SetStatusCode(code)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
