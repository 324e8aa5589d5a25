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

// serveStatus reports the state of this node and its view of the fleet.
func (c *Controller) serveStatus(ctx *fasthttp.RequestCtx) {
	now := c.Tasks.Now()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("node", a.NewString(c.Self.String()))
	o.Set("name", a.NewString(c.Settings.Name))
	o.Set("zone", a.NewString(c.Settings.Zone))
	c.replicaMu.Lock()
	quorum := c.replica.Quorum()
	voters := a.NewArray()
	for i, n := range quorum.Members {
		voters.SetArrayItem(i, a.NewString(n.String()))
	}
	shortfall := c.shortfall.text
	keys := a.NewObject()
	for k, state := range c.replica.States() {
		x := a.NewObject()
		x.Set("owner", a.NewString(c.replica.Owner(k).String()))
		x.Set("number_here", a.NewNumberInt(int(state.Version)))
		x.Set("epoch", a.NewNumberInt(int(state.Promised.Number)))
		keys.Set(k, x)
	}
	c.replicaMu.Unlock()
	c.writeMajorityContact(&a, o, now)
	members := c.Members()
	o.Set("state", a.NewString(c.describeState(quorum, members)))
	o.Set("voters_version", a.NewNumberInt(int(quorum.Version)))
	o.Set("voters", voters)
	o.Set("voters_fall_short", a.NewString(shortfall))
	o.Set("keys", keys)
	updates := a.NewObject()
	c.FeedMu.Lock()
	for k, item := range c.Feed.Items {
		x := a.NewObject()
		x.Set("number", a.NewNumberInt(int(item.Version)))
		upToDate, total := 0, 0
		for _, m := range members {
			if m.Role == membership.Router && m.State <= membership.Suspect {
				total++
				if c.Feed.Acks[k][m.Node] >= item.Version || m.FeedDigest == c.Feed.Digest {
					upToDate++
				}
			}
		}
		x.Set("routers_at_it", a.NewNumberInt(upToDate))
		x.Set("routers", a.NewNumberInt(total))
		updates.Set(k, x)
	}
	c.FeedMu.Unlock()
	o.Set("news", updates)
	c.leaseMu.Lock()
	o.Set("platform_duty_here", jsonBool(&a, c.lease.Holds(now)))
	o.Set("platform_duty", a.NewString(c.lease.Holder(now).String()))
	c.leaseMu.Unlock()
	c.pollStatus.mu.Lock()
	o.Set("platform_answers", a.NewNumberInt(int(c.pollStatus.successes)))
	o.Set("platform_failures", a.NewNumberInt(int(c.pollStatus.failures)))
	o.Set("platform_last_fault", a.NewString(c.pollStatus.lastError))
	c.pollStatus.mu.Unlock()
	c.disk.mu.Lock()
	disk := a.NewObject()
	disk.Set("sick", jsonBool(&a, c.disk.failed))
	disk.Set("full", jsonBool(&a, c.disk.full))
	disk.Set("set_aside", jsonBool(&a, c.damageSetAside))
	disk.Set("on_reserve", jsonBool(&a, c.disk.onReserve))
	if c.disk.damage != nil {
		disk.Set("damaged", a.NewString(c.disk.damage.Error()))
	}
	disk.Set("last_sync_ms", a.NewNumberInt(int(c.disk.lastWriteDuration/time.Millisecond)))
	c.disk.mu.Unlock()
	o.Set("disk", disk)
	memberList := a.NewArray()
	for i, m := range members {
		memberList.SetArrayItem(i, router.MemberJSON(&a, m))
	}
	o.Set("members", memberList)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// writeMajorityContact adds how long ago a majority of the voters last answered. The rest of the status is this node's
// local state, which may be as old as that.
func (c *Controller) writeMajorityContact(a *fastjson.Arena, o *fastjson.Value, now units.Time) {
	c.replicaMu.Lock()
	reaches := c.replica.ReachesMajority(now)
	silence, known := c.replica.TimeSinceMajorityContact(now)
	c.replicaMu.Unlock()
	o.Set("majority_reached", jsonBool(a, reaches))
	if known {
		o.Set("majority_heard_ms_ago", a.NewNumberInt(int(silence/time.Millisecond)))
	}
}

// describeState describes the role of this node's disk in the fleet, for operators.
func (c *Controller) describeState(quorum register.QuorumSet, members []membership.Member) string {
	view := register.NewControllerView(members)
	switch {
	case quorum.Has(c.Self):
		return "voter"
	case c.Settings.GrowVoters:
		return c.describeSeedState(quorum, view)
	case quorum.Version > 0 || view.FleetExists || c.damageSetAside:
		return "learner: it joins once a voter has been gone for 5 s, or one is missing"
	case len(view.Uninitialized) > c.Settings.BootstrapDisks:
		return fmt.Sprintf("founding: %d blank disks seen, %d wanted: end those that are too many", len(view.Uninitialized), c.Settings.BootstrapDisks)
	}
	return fmt.Sprintf("founding: %d of %d blank disks seen; a blank one at any address will do", len(view.Uninitialized), c.Settings.BootstrapDisks)
}

// describeSeedState is describeState for fleets that are bootstrapped from seeds (docs/design.md, section 13).
func (c *Controller) describeSeedState(quorum register.QuorumSet, view register.ControllerView) string {
	switch {
	case !c.Settings.MayVote:
		return "its disk does not count: it never votes"
	case quorum.Version > 0 || view.FleetExists:
		return "learner: it joins the voters"
	case !c.bootstrapSeeds.Participates:
		return "blank, and not of the first start: it waits to hear of the fleet"
	}
	seen := 0
	for _, a := range c.bootstrapSeeds.SeedAddrs {
		for _, m := range view.Controllers {
			if m.Addr == a {
				seen++
			}
		}
	}
	return fmt.Sprintf("founding: %d of %d seeds seen", seen, len(c.bootstrapSeeds.SeedAddrs))
}

func jsonBool(a *fastjson.Arena, b bool) *fastjson.Value {
	if b {
		return a.NewTrue()
	}
	return a.NewFalse()
}
