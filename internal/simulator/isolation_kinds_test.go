package simulator

import (
	"slices"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

const connectionsRefused = "connections refused"

// isolationKinds are the ways in which a controller is isolated from the others. With reachesMajority it still reaches a
// majority and may acknowledge writes.
var isolationKinds = []struct {
	name            string
	isolate         func(w *World, isolated *Host)
	reachesMajority bool
}{
	{"both ways", func(w *World, isolated *Host) { w.isolate(isolated, isolationTime) }, false},
	{"nothing leaves it", func(w *World, isolated *Host) {
		w.partition(isolationTime, func(from, to *Host) bool { return from == isolated && to != isolated })
	}, false},
	{"nothing reaches it", func(w *World, isolated *Host) {
		w.partition(isolationTime, func(from, to *Host) bool { return to == isolated && from != isolated })
	}, false},
	{"from the other controllers", func(w *World, isolated *Host) {
		w.partition(isolationTime, func(from, to *Host) bool {
			return from != to && from.Disk != nil && to.Disk != nil && (from == isolated || to == isolated)
		})
	}, false},
	{"from one other controller", func(w *World, isolated *Host) {
		other := w.controllerHosts[(slices.Index(w.controllerHosts, isolated)+1)%len(w.controllerHosts)]
		w.partition(isolationTime, func(from, to *Host) bool {
			return from == isolated && to == other || from == other && to == isolated
		})
	}, true},
	{"connections reset repeatedly", func(w *World, isolated *Host) {
		w.partition(isolationTime, func(from, to *Host) bool {
			return (from == isolated) != (to == isolated) &&
				time.Duration(w.Now)%(400*time.Millisecond) < 350*time.Millisecond
		})
	}, true},
	// A refused connection counts as proof that the process has ended, so its lease to query the platform is granted to
	// another at once. If something else refuses the connection, two controllers hold that lease for its term.
	{connectionsRefused, func(w *World, isolated *Host) {
		w.partition(isolationTime, func(from, to *Host) bool { return (from == isolated) != (to == isolated) })
		w.keepRefusing(isolated, w.Now.Add(isolationTime))
	}, false},
	{"restarted while isolated", func(w *World, isolated *Host) {
		w.isolate(isolated, isolationTime)
		w.After(5*time.Second, func() { w.restart(isolated, 300*time.Millisecond, false) })
	}, false},
	{"restarted with other seeds", func(w *World, isolated *Host) {
		w.isolate(isolated, isolationTime)
		w.After(5*time.Second, func() {
			if isolated.Bootstrap != nil {
				isolated.Bootstrap.Seeds = []string{w.routerHosts[0].Addr, "nowhere", isolated.Addr}
			}
			w.restart(isolated, 300*time.Millisecond, false)
		})
	}, false},
}

// keepRefusing repeatedly notifies all other hosts that the isolated controller's address refuses connections.
func (w *World) keepRefusing(isolated *Host, until units.Time) {
	if w.Now >= until {
		return
	}
	for _, h := range w.Hosts {
		if h != isolated && h.Proc != nil && h.Proc.OnConnectionRefused != nil {
			h.Proc.OnConnectionRefused(w.Now, isolated.Addr)
		}
	}
	w.After(250*time.Millisecond, func() { w.keepRefusing(isolated, until) })
}

// submitWithTimeout calls a controller as an adapter does: it gets an answer within register.AnswerTimeout, and NoMajority at
// once from a controller that knows that it reaches no majority. It mirrors controller.Submit.
func (w *World) submitWithTimeout(controller *Controller, request register.Request, done func(register.Result)) {
	if !controller.Replica.ReachesMajority(w.Now) {
		done(register.Result{Code: resultcode.NoMajority})
		return
	}
	pending := true
	answer := func(r register.Result) {
		if pending {
			pending = false
			done(r)
		}
	}
	i := len(w.History)
	w.History = append(w.History, Op{Key: request.Key, Write: request.Write, CalledAt: w.Now,
		ExpectedVersion: request.ExpectedVersion, Data: string(request.Data), controllerAddr: controller.Host.Addr})
	controller.Submit(w.Sim, request, func(r register.Result) {
		op := &w.History[i]
		if op.Code, op.Version = r.Code, r.Version; pending {
			op.ReturnedAt = w.Now
		}
		if !request.Write {
			op.Data = string(r.Data)
		}
		if pending && request.Write && r.Code == resultcode.OK {
			w.acknowledged = append(w.acknowledged, acknowledgedConfig{r.Version, w.Now, string(request.Data)})
		}
		answer(r)
	})
	w.After(register.AnswerTimeout, func() { answer(register.Result{Code: request.TimeoutCode()}) })
}
