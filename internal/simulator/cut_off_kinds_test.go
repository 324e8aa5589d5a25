package simulator

import (
	"slices"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

const refused = "connections refused"

// cutKinds are the ways in which one controller is parted from the others for a span. Kinds that leave it a majority's
// answers are marked: it may go on acknowledging.
var cutKinds = []struct {
	name   string
	part   func(w *World, cut *Host)
	passes bool
}{
	{"both ways", func(w *World, cut *Host) { w.dark(cut, cutSpan) }, false},
	{"nothing leaves it", func(w *World, cut *Host) {
		w.cut(cutSpan, func(from, to *Host) bool { return from == cut && to != cut })
	}, false},
	{"nothing reaches it", func(w *World, cut *Host) {
		w.cut(cutSpan, func(from, to *Host) bool { return to == cut && from != cut })
	}, false},
	{"from the other controllers", func(w *World, cut *Host) {
		w.cut(cutSpan, func(from, to *Host) bool {
			return from != to && from.Disk != nil && to.Disk != nil && (from == cut || to == cut)
		})
	}, false},
	{"from one other controller", func(w *World, cut *Host) {
		other := w.coreH[(slices.Index(w.coreH, cut)+1)%len(w.coreH)]
		w.cut(cutSpan, func(from, to *Host) bool { return from == cut && to == other || from == other && to == cut })
	}, true},
	{"connections reset again and again", func(w *World, cut *Host) {
		w.cut(cutSpan, func(from, to *Host) bool {
			return (from == cut) != (to == cut) && time.Duration(w.Now)%(400*time.Millisecond) < 350*time.Millisecond
		})
	}, true},
	// A refusal is taken for a proof that the process has ended, so its lease for asking the platform is given away at once:
	// where something else refuses in its place, two hold that lease for its term.
	{refused, func(w *World, cut *Host) {
		w.cut(cutSpan, func(from, to *Host) bool { return (from == cut) != (to == cut) })
		w.refuseAgain(cut, w.Now.Add(cutSpan))
	}, false},
	{"restarted while cut off", func(w *World, cut *Host) {
		w.dark(cut, cutSpan)
		w.After(5*time.Second, func() { w.bounce(cut, 300*time.Millisecond, false) })
	}, false},
	{"restarted with other seeds", func(w *World, cut *Host) {
		w.dark(cut, cutSpan)
		w.After(5*time.Second, func() {
			if cut.Bootstrap != nil {
				cut.Bootstrap.Seeds = []string{w.edgeH[0].Addr, "nowhere", cut.Addr}
			}
			w.bounce(cut, 300*time.Millisecond, false)
		})
	}, false},
}

// refuseAgain has every other machine told again and again that nobody listens at an address.
func (w *World) refuseAgain(cut *Host, until units.Time) {
	if w.Now >= until {
		return
	}
	for _, h := range w.Hosts {
		if h != cut && h.Proc != nil && h.Proc.OnConnectionRefused != nil {
			h.Proc.OnConnectionRefused(w.Now, cut.Addr)
		}
	}
	w.After(250*time.Millisecond, func() { w.refuseAgain(cut, until) })
}

// order calls a controller as an adapter's caller does: an answer within register.AnswerTimeout, NoMajority at once from
// a controller that knows that it does not reach one. It mirrors controller.Submit.
func (w *World) order(c *Controller, a register.Request, answered func(register.Result)) {
	if !c.Replica.ReachesMajority(w.Now) {
		answered(register.Result{Code: resultcode.NoMajority})
		return
	}
	open := true
	answer := func(r register.Result) {
		if open {
			open = false
			answered(r)
		}
	}
	i := len(w.History)
	w.History = append(w.History, Op{Key: a.Key, Write: a.Write, CalledAt: w.Now, ExpectedVersion: a.ExpectedVersion, Data: string(a.Data), at: c.Host.Addr})
	c.Submit(w.Sim, a, func(r register.Result) {
		o := &w.History[i]
		if o.Code, o.Version = r.Code, r.Version; open {
			o.ReturnedAt = w.Now
		}
		if !a.Write {
			o.Data = string(r.Data)
		}
		if open && a.Write && r.Code == resultcode.OK {
			w.acked = append(w.acked, ackedConfig{r.Version, w.Now, string(a.Data)})
		}
		answer(r)
	})
	w.After(register.AnswerTimeout, func() { answer(register.Result{Code: a.TimeoutCode()}) })
}
