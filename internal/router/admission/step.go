package admission

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
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
				h.refused(now, r, capacity.ReasonNoReply, 0, &out)
			}
		case waiting:
			switch {
			case now.Add(r.FirstTokenTime) > r.Deadline:
				h.drop(r, &out)
				h.shed(r, resultcode.DeadlineUnreachable)
			case now.Sub(r.heard) >= lostAt:
				h.drop(r, &out)
				h.refused(now, r, capacity.ReasonNoReply, 0, &out)
			case now.Sub(r.sent) >= again:
				heard := r.heard
				h.ask(now, r, true, &out)
				r.heard = heard
			}
		case ghost:
			if now > r.Deadline.Add(grace) {
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
		out.Send(to, capacity.Release, capacity.Pack(capacity.Header{Tag: r.Tag}, r.worker))
	}
}

// refused takes a keeper's no, or its silence, and goes on to the next worker.
func (h *Queue) refused(now units.Time, r *Request, reason uint8, due time.Duration, out *message.Effects) {
	if r.why == 0 || reason == capacity.ReasonQueueFull || reason == capacity.ReasonTooLate && r.why != capacity.ReasonQueueFull {
		r.why = reason
	}
	if due > 0 && (r.due == 0 || due < r.due) {
		r.due = due
	}
	if r.stage == asking {
		if reason == capacity.ReasonBusy {
			o := option{name: r.worker, due: due}
			if !r.home(r.worker) {
				o.away = r.NonPreferredPenalty
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
		out.AddError(err)
		for _, x := range l {
			if h.reqs[x.Tag] == nil {
				out.Send(n.From, capacity.Release, capacity.Pack(capacity.Header{Tag: x.Tag}, name))
			}
		}
		return out
	}
	delete(h.mute, n.From)
	b, name, err := capacity.Unpack(n.Body)
	if err != nil {
		out.AddError(err)
		return out
	}
	if n.Kind == capacity.ReportRequest {
		h.report(now, n.From, name, &out)
		return out
	}
	if b.Capacity > 0 {
		h.Loads[name] = Load{InUse: int(b.InUse), Capacity: int(b.Capacity), Waiting: int(b.Wait), PrefillBacklog: time.Duration(b.PrefillTime) * time.Microsecond, UpdatedAt: now}
	}
	r := h.reqs[b.Tag]
	mine := r != nil && r.stage <= waiting && r.worker == name && r.keeper == n.From
	switch n.Kind {
	case capacity.Grant:
		h.granted(now, n.From, r, mine, b, name, &out)
	case capacity.Refusal:
		if mine {
			h.refused(now, r, b.Reason, units.Millis(b.TimeLeft).Duration(), &out)
		}
	case capacity.Queued:
		if mine {
			r.heard = now
			r.due = units.Millis(b.TimeLeft).Duration()
		}
	}
	return out
}

func (h *Queue) granted(now units.Time, from units.NodeID, r *Request, mine bool, b capacity.Header, name string, out *message.Effects) {
	if r != nil && r.stage >= held && r.worker == name {
		return // the same grant again
	}
	back := capacity.Pack(capacity.Header{Tag: b.Tag}, name)
	if k, ok := h.loyal[name]; !mine || ok && k != from {
		out.Send(from, capacity.Release, back)
		if mine {
			h.refused(now, r, capacity.ReasonNotCoordinator, 0, out)
		}
		return
	}
	if now.Add(r.FirstTokenTime) > r.Deadline {
		out.Send(from, capacity.Release, back)
		h.shed(r, resultcode.DeadlineUnreachable)
		return
	}
	h.enter(now, r)
}

// report tells a new keeper all that is held of a worker; from then on only its grants count (design 6).
func (h *Queue) report(now units.Time, from units.NodeID, name string, out *message.Effects) {
	h.loyal[name] = from
	var l []capacity.HeldPermit
	for _, r := range h.sorted() {
		if r.worker == name && r.stage >= held && r.keeper != 0 {
			l = append(l, capacity.HeldPermit{Tag: r.Tag, TimeLeft: uint32(units.ToMillis(r.Deadline.Sub(now))), MemoryTokens: r.MemoryTokens})
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

// Pending counts the prompts that are not in yet.
func (h *Queue) Pending() int {
	k := 0
	for _, r := range h.reqs {
		if r.stage <= waiting {
			k++
		}
	}
	return k
}

// ProcessResumed distrusts every permit after a freeze: what ran out is gone, and what waits asks anew (design 6).
func (h *Queue) ProcessResumed(now units.Time) {
	for _, r := range h.reqs {
		if r.stage <= waiting {
			r.sent = now.Add(-lostAt)
			r.heard = r.sent
		}
	}
}
