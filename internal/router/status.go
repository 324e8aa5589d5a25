package router

import (
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/membership"
)

func (v *Router) health(ctx *fasthttp.RequestCtx) {
	v.viewMu.Lock()
	evacuated := v.view.evacuatedZones[v.Settings.Zone]
	v.viewMu.Unlock()
	if !v.ready.Load() || v.draining() || evacuated || v.isolated() {
		ctx.SetStatusCode(503)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// isolated reports whether this node can reach no other member that it knows. It is then not ready, so that the platform
// sends clients to nodes that can still claim idempotency keys. The nodes of a partitioned zone stay ready while they
// reach each other, since their clients may have no other node.
func (v *Router) isolated() bool {
	sawOthers := false
	for _, m := range v.Members() {
		if m.Node == v.Self || m.State == membership.Left {
			continue
		}
		if m.State <= membership.Suspect {
			return false
		}
		sawOthers = true
	}
	return sawOthers
}

// status serves the state of this node to operators as JSON.
func (v *Router) status(ctx *fasthttp.RequestCtx) {
	now := v.Tasks.Now()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("node", a.NewString(v.Self.String()))
	o.Set("name", a.NewString(v.Settings.Name))
	o.Set("zone", a.NewString(v.Settings.Zone))
	o.Set("ready", jsonBool(&a, v.ready.Load()))
	o.Set("leaving", jsonBool(&a, v.draining()))
	o.Set("in_flight", a.NewNumberInt(int(v.inFlight.Load())))
	if t := v.noControllerSince.Load(); t > 0 {
		o.Set("cut_from_control_ms", a.NewNumberInt(int((int64(now)-t)/int64(time.Millisecond))))
	}
	versions := a.NewObject()
	v.FeedMu.Lock()
	for key, item := range v.Feed.Items {
		versions.Set(key, a.NewNumberInt(int(item.Version)))
	}
	v.FeedMu.Unlock()
	o.Set("news", versions)
	o.Set("in_force", v.activeState(&a))
	coordinated := a.NewArray()
	v.coordinatorMu.Lock()
	for i, status := range v.coordinator.Status(now) {
		x := a.NewObject()
		x.Set("worker", a.NewString(status.Worker))
		x.Set("open", jsonBool(&a, status.Open))
		x.Set("lent", a.NewNumberInt(status.InUse))
		x.Set("cap", a.NewNumberInt(status.Capacity))
		x.Set("waiting", a.NewNumberInt(status.Waiting))
		coordinated.SetArrayItem(i, x)
	}
	v.coordinatorMu.Unlock()
	o.Set("keeps", coordinated)
	inFlight := a.NewObject()
	v.queueMu.Lock()
	for w, n := range v.queue.InFlight {
		inFlight.Set(w, a.NewNumberInt(n))
	}
	v.queueMu.Unlock()
	o.Set("flight", inFlight)
	dispatched := a.NewObject()
	v.stats.mu.Lock()
	for z, n := range v.stats.dispatches {
		dispatched.Set(z, a.NewNumberInt(int(n)))
	}
	v.stats.mu.Unlock()
	o.Set("handed_over", dispatched)
	o.Set("promises", v.mappingStats.statusValue(&a, now))
	members := a.NewArray()
	for i, m := range v.Members() {
		members.SetArrayItem(i, MemberJSON(&a, m))
	}
	o.Set("members", members)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// activeState returns the version of the active configuration and the number of known workers as JSON.
func (v *Router) activeState(a *fastjson.Arena) *fastjson.Value {
	x := a.NewObject()
	if active := v.activeConfig.Load(); active != nil {
		x.Set("config", a.NewNumberInt(int(active.updateVersion)))
		if active.Version > 0 {
			x.Set("version", a.NewNumberInt(int(active.Version))) // the operator's own version, if the configuration has one
		}
	}
	workers := 0
	v.viewMu.Lock()
	for _, l := range v.view.workersByPool {
		workers += len(l)
	}
	v.viewMu.Unlock()
	x.Set("workers", a.NewNumberInt(workers))
	return x
}

// MemberJSON returns a member as JSON for /status.
func MemberJSON(a *fastjson.Arena, m membership.Member) *fastjson.Value {
	x := a.NewObject()
	x.Set("node", a.NewString(m.Node.String()))
	x.Set("role", a.NewString([]string{"", "router", "controller"}[m.Role%3]))
	x.Set("zone", a.NewString(m.Zone))
	x.Set("addr", a.NewString(m.Addr))
	x.Set("web", a.NewString(m.HTTPAddr))
	x.Set("state", a.NewString([]string{"alive", "suspect", "dead", "left"}[m.State%4]))
	x.Set("draining", jsonBool(a, m.Flags&membership.Draining != 0))
	x.Set("unfit", jsonBool(a, m.Flags&membership.DiskUnfit != 0))
	x.Set("ready", jsonBool(a, m.Flags&membership.Ready != 0))
	return x
}

func jsonBool(a *fastjson.Arena, b bool) *fastjson.Value {
	if b {
		return a.NewTrue()
	}
	return a.NewFalse()
}
