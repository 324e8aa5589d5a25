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
	at                   string
}

type ackedConfig struct {
	num  units.Version
	at   units.Time
	data string
}

// configText is a configuration whose bytes differ by n.
func configText(n int) string {
	return strings.ReplaceAll(fmt.Sprintf(`{"services":[{"name":"advice","pool":"main","cap":%d,"warm_ms":%d,"first_ms":150,"spread":3}],
"promises":[{"name":"p6","first_ms":800,"deadline_ms":6000},{"name":"p4","first_ms":800,"deadline_ms":4000},{"name":"p20","first_ms":800,"deadline_ms":20000}],
"layout":"# number %d\nmapping briefing { when path = '/v1/briefing' to advice promise p6 repeat }\nmapping notice { when path = '/v1/notice' to advice promise p4 once }\nmapping chat { when path = '/v1/chat' to advice promise p20 repeat }"}`,
		workerCap, warm.Milliseconds(), n), "'", `\"`)
}

// anyCore picks a machine that an operator can reach.
func (w *World) anyCore() *Controller {
	var l []*Host
	for _, h := range w.coreH {
		if w.alive(h) {
			l = append(l, h)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return w.cores[l[w.Rng.IntN(len(l))]]
}

// Call is one operator's call; its outcome goes into the history.
func (w *World) Call(a register.Request, done func(*Op)) { w.callAt(w.anyCore(), a, done) }

func (w *World) callAt(c *Controller, a register.Request, done func(*Op)) {
	if c == nil {
		return
	}
	i := len(w.History)
	w.History = append(w.History, Op{Key: a.Key, Write: a.Write, CalledAt: w.Now, ExpectedVersion: a.ExpectedVersion, Data: string(a.Data), at: c.Host.Addr})
	c.Submit(w.Sim, a, func(r register.Result) {
		o := &w.History[i]
		o.ReturnedAt, o.Code, o.Version = w.Now, r.Code, r.Version
		if !a.Write && r.Code == resultcode.OK {
			o.Data = string(r.Data)
		}
		if a.Write && r.Code == resultcode.OK && a.Key == "config" {
			w.acked = append(w.acked, ackedConfig{r.Version, w.Now, string(a.Data)})
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
func (w *World) RunOperators(until units.Time, gap time.Duration) {
	if w.Now > until {
		return
	}
	w.serial++
	w.change("config", configText(w.serial), nil)
	w.After(time.Duration(w.Rng.Int64N(int64(2*gap))), func() { w.RunOperators(until, gap) })
}

// Evacuate sets or withdraws a zone's evacuation; the promise counts from the acknowledgement.
func (w *World) Evacuate(zone string, on bool) {
	if w.evac[zone] > 0 {
		w.Stats.LastRunsAfterEvacuation = append(w.Stats.LastRunsAfterEvacuation, w.lateZ[zone])
	}
	w.evac[zone] = 0
	w.change("zone/"+zone, fmt.Sprintf(`{"evacuated":%v}`, on), func(o *Op) {
		if o.Code == resultcode.OK && on {
			w.evac[zone], w.lateZ[zone] = w.Now, 0
		} else if !on {
			delete(w.evac, zone)
		}
	})
}

// watchConfig: in force within 2 s of the acknowledgement, or of the end of a cut, on every router that serves and isn't cut off, never older again.
func (w *World) watchConfig() {
	for _, h := range w.edgeH {
		e := w.edges[h]
		if e == nil || !w.alive(h) || !e.Ready {
			continue
		}
		if e.ConfigVersion < w.nums[e] {
			w.fault("%s slid back from configuration %d to %d", h.Addr, w.nums[e], e.ConfigVersion)
		}
		for _, a := range w.acked {
			if a.num > w.nums[e] && a.num <= e.ConfigVersion && w.nums[e] > 0 {
				w.Stats.ConfigDelays = append(w.Stats.ConfigDelays, max(0, w.Now.Sub(max(a.at, w.cutAt[h]))))
			}
		}
		w.nums[e] = e.ConfigVersion
		for i := len(w.acked) - 1; i >= 0; i-- {
			a := w.acked[i]
			late := w.Now.Sub(max(a.at, w.cutAt[h]))
			if a.num <= e.ConfigVersion || late <= 2*time.Second {
				continue
			}
			if !w.excused(a.at, w.Now) {
				w.fault("%s serves with configuration %d, %v after %d was acknowledged", h.Addr, e.ConfigVersion, late, a.num)
			}
			break
		}
	}
}

// fresh: what serves a prompt must not stand on a configuration older than one acknowledged 2 s before, however the
// process came to serve: started, woken or running.
func (w *World) fresh(e *Router) {
	for _, a := range w.acked {
		if w.Now.Sub(max(a.at, w.cutAt[e.Host])) > 2*time.Second && a.num > e.ConfigVersion && !w.excused(a.at, w.Now) {
			w.fault("%s takes a prompt with configuration %d; %d was acknowledged %v ago", e.Host.Addr, e.ConfigVersion, a.num, w.Now.Sub(a.at))
			return
		}
	}
}
