package admission

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/codes"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Tick gives up what can't be met any more, and passes over keepers that say nothing.
func (h *Queue) Tick(now units.Time) (out message.Effects) {
	for _, r := range h.sorted() {
		switch r.stage {
		case asking:
			if now.Sub(r.sent) >= silent {
				h.drop(r, &out)
				h.mute[r.keeper] = now.Add(muteFor)
				h.refused(now, r, capacity.Silent, 0, &out)
			}
		case waiting:
			switch {
			case now.Add(r.First) > r.Until:
				h.drop(r, &out)
				h.shed(r, codes.WaitLate)
			case now.Sub(r.heard) >= lostAt:
				h.drop(r, &out)
				h.refused(now, r, capacity.Silent, 0, &out)
			case now.Sub(r.sent) >= again:
				heard := r.heard
				h.ask(now, r, true, &out)
				r.heard = heard
			}
		case ghost:
			if now > r.Until.Add(grace) {
				h.drop(r, &out)
				delete(h.reqs, r.Tag)
			}
		}
	}
	return out
}

func (h *Queue) sorted() []*Request {
	l := make([]*Request, 0, len(h.reqs))
	for _, r := range h.reqs {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *Request) int {
		if a.Tag < b.Tag {
			return -1
		}
		return 1
	})
	return l
}

// drop voids an ask, so that a late grant has nobody, or gives a ghost's slot back.
func (h *Queue) drop(r *Request, out *message.Effects) {
	to := r.keeper
	if r.stage == ghost {
		to = h.keeper(r)
	}
	if to != 0 {
		out.Send(to, capacity.Return, capacity.Pack(capacity.Head{Tag: r.Tag}, r.worker))
	}
}

// refused takes a keeper's no, or its silence, and goes on to the next worker.
func (h *Queue) refused(now units.Time, r *Request, reason uint8, due time.Duration, out *message.Effects) {
	if r.why == 0 || reason == capacity.Full || reason == capacity.Late && r.why != capacity.Full {
		r.why = reason
	}
	if due > 0 && (r.due == 0 || due < r.due) {
		r.due = due
	}
	if r.stage == asking {
		if reason == capacity.Busy {
			o := option{name: r.worker, due: due}
			if !r.home(r.worker) {
				o.away = r.Away
			}
			r.opts = append(r.opts, o)
		}
		h.knee(now, r, out)
		return
	}
	h.queue(now, r, out)
}

// Step takes one note for the node that asks.
func (h *Queue) Step(now units.Time, n message.Message) (out message.Effects) {
	if n.Kind == capacity.Audit {
		name, l, _, err := capacity.UnpackReport(n.Body)
		out.Fail(err)
		for _, x := range l {
			if h.reqs[x.Tag] == nil {
				out.Send(n.From, capacity.Return, capacity.Pack(capacity.Head{Tag: x.Tag}, name))
			}
		}
		return out
	}
	delete(h.mute, n.From)
	b, name, err := capacity.Unpack(n.Body)
	if err != nil {
		out.Fail(err)
		return out
	}
	if n.Kind == capacity.ReportAsk {
		h.report(now, n.From, name, &out)
		return out
	}
	if b.Cap > 0 {
		h.Loads[name] = Load{Lent: int(b.Lent), Cap: int(b.Cap), Wait: int(b.Wait), Reads: time.Duration(b.Read) * time.Microsecond, At: now}
	}
	r := h.reqs[b.Tag]
	mine := r != nil && r.stage <= waiting && r.worker == name && r.keeper == n.From
	switch n.Kind {
	case capacity.Grant:
		h.granted(now, n.From, r, mine, b, name, &out)
	case capacity.No:
		if mine {
			h.refused(now, r, b.Reason, units.Millis(b.Left).Span(), &out)
		}
	case capacity.Waiting:
		if mine {
			r.heard = now
			r.due = units.Millis(b.Left).Span()
		}
	}
	return out
}

func (h *Queue) granted(now units.Time, from units.Node, r *Request, mine bool, b capacity.Head, name string, out *message.Effects) {
	if r != nil && r.stage >= held && r.worker == name {
		return // the same grant again
	}
	back := capacity.Pack(capacity.Head{Tag: b.Tag}, name)
	if k, ok := h.loyal[name]; !mine || ok && k != from {
		out.Send(from, capacity.Return, back)
		if mine {
			h.refused(now, r, capacity.NotKeeper, 0, out)
		}
		return
	}
	if now.Add(r.First) > r.Until {
		out.Send(from, capacity.Return, back)
		h.shed(r, codes.WaitLate)
		return
	}
	h.enter(now, r)
}

// report tells a new keeper all that is held of a worker; from then on only its grants count (design 6).
func (h *Queue) report(now units.Time, from units.Node, name string, out *message.Effects) {
	h.loyal[name] = from
	var l []capacity.Held
	for _, r := range h.sorted() {
		if r.worker == name && r.stage >= held && r.keeper != 0 {
			l = append(l, capacity.Held{Tag: r.Tag, Left: uint32(units.ToMillis(r.Until.Sub(now))), Mem: r.Mem})
		}
	}
	out.Send(from, capacity.Report, capacity.PackReport(name, l, len(h.lately(now, name))))
}

// lately lists what went to a worker in the last second.
func (h *Queue) lately(now units.Time, name string) []units.Time {
	l := h.sent[name]
	for len(l) > 0 && now.Sub(l[0]) > time.Second {
		l = l[1:]
	}
	h.sent[name] = l
	return l
}

// Waiting counts the prompts that are not in yet.
func (h *Queue) Waiting() int {
	k := 0
	for _, r := range h.reqs {
		if r.stage <= waiting {
			k++
		}
	}
	return k
}

// Woke distrusts every permit after a freeze: what ran out is gone, and what waits asks anew (design 6).
func (h *Queue) Woke(now units.Time) {
	for _, r := range h.reqs {
		if r.stage <= waiting {
			r.sent = now.Add(-lostAt)
			r.heard = r.sent
		}
	}
}
