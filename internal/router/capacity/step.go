package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Step handles one message for the coordinator.
func (g *Ledger) Step(now units.Time, msg message.Message) (out message.Effects) {
	if msg.Kind == Report {
		name, held, sent, err := UnpackReport(msg.Body)
		out.AddError(err)
		if state := g.coordinated[name]; err == nil && state != nil && (!state.open || state.lateRouters[msg.From]) {
			for _, h := range held {
				if p := (permitKey{msg.From, h.Tag}); state.granted[p] == nil {
					state.granted[p] = &permit{expiresAt: now.Add(units.Millis(h.TimeLeft).Duration() + runGrace), grantedAt: now,
						memoryTokens: h.MemoryTokens}
					state.memoryTokens += int(h.MemoryTokens)
				}
			}
			for range sent {
				state.recentGrants = append(state.recentGrants, now)
			}
			delete(state.awaitingReports, msg.From)
			if delete(state.lateRouters, msg.From); state.open {
				return out
			}
			g.collectReports(now, name, state, &out)
		}
		return out
	}
	h, name, err := Unpack(msg.Body)
	if err != nil {
		out.AddError(err)
		return out
	}
	state := g.coordinated[name]
	if state == nil {
		if msg.Kind == Acquire {
			out.Send(msg.From, Refusal, Pack(Header{Tag: h.Tag, Reason: ReasonNotCoordinator}, name))
		}
		return out
	}
	switch msg.Kind {
	case ReportRequest:
		if msg.From != g.self {
			g.assignmentsStale = true
			if !slices.ContainsFunc(g.routers, func(v Peer) bool { return v.Node == msg.From }) {
				g.unlistedRouters[msg.From] = now
			}
			// Another router has taken the worker over. If the membership views differ, this router takes it over again.
			g.stopCoordinating(name, state, &out)
		}
	case Acquire:
		g.handleAcquire(now, msg.From, name, state, h, &out)
	case Release:
		if l := state.granted[permitKey{msg.From, h.Tag}]; l != nil && h.PrefillTime > 0 {
			state.learnSlowdown(l.prefillTime, time.Duration(h.PrefillTime)*time.Microsecond)
		}
		g.handleRelease(now, name, state, permitKey{msg.From, h.Tag}, h.Wait == 1, &out)
	}
	return out
}

// addState fills in the worker's current state for a reply.
func (g *Ledger) addState(now units.Time, name string, state *workerState, h Header) Header {
	h.InUse, h.Capacity = uint16(len(state.granted)), uint16(g.Capacity(now, name))
	h.Wait = uint8(min(255, len(state.waitlist)))
	h.ReleaseInterval = uint16(min(state.meanReleaseInterval(max(1, int(h.Capacity)))/time.Millisecond, 65535))
	state.advancePrefill(now)
	h.PrefillTime = uint32(min(state.prefillBacklog(len(state.prefillQueue))/time.Microsecond, 1<<32-1))
	return h
}

// meanReleaseInterval returns the mean time between two releases.
func (s *workerState) meanReleaseInterval(capacity int) time.Duration {
	if s.releaseInterval == 0 {
		return s.meanHoldTime / time.Duration(capacity)
	}
	return s.releaseInterval
}

// handleAcquire grants, queues or refuses a request. A repeated request gets its current state again.
func (g *Ledger) handleAcquire(now units.Time, from units.NodeID, name string, state *workerState, header Header,
	out *message.Effects) {
	key := permitKey{from, header.Tag}
	if state.granted[key] != nil {
		out.Send(from, Grant, Pack(g.addState(now, name, state, Header{Tag: header.Tag}), name))
		return
	}
	if header.Reason == ReasonNotCoordinator && state.open {
		g.restartCollection(now, name, state, out)
	}
	timeLeft := units.Millis(header.TimeLeft).Duration()
	interval := state.meanReleaseInterval(max(1, g.Capacity(now, name)))
	for i, a := range state.waitlist {
		if a.permitKey == key {
			out.Send(from, Queued, Pack(g.addState(now, name, state, Header{Tag: header.Tag,
				TimeLeft: uint32(units.ToMillis(interval * time.Duration(i+1)))}), name))
			return
		}
	}
	reply := Header{Tag: header.Tag}
	capacity := g.Capacity(now, name)
	if capacity == 0 {
		reply.Reason = ReasonClosed
		out.Send(from, Refusal, Pack(g.addState(now, name, state, reply), name))
		return
	}
	worker := g.workers[name]
	request := acquireRequest{permitKey: key, deadline: now.Add(timeLeft), worth: header.Worth,
		prefillTime: time.Duration(header.PrefillTime) * time.Microsecond, priority: header.Priority,
		memoryTokens: header.MemoryTokens, queuedAt: now}
	firstToken, rateDelay := state.firstTokenTime(now, request), state.rateDelay(now, g.maxRate(now, worker))
	tooSlow := header.Wait == 0 && header.MaxFirstTokenTime > 0 && firstToken > units.Millis(header.MaxFirstTokenTime).Duration()
	if state.open && len(state.granted) < capacity && len(state.waitlist) == 0 && !tooSlow && rateDelay == 0 &&
		state.hasMemoryFor(worker, request.memoryTokens) {
		g.grant(now, name, state, request, out)
		return
	}
	position, displaced := g.findPosition(now, name, state, request)
	expectedWait := interval * time.Duration(position+1)
	if len(state.granted)+position < capacity {
		expectedWait = max(rateDelay, firstToken) // a slot is free: it waits only for reports, the rate limit or prefill
	}
	if !state.open && !worker.QuickTakeover {
		expectedWait = max(expectedWait, state.unreachableDeadline().Sub(now))
	}
	reply.TimeLeft = uint32(units.ToMillis(expectedWait))
	switch {
	case len(state.waitlist)-len(displaced) >= worker.MaxWaiting:
		reply.Reason = ReasonQueueFull
	case expectedWait+worker.FirstTokenTime > timeLeft:
		reply.Reason = ReasonTooLate
	case header.Wait == 0:
		reply.Reason = ReasonBusy
	}
	if reply.Reason != 0 {
		out.Send(from, Refusal, Pack(g.addState(now, name, state, reply), name))
		return
	}
	for _, a := range displaced {
		state.waitlist = slices.DeleteFunc(state.waitlist, func(b acquireRequest) bool { return a.permitKey == b.permitKey })
		out.Send(a.node, Refusal, Pack(g.addState(now, name, state, Header{Tag: a.tag, Reason: ReasonQueueFull}), name))
	}
	state.waitlist = slices.Insert(state.waitlist, position, request)
	out.Send(from, Queued, Pack(g.addState(now, name, state, reply), name))
}

func (g *Ledger) grant(now units.Time, name string, state *workerState, request acquireRequest, out *message.Effects) {
	state.granted[request.permitKey] = &permit{expiresAt: request.deadline.Add(runGrace), grantedAt: now,
		memoryTokens: request.memoryTokens, prefillTime: request.prefillTime}
	if state.advancePrefill(now); len(state.prefillQueue) > 0 {
		state.granted[request.permitKey].prefillTime = 0 // behind others, its time to first token doesn't show the worker's speed
	}
	state.recordGrant(now, g.workers[name], request)
	state.waitSum += now.Sub(request.queuedAt)
	state.waitCount++
	out.Send(request.node, Grant, Pack(g.addState(now, name, state, Header{Tag: request.tag}), name))
}

// serveWaitlist grants free slots to the waiting requests, earliest deadline first. A request anywhere in the waitlist that
// can no longer meet its deadline is refused at once, so that it can go elsewhere while there is time.
func (g *Ledger) serveWaitlist(now units.Time, name string, state *workerState, out *message.Effects) {
	worker := g.workers[name]
	capacity := g.Capacity(now, name)
	for capacity > 0 && state.open && len(state.waitlist) > 0 && len(state.granted) < capacity {
		a := state.waitlist[0]
		if a.deadline < now.Add(worker.FirstTokenTime) || state.rateDelay(now, g.maxRate(now, worker)) > 0 ||
			!state.hasMemoryFor(worker, a.memoryTokens) {
			break
		}
		state.waitlist = state.waitlist[1:]
		g.grant(now, name, state, a, out)
	}
	interval, remaining := state.meanReleaseInterval(max(1, capacity)), state.waitlist[:0:0]
	refuse := func(a acquireRequest, reason uint8, expectedWait time.Duration) {
		out.Send(a.node, Refusal, Pack(g.addState(now, name, state, Header{Tag: a.tag, Reason: reason,
			TimeLeft: uint32(units.ToMillis(expectedWait))}), name))
	}
	for _, a := range state.waitlist {
		tooLate := func() bool {
			return len(remaining) > 0 && a.deadline < now.Add(interval*time.Duration(len(remaining)+1)+worker.FirstTokenTime)
		}
		if capacity == 0 {
			refuse(a, ReasonClosed, 0)
			continue
		}
		for tooLate() {
			i := lowestWorth(remaining, a.worth, len(remaining))
			if i < 0 {
				break
			}
			refuse(remaining[i], ReasonTooLate, interval*time.Duration(len(remaining)+1))
			remaining = slices.Delete(remaining, i, i+1)
		}
		if a.deadline < now.Add(worker.FirstTokenTime) || tooLate() {
			refuse(a, ReasonTooLate, interval*time.Duration(len(remaining)+1))
			continue
		}
		remaining = append(remaining, a)
	}
	state.waitlist = remaining
}

func (g *Ledger) handleRelease(now units.Time, name string, state *workerState, key permitKey, uncertain bool,
	out *message.Effects) {
	state.waitlist = slices.DeleteFunc(state.waitlist, func(a acquireRequest) bool { return a.permitKey == key })
	released := state.granted[key]
	if released == nil || uncertain {
		return // an uncertain run keeps its slot until its own deadline
	}
	state.removePermit(key)
	state.meanHoldTime = ewma(state.meanHoldTime, now.Sub(released.grantedAt))
	if busy := len(state.waitlist) > 0; busy && state.lastReleaseAt != 0 {
		state.releaseInterval = ewma(state.releaseInterval, min(now.Sub(state.lastReleaseAt), 5*time.Second))
	}
	state.lastReleaseAt = now
	if state.open {
		g.serveWaitlist(now, name, state, out)
	}
}

// removePermit removes a permit and frees its memory.
func (s *workerState) removePermit(p permitKey) {
	if removed := s.granted[p]; removed != nil {
		s.memoryTokens -= int(removed.memoryTokens)
		delete(s.granted, p)
	}
}

func ewma(old, x time.Duration) time.Duration {
	if old == 0 {
		return x
	}
	return (7*old + x) / 8
}
