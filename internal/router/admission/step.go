package admission

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Tick refuses requests that can't meet their deadline any more, skips coordinators that don't reply, and releases the slots
// of uncertain runs whose time is over.
func (h *Queue) Tick(now units.Time) (out message.Effects) {
	for _, r := range h.requestsByTag() {
		switch r.stage {
		case stageAcquiring:
			if now.Sub(r.sentAt) >= replyTimeout {
				h.sendRelease(r, &out)
				h.unresponsive[r.coordinator] = now.Add(unresponsiveFor)
				h.handleRefusal(now, r, capacity.ReasonNoReply, 0, &out)
			}
		case stageWaiting:
			switch {
			case now.Add(r.FirstTokenTime) > r.Deadline:
				h.sendRelease(r, &out)
				h.refuse(r, resultcode.DeadlineUnreachable)
			case now.Sub(r.heardAt) >= coordinatorTimeout:
				h.sendRelease(r, &out)
				h.handleRefusal(now, r, capacity.ReasonNoReply, 0, &out)
			case now.Sub(r.sentAt) >= acquireRepeat:
				heard := r.heardAt
				h.sendAcquire(now, r, true, &out)
				r.heardAt = heard
			}
		case stageUncertain:
			if now > r.Deadline.Add(expiryGrace) {
				h.sendRelease(r, &out)
				delete(h.requests, r.Tag)
			}
		}
	}
	return out
}

func (h *Queue) requestsByTag() []*Request {
	l := make([]*Request, 0, len(h.requests))
	for _, r := range h.requests {
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

// sendRelease withdraws an acquire request, so that no late grant keeps a slot taken, or releases the slot of an uncertain
// run.
func (h *Queue) sendRelease(r *Request, out *message.Effects) {
	to := r.coordinator
	if r.stage == stageUncertain {
		to = h.currentCoordinator(r)
	}
	if to != 0 {
		out.Send(to, capacity.Release, capacity.Pack(capacity.Header{Tag: r.Tag}, r.worker))
	}
}

// handleRefusal records a coordinator's refusal or missing reply, and tries the next worker. A full queue is the reason that
// is kept for the client, then a deadline that can't be met.
func (h *Queue) handleRefusal(now units.Time, r *Request, reason uint8, expectedWait time.Duration, out *message.Effects) {
	if r.refusalReason == 0 || reason == capacity.ReasonQueueFull ||
		reason == capacity.ReasonTooLate && r.refusalReason != capacity.ReasonQueueFull {
		r.refusalReason = reason
	}
	if expectedWait > 0 && (r.shortestWait == 0 || expectedWait < r.shortestWait) {
		r.shortestWait = expectedWait
	}
	if r.stage == stageAcquiring {
		if reason == capacity.ReasonBusy {
			option := waitOption{worker: r.worker, expectedWait: expectedWait}
			if !r.isPreferred(r.worker) {
				option.penalty = r.NonPreferredPenalty
			}
			r.waitOptions = append(r.waitOptions, option)
		}
		h.admitWithPermit(now, r, out)
		return
	}
	h.joinWaitlist(now, r, out)
}

// Step handles one message from a coordinator.
func (h *Queue) Step(now units.Time, n message.Message) (out message.Effects) {
	if n.Kind == capacity.Audit {
		name, permits, _, err := capacity.UnpackReport(n.Body)
		out.AddError(err)
		for _, x := range permits {
			if h.requests[x.Tag] == nil {
				out.Send(n.From, capacity.Release, capacity.Pack(capacity.Header{Tag: x.Tag}, name))
			}
		}
		return out
	}
	delete(h.unresponsive, n.From)
	header, name, err := capacity.Unpack(n.Body)
	if err != nil {
		out.AddError(err)
		return out
	}
	if n.Kind == capacity.ReportRequest {
		h.sendReport(now, n.From, name, &out)
		return out
	}
	if header.Capacity > 0 {
		h.Loads[name] = Load{InUse: int(header.InUse), Capacity: int(header.Capacity), Waiting: int(header.Wait),
			PrefillBacklog: time.Duration(header.PrefillTime) * time.Microsecond, UpdatedAt: now}
	}
	r := h.requests[header.Tag]
	current := r != nil && r.stage <= stageWaiting && r.worker == name && r.coordinator == n.From
	switch n.Kind {
	case capacity.Grant:
		h.handleGrant(now, n.From, r, current, header, name, &out)
	case capacity.Refusal:
		if current {
			h.handleRefusal(now, r, header.Reason, units.Millis(header.TimeLeft).Duration(), &out)
		}
	case capacity.Queued:
		if current {
			r.heardAt = now
			r.shortestWait = units.Millis(header.TimeLeft).Duration()
		}
	}
	return out
}

func (h *Queue) handleGrant(now units.Time, from units.NodeID, r *Request, current bool, header capacity.Header,
	name string, out *message.Effects) {
	if r != nil && r.stage >= stageHeld && r.worker == name {
		return // a repeated grant
	}
	release := capacity.Pack(capacity.Header{Tag: header.Tag}, name)
	if k, ok := h.reportedTo[name]; !current || ok && k != from {
		out.Send(from, capacity.Release, release)
		if current {
			h.handleRefusal(now, r, capacity.ReasonNotCoordinator, 0, out)
		}
		return
	}
	if now.Add(r.FirstTokenTime) > r.Deadline {
		out.Send(from, capacity.Release, release)
		h.refuse(r, resultcode.DeadlineUnreachable)
		return
	}
	h.admit(now, r)
}

// sendReport reports all permits held for a worker to its new coordinator. From then on only that coordinator's grants are
// accepted (docs/design.md, section 6).
func (h *Queue) sendReport(now units.Time, from units.NodeID, name string, out *message.Effects) {
	h.reportedTo[name] = from
	var permits []capacity.HeldPermit
	for _, r := range h.requestsByTag() {
		if r.worker == name && r.stage >= stageHeld && r.coordinator != 0 {
			permits = append(permits, capacity.HeldPermit{Tag: r.Tag, TimeLeft: uint32(units.ToMillis(r.Deadline.Sub(now))),
				MemoryTokens: r.MemoryTokens})
		}
	}
	out.Send(from, capacity.Report, capacity.PackReport(name, permits, len(h.sentLastSecond(now, name))))
}

// sentLastSecond returns the times of the requests that went to a worker in the last second.
func (h *Queue) sentLastSecond(now units.Time, name string) []units.Time {
	l := h.recentlySent[name]
	for len(l) > 0 && now.Sub(l[0]) > time.Second {
		l = l[1:]
	}
	h.recentlySent[name] = l
	return l
}

// Pending returns the number of requests that are neither admitted nor refused yet.
func (h *Queue) Pending() int {
	count := 0
	for _, r := range h.requests {
		if r.stage <= stageWaiting {
			count++
		}
	}
	return count
}

// ProcessResumed is called after the process was paused: messages may have been missed, so the next Tick gives up the
// coordinators of all waiting requests and asks anew (docs/design.md, section 6).
func (h *Queue) ProcessResumed(now units.Time) {
	for _, r := range h.requests {
		if r.stage <= stageWaiting {
			r.sentAt = now.Add(-coordinatorTimeout)
			r.heardAt = r.sentAt
		}
	}
}
