package controller

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/control/register"
	"seamshunt/internal/router"
	"seamshunt/internal/units"
)

// status tells operators all there is to know of this node.
func (c *Controller) status(ctx *fasthttp.RequestCtx) {
	now := c.Tasks.Now()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("node", a.NewString(c.Self.String()))
	o.Set("name", a.NewString(c.Settings.Name))
	o.Set("zone", a.NewString(c.Settings.Zone))
	c.replicaMu.Lock()
	v := c.replica.Quorum()
	vs := a.NewArray()
	for i, n := range v.Members {
		vs.SetArrayItem(i, a.NewString(n.String()))
	}
	short := c.shortfall.text
	keys := a.NewObject()
	for k, s := range c.replica.States() {
		x := a.NewObject()
		x.Set("owner", a.NewString(c.replica.Owner(k).String()))
		x.Set("number_here", a.NewNumberInt(int(s.Version)))
		x.Set("epoch", a.NewNumberInt(int(s.Promised.Number)))
		keys.Set(k, x)
	}
	c.replicaMu.Unlock()
	c.showContact(&a, o, now)
	members := c.Members()
	o.Set("state", a.NewString(c.state(v, members)))
	o.Set("voters_version", a.NewNumberInt(int(v.Version)))
	o.Set("voters", vs)
	o.Set("voters_fall_short", a.NewString(short))
	o.Set("keys", keys)
	news := a.NewObject()
	c.FeedMu.Lock()
	for k, it := range c.Feed.Items {
		x := a.NewObject()
		x.Set("number", a.NewNumberInt(int(it.Version)))
		at, all := 0, 0
		for _, m := range members {
			if m.Role == membership.Router && m.State <= membership.Suspect {
				all++
				if c.Feed.Acks[k][m.Node] >= it.Version || m.FeedDigest == c.Feed.Digest {
					at++
				}
			}
		}
		x.Set("routers_at_it", a.NewNumberInt(at))
		x.Set("routers", a.NewNumberInt(all))
		news.Set(k, x)
	}
	c.FeedMu.Unlock()
	o.Set("news", news)
	c.leaseMu.Lock()
	o.Set("platform_duty_here", jsonBool(&a, c.lease.Holds(now)))
	o.Set("platform_duty", a.NewString(c.lease.Holder(now).String()))
	c.leaseMu.Unlock()
	c.polled.mu.Lock()
	o.Set("platform_answers", a.NewNumberInt(int(c.polled.ok)))
	o.Set("platform_failures", a.NewNumberInt(int(c.polled.bad)))
	o.Set("platform_last_fault", a.NewString(c.polled.last))
	c.polled.mu.Unlock()
	c.disk.mu.Lock()
	d := a.NewObject()
	d.Set("sick", jsonBool(&a, c.disk.sick))
	d.Set("full", jsonBool(&a, c.disk.full))
	d.Set("set_aside", jsonBool(&a, c.heir))
	d.Set("on_reserve", jsonBool(&a, c.disk.low))
	if c.disk.damage != nil {
		d.Set("damaged", a.NewString(c.disk.damage.Error()))
	}
	d.Set("last_sync_ms", a.NewNumberInt(int(c.disk.slow/time.Millisecond)))
	c.disk.mu.Unlock()
	o.Set("disk", d)
	ms := a.NewArray()
	for i, m := range members {
		ms.SetArrayItem(i, router.MemberJSON(&a, m))
	}
	o.Set("members", ms)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// showContact says how long ago a majority of the voters last answered: all else in the status is what this node holds,
// and no newer than that.
func (c *Controller) showContact(a *fastjson.Arena, o *fastjson.Value, now units.Time) {
	c.replicaMu.Lock()
	reaches := c.replica.ReachesMajority(now)
	silence, known := c.replica.TimeSinceMajorityContact(now)
	c.replicaMu.Unlock()
	o.Set("majority_reached", jsonBool(a, reaches))
	if known {
		o.Set("majority_heard_ms_ago", a.NewNumberInt(int(silence/time.Millisecond)))
	}
}

// state names what this node's disk is to the fleet, in words for operators.
func (c *Controller) state(v register.QuorumSet, members []membership.Member) string {
	look := register.NewControllerView(members)
	switch {
	case v.Has(c.Self):
		return "voter"
	case c.Settings.GrowVoters:
		return c.grows(v, look)
	case v.Version > 0 || look.FleetExists || c.heir:
		return "learner: it joins once a voter has been gone for 5 s, or one is missing"
	case len(look.Uninitialized) > c.Settings.BootstrapDisks:
		return fmt.Sprintf("founding: %d blank disks seen, %d wanted: end those that are too many", len(look.Uninitialized), c.Settings.BootstrapDisks)
	}
	return fmt.Sprintf("founding: %d of %d blank disks seen; a blank one at any address will do", len(look.Uninitialized), c.Settings.BootstrapDisks)
}

// grows is the same where voters are founded from seeds (design 13).
func (c *Controller) grows(v register.QuorumSet, look register.ControllerView) string {
	switch {
	case !c.Settings.MayVote:
		return "its disk does not count: it never votes"
	case v.Version > 0 || look.FleetExists:
		return "learner: it joins the voters"
	case !c.seeds.Participates:
		return "blank, and not of the first start: it waits to hear of the fleet"
	}
	seen := 0
	for _, a := range c.seeds.SeedAddrs {
		for _, m := range look.Controllers {
			if m.Addr == a {
				seen++
			}
		}
	}
	return fmt.Sprintf("founding: %d of %d seeds seen", seen, len(c.seeds.SeedAddrs))
}

func jsonBool(a *fastjson.Arena, b bool) *fastjson.Value {
	if b {
		return a.NewTrue()
	}
	return a.NewFalse()
}
