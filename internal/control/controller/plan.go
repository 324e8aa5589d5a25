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

// plan is a proposed change. It is held for confirmation on the node that made it; its ID contains the ID of that node.
type plan struct {
	key         string
	baseVersion units.Version
	data        []byte
	createdAt   units.Time
}

const planLifetime = 10 * time.Minute

// forwardTimeout limits an operator's call that is forwarded to another node.
const forwardTimeout = register.RequestTimeout + 2*time.Second

// servePlan responds with the effects that a configuration or a zone's evacuation would have. Nothing is written.
func (c *Controller) servePlan(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
	defer cancel()
	body := append([]byte(nil), ctx.PostBody()...)
	p := &plan{key: keyConfig, data: body, createdAt: c.Tasks.Now()}
	var next *config.Config
	if zone := string(ctx.QueryArgs().Peek("zone")); zone != "" {
		if fault := c.checkZone(callCtx, zone, body); fault != nil {
			c.respondFaults(ctx, fault)
			return
		}
		p.key = "zone/" + zone
	} else {
		var faults []*resultcode.Fault
		if next, faults = c.parseConfig(body); len(faults) > 0 {
			c.respondFaults(ctx, faults...)
			return
		}
	}
	result := c.Submit(callCtx, register.Request{Key: p.key})
	if result.Code != resultcode.OK {
		c.respond(ctx, result)
		return
	}
	p.baseVersion = result.Version
	var diff config.Plan
	if next != nil {
		var old *config.Config
		if result.Version > 0 {
			old, _ = c.parseConfig(result.Data)
		}
		diff = config.Compare(old, next, c.activeWorkers)
		stats, _, _ := c.collectPromiseStats(callCtx)
		diff.AddForecast(old, next, c.activeWorkers, stats)
	} else {
		diff = c.compareZone(callCtx, strings.TrimPrefix(p.key, "zone/"), result.Data, body)
	}
	c.plans.Range(func(k, v any) bool {
		if p.createdAt.Sub(v.(*plan).createdAt) > planLifetime {
			c.plans.Delete(k)
		}
		return true
	})
	id := c.Self.String() + "-" + node.RandomID().String()
	c.plans.Store(id, p)
	c.respondPlan(ctx, id, p, diff)
}

func (c *Controller) respondPlan(ctx *fasthttp.RequestCtx, id string, p *plan, diff config.Plan) {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(resultcode.OK)))
	o.Set("plan", a.NewString(id))
	o.Set("key", a.NewString(p.key))
	o.Set("number", a.NewNumberInt(int(p.baseVersion)))
	for _, x := range []struct {
		name string
		l    []string
	}{{"changes", diff.Changes}, {"ceilings", diff.Ceilings}, {"promises", diff.Promises}, {"warnings", diff.Warnings}} {
		l := a.NewArray()
		for i, s := range x.l {
			l.SetArrayItem(i, a.NewString(s))
		}
		o.Set(x.name, l)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// activeWorkers counts a pool's workers that are listed and not draining.
func (c *Controller) activeWorkers(pool string) int {
	count := 0
	for _, w := range c.knownWorkers(pool) {
		if !w.Draining {
			count++
		}
	}
	return count
}

func (c *Controller) knownWorkers(pool string) []config.Worker {
	c.catalogMu.Lock()
	defer c.catalogMu.Unlock()
	return c.catalog.List(pool)
}

func (c *Controller) compareZone(callCtx context.Context, zone string, old, body []byte) (diff config.Plan) {
	wasEvacuated, evacuate := fastjson.GetBool(old, "evacuated"), fastjson.GetBool(body, "evacuated")
	if wasEvacuated == evacuate {
		diff.Warnings = append(diff.Warnings, "zone "+zone+" is so already")
	}
	inZone, total := 0, 0
	for _, p := range c.Settings.Pools {
		for _, w := range c.knownWorkers(p) {
			if w.Draining || c.zoneEvacuated(w.Zone) && w.Zone != zone {
				continue
			}
			total++
			if w.Zone == zone {
				inZone++
			}
		}
	}
	if cfg := c.knownConfig(); evacuate && cfg != nil {
		stats, _, _ := c.collectPromiseStats(callCtx)
		diff.AddForecast(cfg, cfg, func(pool string) (count int) {
			for _, w := range c.knownWorkers(pool) {
				if !w.Draining && w.Zone != zone && !c.zoneEvacuated(w.Zone) {
					count++
				}
			}
			return count
		}, stats)
	}
	verb := "is taken back into service"
	if evacuate {
		verb = "gets nothing new"
		if total-inZone < inZone {
			diff.Warnings = append(diff.Warnings, "fewer workers would stay in service than leave it")
		}
	}
	diff.Changes = append(diff.Changes, "zone "+zone+" "+verb)
	diff.Ceilings = append(diff.Ceilings, fmt.Sprintf("%d of %d workers in service are in zone %s", inZone, total, zone))
	return diff
}

// knownConfig returns the newest configuration that this node knows.
func (c *Controller) knownConfig() *config.Config {
	c.FeedMu.Lock()
	item := c.Feed.Items[keyConfig]
	c.FeedMu.Unlock()
	if item == nil {
		return nil
	}
	cfg, _ := c.parseConfig(item.Data)
	return cfg
}

func (c *Controller) zoneEvacuated(zone string) bool {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	item := c.Feed.Items["zone/"+zone]
	return item != nil && fastjson.GetBool(item.Data, "evacuated")
}

// serveConfirm applies a plan if the stored version that it builds on is still in force. A plan that another node made is
// forwarded to that node.
func (c *Controller) serveConfirm(ctx *fasthttp.RequestCtx) {
	body, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil || len(body.GetStringBytes("plan")) == 0 {
		c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.InvalidOperation, Place: "$.plan", Text: "the plan's id is wanted"})
		return
	}
	id := string(body.GetStringBytes("plan"))
	if x, ok := c.plans.Load(id); ok {
		stored := x.(*plan)
		callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
		defer cancel()
		c.writeAndRespond(callCtx, ctx, register.Request{Key: stored.key, ExpectedVersion: stored.baseVersion, RequestID: id, Data: stored.data})
		return
	}
	nodeID, _, hasNodeID := strings.Cut(id, "-")
	for _, m := range c.Members() {
		if m.Node.String() == nodeID && m.Node != c.Self && m.State <= membership.Suspect && len(ctx.Request.Header.Peek("Passed-On")) == 0 {
			c.forward(ctx, m.HTTPAddr)
			return
		}
	}
	if hasNodeID && nodeID != c.Self.String() {
		c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.CommitUnknown, Text: "the node that made the plan is not in touch: send it again, or plan again if that node is gone"})
		return
	}
	c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.PlanNotFound, Text: "no such plan here, or it is too old; plan again"})
}

// forward sends an operator's call to the controller that holds its plan. A forwarded call isn't forwarded again.
func (c *Controller) forward(ctx *fasthttp.RequestCtx, addr string) {
	code, body, _, err := transport.HTTPRequest("POST", addr, string(ctx.Path()), ctx.PostBody(), map[string]string{"Passed-On": c.Self.String()}, forwardTimeout)
	if err != nil {
		c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.CommitUnknown, Text: faultTexts[resultcode.CommitUnknown]})
		return
	}
	ctx.SetStatusCode(code)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
