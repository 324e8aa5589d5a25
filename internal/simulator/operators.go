package simulator

import (
	"fmt"
	"strings"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Op is one operator's call, as its history has it.
type Op struct {
	Key                  string
	Write                bool
	CalledAt, ReturnedAt units.Time // To is zero while it is open
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

// configText is a configuration whose bytes differ by n.
func configText(n int) string {
	return strings.ReplaceAll(fmt.Sprintf(`{"services":[{"name":"advice","pool":"main","cap":%d,"warm_ms":%d,"first_ms":150,"spread":3}],
"promises":[{"name":"p6","first_ms":800,"deadline_ms":6000},{"name":"p4","first_ms":800,"deadline_ms":4000},{"name":"p20","first_ms":800,"deadline_ms":20000}],
"layout":"# number %d\nmapping briefing { when path = '/v1/briefing' to advice promise p6 repeat }\nmapping notice { when path = '/v1/notice' to advice promise p4 once }\nmapping chat { when path = '/v1/chat' to advice promise p20 repeat }"}`,
		workerCapacity, warmUpTime.Milliseconds(), n), "'", `\"`)
}

// anyController picks a machine that an operator can reach.
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

// Call is one operator's call; its outcome goes into the history.
func (w *World) Call(request register.Request, done func(*Op)) {
	w.callAt(w.anyController(), request, done)
}

func (w *World) callAt(c *Controller, request register.Request, done func(*Op)) {
	if c == nil {
		return
	}
	i := len(w.History)
	w.History = append(w.History, Op{Key: request.Key, Write: request.Write, CalledAt: w.Now, ExpectedVersion: request.ExpectedVersion, Data: string(request.Data), controllerAddr: c.Host.Addr})
	c.Submit(w.Sim, request, func(r register.Result) {
		o := &w.History[i]
		o.ReturnedAt, o.Code, o.Version = w.Now, r.Code, r.Version
		if !request.Write && r.Code == resultcode.OK {
			o.Data = string(r.Data)
		}
		if request.Write && r.Code == resultcode.OK && request.Key == "config" {
			w.acknowledged = append(w.acknowledged, acknowledgedConfig{r.Version, w.Now, string(request.Data)})
		}
		if done != nil {
			done(o)
		}
	})
}

// change reads a key and writes on the number found.
func (w *World) change(key, data string, done func(*Op)) {
	w.Call(register.Request{Key: key}, func(o *Op) {
		if o.Code != resultcode.OK {
			return
		}
		w.Call(register.Request{Key: key, Write: true, ExpectedVersion: o.Version, RequestID: fmt.Sprintf("p%d", w.Rng.Uint64()), Data: []byte(data)}, done)
	})
}

// RunOperators race each other over the configuration for a span: calls from two sides at random moments.
func (w *World) RunOperators(until units.Time, meanInterval time.Duration) {
	if w.Now > until {
		return
	}
	w.lastSerial++
	w.change("config", configText(w.lastSerial), nil)
	w.After(time.Duration(w.Rng.Int64N(int64(2*meanInterval))), func() { w.RunOperators(until, meanInterval) })
}

// Evacuate sets or withdraws a zone's evacuation; the promise counts from the acknowledgement.
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

// watchConfig: in force within 2 s of the acknowledgement, or of the end of a cut, on every router that serves and isn't cut off, never older again.
func (w *World) checkConfigVersions() {
	for _, h := range w.routerHosts {
		e := w.routers[h]
		if e == nil || !w.alive(h) || !e.Ready {
			continue
		}
		if e.ConfigVersion < w.configVersions[e] {
			w.reportViolation("%s slid back from configuration %d to %d", h.Addr, w.configVersions[e], e.ConfigVersion)
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
				w.reportViolation("%s serves with configuration %d, %v after %d was acknowledged", h.Addr, e.ConfigVersion, elapsed, a.version)
			}
			break
		}
	}
}

// fresh: what serves a prompt must not stand on a configuration older than one acknowledged 2 s before, however the
// process came to serve: started, woken or running.
func (w *World) checkConfigIsCurrent(e *Router) {
	for _, a := range w.acknowledged {
		if w.Now.Sub(max(a.at, w.majorityPathLostAt[e.Host])) > 2*time.Second && a.version > e.ConfigVersion && !w.majorityLostWithin(a.at, w.Now) {
			w.reportViolation("%s takes a prompt with configuration %d; %d was acknowledged %v ago", e.Host.Addr, e.ConfigVersion, a.version, w.Now.Sub(a.at))
			return
		}
	}
}
