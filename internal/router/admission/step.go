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
func (q *Queue) Tick(now units.Time) (out message.Effects) {
	for _, r := range q.requestsByTag() {
		switch r.stage {
		case stageAcquiring:
			if now.Sub(r.sentAt) >= replyTimeout {
				q.sendRelease(r, &out)
				q.unresponsive[r.coordinator] = now.Add(unresponsiveFor)
				q.handleRefusal(now, r, capacity.ReasonNoReply, 0, &out)
			}
		case stageWaiting:
			switch {
			case now.Add(r.FirstTokenTime) > r.Deadline:
				q.sendRelease(r, &out)
				q.refuse(r, resultcode.DeadlineUnreachable)
			case now.Sub(r.lastReplyAt) >= coordinatorTimeout:
				q.sendRelease(r, &out)
				q.handleRefusal(now, r, capacity.ReasonNoReply, 0, &out)
			case now.Sub(r.sentAt) >= acquireRepeat:
				lastReplyAt := r.lastReplyAt
				q.sendAcquire(now, r, true, &out)
				r.lastReplyAt = lastReplyAt
			}
		case stageUncertain:
			if now > r.Deadline.Add(expiryGrace) {
				q.sendRelease(r, &out)
				delete(q.requests, r.Tag)
			}
		}
	}
	return out
}

func (q *Queue) requestsByTag() []*Request {
	requests := make([]*Request, 0, len(q.requests))
	for _, r := range q.requests {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b *Request) int {
		if a.Tag < b.Tag {
			return -1
		}
		return 1
	})
	return requests
}

// sendRelease withdraws an acquire request, so that no late grant keeps a slot taken, or releases the slot of an uncertain
// run.
func (q *Queue) sendRelease(r *Request, out *message.Effects) {
	to := r.coordinator
	if r.stage == stageUncertain {
		to = q.currentCoordinator(r)
	}
	if to != 0 {
		out.Send(to, capacity.Release, capacity.Pack(capacity.Header{Tag: r.Tag}, r.worker))
	}
}

// handleRefusal records a coordinator's refusal or missing reply, and tries the next worker. A full queue is the reason that
// is kept for the client, then a deadline that can't be met.
func (q *Queue) handleRefusal(now units.Time, r *Request, reason uint8, expectedWait time.Duration, out *message.Effects) {
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
		q.admitWithPermit(now, r, out)
		return
	}
	q.joinWaitlist(now, r, out)
}

// Step handles one message from a coordinator.
func (q *Queue) Step(now units.Time, msg message.Message) (out message.Effects) {
	if msg.Kind == capacity.Audit {
		name, permits, _, err := capacity.UnpackReport(msg.Body)
		out.AddError(err)
		for _, x := range permits {
			if q.requests[x.Tag] == nil {
				out.Send(msg.From, capacity.Release, capacity.Pack(capacity.Header{Tag: x.Tag}, name))
			}
		}
		return out
	}
	delete(q.unresponsive, msg.From)
	header, name, err := capacity.Unpack(msg.Body)
	if err != nil {
		out.AddError(err)
		return out
	}
	if msg.Kind == capacity.ReportRequest {
		q.sendReport(now, msg.From, name, &out)
		return out
	}
	if header.Capacity > 0 {
		q.Loads[name] = Load{InUse: int(header.InUse), Capacity: int(header.Capacity), Waiting: int(header.Wait),
			PrefillBacklog: time.Duration(header.PrefillTime) * time.Microsecond, UpdatedAt: now}
	}
	r := q.requests[header.Tag]
	current := r != nil && r.stage <= stageWaiting && r.worker == name && r.coordinator == msg.From
	switch msg.Kind {
	case capacity.Grant:
		q.handleGrant(now, msg.From, r, current, header, name, &out)
	case capacity.Refusal:
		if current {
			q.handleRefusal(now, r, header.Reason, units.Millis(header.TimeLeft).Duration(), &out)
		}
	case capacity.Queued:
		if current {
			r.lastReplyAt = now
			r.shortestWait = units.Millis(header.TimeLeft).Duration()
		}
	}
	return out
}

func (q *Queue) handleGrant(now units.Time, from units.NodeID, r *Request, current bool, header capacity.Header,
	name string, out *message.Effects) {
	if r != nil && r.stage >= stageHeld && r.worker == name {
		return // a repeated grant
	}
	release := capacity.Pack(capacity.Header{Tag: header.Tag}, name)
	if reported, ok := q.reportedTo[name]; !current || ok && reported != from {
		out.Send(from, capacity.Release, release)
		if current {
			q.handleRefusal(now, r, capacity.ReasonNotCoordinator, 0, out)
		}
		return
	}
	if now.Add(r.FirstTokenTime) > r.Deadline {
		out.Send(from, capacity.Release, release)
		q.refuse(r, resultcode.DeadlineUnreachable)
		return
	}
	q.admit(now, r)
}

// sendReport reports all permits held for a worker to its new coordinator. From then on only that coordinator's grants are
// accepted (docs/design.md, section 6).
func (q *Queue) sendReport(now units.Time, from units.NodeID, name string, out *message.Effects) {
	q.reportedTo[name] = from
	var permits []capacity.HeldPermit
	for _, r := range q.requestsByTag() {
		if r.worker == name && r.stage >= stageHeld && r.coordinator != 0 {
			permits = append(permits, capacity.HeldPermit{Tag: r.Tag, TimeLeft: uint32(units.ToMillis(r.Deadline.Sub(now))),
				MemoryTokens: r.MemoryTokens})
		}
	}
	out.Send(from, capacity.Report, capacity.PackReport(name, permits, len(q.sentLastSecond(now, name))))
}

// sentLastSecond returns the times of the requests that went to a worker in the last second.
func (q *Queue) sentLastSecond(now units.Time, name string) []units.Time {
	times := q.recentlySent[name]
	for len(times) > 0 && now.Sub(times[0]) > time.Second {
		times = times[1:]
	}
	q.recentlySent[name] = times
	return times
}

// Pending returns the number of requests that are neither admitted nor refused yet.
func (q *Queue) Pending() int {
	count := 0
	for _, r := range q.requests {
		if r.stage <= stageWaiting {
			count++
		}
	}
	return count
}

// ProcessResumed is called after the process was paused: messages may have been missed, so the next Tick leaves the
// coordinators of all waiting requests and sends new requests (docs/design.md, section 6).
func (q *Queue) ProcessResumed(now units.Time) {
	for _, r := range q.requests {
		if r.stage <= stageWaiting {
			r.sentAt = now.Add(-coordinatorTimeout)
			r.lastReplyAt = r.sentAt
		}
	}
}
