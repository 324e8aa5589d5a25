package simulator

import (
	"fmt"
	"strings"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Op is an operator's call and its result, as recorded in the history.
type Op struct {
	Key                  string
	Write                bool
	CalledAt, ReturnedAt units.Time // ReturnedAt is zero while the call is in progress
	ExpectedVersion      units.Version
	Code                 resultcode.Code
	Version              units.Version
	Data                 string
	controllerAddr       string
}

type acknowledgedConfig struct {
	version units.Version
	at      units.Time
	data    string
}

// configText returns a configuration document that contains n.
func configText(n int) string {
	return strings.ReplaceAll(fmt.Sprintf(`{"services":[{"name":"advice","pool":"main","cap":%d,"warm_ms":%d,"first_ms":150,"spread":3}],
"promises":[{"name":"p6","first_ms":800,"deadline_ms":6000},{"name":"p4","first_ms":800,"deadline_ms":4000},{"name":"p20","first_ms":800,"deadline_ms":20000}],
"layout":"# number %d\nmapping briefing { when path = '/v1/briefing' to advice promise p6 repeat }\nmapping notice { when path = '/v1/notice' to advice promise p4 once }\nmapping chat { when path = '/v1/chat' to advice promise p20 repeat }"}`,
		workerCapacity, warmUpTime.Milliseconds(), n), "'", `\"`)
}

// anyController picks a random controller that an operator can reach.
func (w *World) anyController() *Controller {
	var alive []*Host
	for _, h := range w.controllerHosts {
		if w.alive(h) {
			alive = append(alive, h)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return w.controllers[alive[w.Rng.IntN(len(alive))]]
}

// Call submits a request to a random controller and records it in the history.
func (w *World) Call(request register.Request, done func(*Op)) {
	w.callAt(w.anyController(), request, done)
}

func (w *World) callAt(controller *Controller, request register.Request, done func(*Op)) {
	if controller == nil {
		return
	}
	index := len(w.History)
	w.History = append(w.History, Op{Key: request.Key, Write: request.Write, CalledAt: w.Now,
		ExpectedVersion: request.ExpectedVersion, Data: string(request.Data), controllerAddr: controller.Host.Addr})
	controller.Submit(w.Sim, request, func(r register.Result) {
		op := &w.History[index]
		op.ReturnedAt, op.Code, op.Version = w.Now, r.Code, r.Version
		if !request.Write && r.Code == resultcode.OK {
			op.Data = string(r.Data)
		}
		if request.Write && r.Code == resultcode.OK && request.Key == "config" {
			w.acknowledged = append(w.acknowledged, acknowledgedConfig{r.Version, w.Now, string(request.Data)})
		}
		if done != nil {
			done(op)
		}
	})
}

// change reads a key and writes it with the version found as the expected version.
func (w *World) change(key, data string, done func(*Op)) {
	w.Call(register.Request{Key: key}, func(o *Op) {
		if o.Code != resultcode.OK {
			return
		}
		w.Call(register.Request{Key: key, Write: true, ExpectedVersion: o.Version,
			RequestID: fmt.Sprintf("p%d", w.Rng.Uint64()), Data: []byte(data)}, done)
	})
}

// RunOperators changes the configuration at random times until the given time. The changes may overlap.
func (w *World) RunOperators(until units.Time, meanInterval time.Duration) {
	if w.Now > until {
		return
	}
	w.lastSerial++
	w.change("config", configText(w.lastSerial), nil)
	w.After(time.Duration(w.Rng.Int64N(int64(2*meanInterval))), func() { w.RunOperators(until, meanInterval) })
}

// Evacuate sets or withdraws a zone's evacuation. The time limit of an evacuation starts with its acknowledgement.
func (w *World) Evacuate(zone string, on bool) {
	if w.evacuatedAt[zone] > 0 {
		w.Stats.LastRunsAfterEvacuation = append(w.Stats.LastRunsAfterEvacuation, w.lastRunAfterEvacuation[zone])
	}
	w.evacuatedAt[zone] = 0
	w.change("zone/"+zone, fmt.Sprintf(`{"evacuated":%v}`, on), func(o *Op) {
		if o.Code == resultcode.OK && on {
			w.evacuatedAt[zone], w.lastRunAfterEvacuation[zone] = w.Now, 0
		} else if !on {
			delete(w.evacuatedAt, zone)
		}
	})
}

// checkConfigVersions checks that each ready, connected router has a configuration within 2 s of its acknowledgement, or of
// the end of a partition, and never goes back to an older one.
func (w *World) checkConfigVersions() {
	for _, h := range w.routerHosts {
		e := w.routers[h]
		if e == nil || !w.alive(h) || !e.Ready {
			continue
		}
		if e.ConfigVersion < w.configVersions[e] {
			w.reportViolation("%s went back from configuration %d to %d", h.Addr, w.configVersions[e], e.ConfigVersion)
		}
		for _, a := range w.acknowledged {
			if a.version > w.configVersions[e] && a.version <= e.ConfigVersion && w.configVersions[e] > 0 {
				w.Stats.ConfigDelays = append(w.Stats.ConfigDelays, max(0, w.Now.Sub(max(a.at, w.majorityPathLostAt[h]))))
			}
		}
		w.configVersions[e] = e.ConfigVersion
		for i := len(w.acknowledged) - 1; i >= 0; i-- {
			a := w.acknowledged[i]
			elapsed := w.Now.Sub(max(a.at, w.majorityPathLostAt[h]))
			if a.version <= e.ConfigVersion || elapsed <= 2*time.Second {
				continue
			}
			if !w.majorityLostWithin(a.at, w.Now) {
				w.reportViolation("%s serves with configuration %d, %v after %d was acknowledged", h.Addr, e.ConfigVersion,
					elapsed, a.version)
			}
			break
		}
	}
}

// checkConfigIsCurrent checks that a router that takes a request has every configuration that was acknowledged more than
// 2 s ago, also when the router has just started or resumed.
func (w *World) checkConfigIsCurrent(e *Router) {
	for _, a := range w.acknowledged {
		if w.Now.Sub(max(a.at, w.majorityPathLostAt[e.Host])) > 2*time.Second && a.version > e.ConfigVersion &&
			!w.majorityLostWithin(a.at, w.Now) {
			w.reportViolation("%s takes a request with configuration %d; %d was acknowledged %v ago", e.Host.Addr,
				e.ConfigVersion, a.version, w.Now.Sub(a.at))
			return
		}
	}
}
