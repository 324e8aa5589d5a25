package simulator

import (
	"slices"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

const connectionsRefused = "connections refused"

// isolationKinds are the ways in which one controller is parted from the others for a span. Kinds that leave it a majority's
// answers are marked: it may go on acknowledging.
var isolationKinds = []struct {
	name   string
	part   func(w *World, cut *Host)
	passes bool
}{
	{"both ways", func(w *World, cut *Host) { w.isolate(cut, isolationTime) }, false},
	{"nothing leaves it", func(w *World, cut *Host) {
		w.partition(isolationTime, func(from, to *Host) bool { return from == cut && to != cut })
	}, false},
	{"nothing reaches it", func(w *World, cut *Host) {
		w.partition(isolationTime, func(from, to *Host) bool { return to == cut && from != cut })
	}, false},
	{"from the other controllers", func(w *World, cut *Host) {
		w.partition(isolationTime, func(from, to *Host) bool {
			return from != to && from.Disk != nil && to.Disk != nil && (from == cut || to == cut)
		})
	}, false},
	{"from one other controller", func(w *World, cut *Host) {
		other := w.controllerHosts[(slices.Index(w.controllerHosts, cut)+1)%len(w.controllerHosts)]
		w.partition(isolationTime, func(from, to *Host) bool { return from == cut && to == other || from == other && to == cut })
	}, true},
	{"connections reset again and again", func(w *World, cut *Host) {
		w.partition(isolationTime, func(from, to *Host) bool {
			return (from == cut) != (to == cut) && time.Duration(w.Now)%(400*time.Millisecond) < 350*time.Millisecond
		})
	}, true},
	// A refusal is taken for a proof that the process has ended, so its lease for asking the platform is given away at once:
	// where something else refuses in its place, two hold that lease for its term.
	{connectionsRefused, func(w *World, cut *Host) {
		w.partition(isolationTime, func(from, to *Host) bool { return (from == cut) != (to == cut) })
		w.keepRefusing(cut, w.Now.Add(isolationTime))
	}, false},
	{"restarted while cut off", func(w *World, cut *Host) {
		w.isolate(cut, isolationTime)
		w.After(5*time.Second, func() { w.restart(cut, 300*time.Millisecond, false) })
	}, false},
	{"restarted with other seeds", func(w *World, cut *Host) {
		w.isolate(cut, isolationTime)
		w.After(5*time.Second, func() {
			if cut.Bootstrap != nil {
				cut.Bootstrap.Seeds = []string{w.routerHosts[0].Addr, "nowhere", cut.Addr}
			}
			w.restart(cut, 300*time.Millisecond, false)
		})
	}, false},
}

// keepRefusing has every other machine told again and again that nobody listens at an address.
func (w *World) keepRefusing(cut *Host, until units.Time) {
	if w.Now >= until {
		return
	}
	for _, h := range w.Hosts {
		if h != cut && h.Proc != nil && h.Proc.OnConnectionRefused != nil {
			h.Proc.OnConnectionRefused(w.Now, cut.Addr)
		}
	}
	w.After(250*time.Millisecond, func() { w.keepRefusing(cut, until) })
}

// submitWithTimeout calls a controller as an adapter's caller does: an answer within register.AnswerTimeout, NoMajority at once from
// a controller that knows that it does not reach one. It mirrors controller.Submit.
func (w *World) submitWithTimeout(c *Controller, a register.Request, done func(register.Result)) {
	if !c.Replica.ReachesMajority(w.Now) {
		done(register.Result{Code: resultcode.NoMajority})
		return
	}
	open := true
	answer := func(r register.Result) {
		if open {
			open = false
			done(r)
		}
	}
	i := len(w.History)
	w.History = append(w.History, Op{Key: a.Key, Write: a.Write, CalledAt: w.Now, ExpectedVersion: a.ExpectedVersion, Data: string(a.Data), controllerAddr: c.Host.Addr})
	c.Submit(w.Sim, a, func(r register.Result) {
		o := &w.History[i]
		if o.Code, o.Version = r.Code, r.Version; open {
			o.ReturnedAt = w.Now
		}
		if !a.Write {
			o.Data = string(r.Data)
		}
		if open && a.Write && r.Code == resultcode.OK {
			w.acknowledged = append(w.acknowledged, acknowledgedConfig{r.Version, w.Now, string(a.Data)})
		}
		answer(r)
	})
	w.After(register.AnswerTimeout, func() { answer(register.Result{Code: a.TimeoutCode()}) })
}
