// Package admission is admission on the node that took the prompt (design 6): in, wait, or refused at once.
package admission

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/codes"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Policies by name. Knee is the paper's: a cap, a bounded waitlist by deadline, early shedding. Open is none,
// for comparisons.
var Policies = map[string]func(*Queue, units.Time, *Request, *message.Effects){
	"knee": (*Queue).admitWithPermit,
	"open": (*Queue).admitAll,
}

// Spans (start values).
const (
	replyTimeout        = 150 * time.Millisecond // a keeper that says nothing for so long is passed over
	acquireRepeat       = 300 * time.Millisecond // a waiting prompt's ask is repeated
	coordinatorTimeout  = 900 * time.Millisecond // a waiting prompt's keeper that says nothing for so long is given up
	expiryGrace         = 500 * time.Millisecond
	disconnectDetection = 300 * time.Millisecond // a worker notices a broken wire within this
	unresponsiveFor     = time.Second            // a keeper that said nothing is asked last for so long
	maxWaitlists        = 3                      // how many waitlists one prompt may try
)

// Decision is what becomes of a prompt.
type Decision struct {
	Tag          uint64
	Worker       string // set when it goes in
	Code         codes.Code
	ExpectedWait time.Duration // when refused: how long the shortest waitlist seen would take
}

// Load is what was last heard of a worker.
type Load struct {
	InUse, Capacity, Waiting int
	PrefillBacklog           time.Duration // how long it still reads what it was sent
	UpdatedAt                units.Time
}

// Queue is the step machine.
type Queue struct {
	self         units.Node
	requests     map[uint64]*Request
	InFlight     map[string]int // this node's own prompts in flight, per worker
	reportedTo   map[string]units.Node
	unresponsive map[units.Node]units.Time // keepers that said nothing, till when they are asked last
	recentlySent map[string][]units.Time   // what went to a worker in the last second
	Loads        map[string]Load
	Decisions    []Decision
}

// New gives an empty one.
func New(self units.Node) *Queue {
	return &Queue{self: self, requests: map[uint64]*Request{}, InFlight: map[string]int{}, reportedTo: map[string]units.Node{}, unresponsive: map[units.Node]units.Time{}, recentlySent: map[string][]units.Time{}, Loads: map[string]Load{}}
}

// Submit takes a prompt in at the door.
func (h *Queue) Submit(now units.Time, r Request) (out message.Effects) {
	h.requests[r.Tag] = &r
	Policies[r.Policy](h, now, &r, &out)
	return out
}

// admitAll lets everything in at the first worker.
func (h *Queue) admitAll(now units.Time, r *Request, out *message.Effects) {
	if len(r.Candidates) == 0 {
		h.refuse(r, codes.NoWorker)
		return
	}
	r.worker = r.Candidates[0]
	h.admit(now, r)
}

// admitWithPermit asks the candidates' keepers for a free slot in turn, then waits where the wait is shortest.
func (h *Queue) admitWithPermit(now units.Time, r *Request, out *message.Effects) {
	for r.nextCandidate < len(r.Candidates) && r.nextCandidate < r.MaxCandidates {
		r.worker = r.Candidates[r.nextCandidate]
		r.nextCandidate++
		r.coordinator = r.Coordinator(r.worker)
		if now < h.unresponsive[r.coordinator] && r.nextCandidate < len(r.Candidates) {
			r.MaxCandidates++ // the next one is asked in its place
			continue
		}
		if r.coordinator != 0 {
			h.sendAcquire(now, r, false, out)
			return
		}
	}
	h.joinWaitlist(now, r, out)
}

// joinWaitlist joins the waitlist with the shortest expected wait that still leaves time for an answer.
func (h *Queue) joinWaitlist(now units.Time, r *Request, out *message.Effects) {
	best := -1
	for i, option := range r.waitOptions {
		if best < 0 || option.expectedWait+option.penalty < r.waitOptions[best].expectedWait+r.waitOptions[best].penalty {
			best = i
		}
	}
	if best < 0 || r.waitlistsTried >= maxWaitlists {
		h.refuse(r, refusalCode(r.refusalReason))
		return
	}
	option := r.waitOptions[best]
	r.waitOptions = append(r.waitOptions[:best:best], r.waitOptions[best+1:]...)
	if now.Add(option.expectedWait+r.FirstTokenTime) > r.Deadline {
		r.refusalReason = capacity.ReasonTooLate
		h.refuse(r, codes.WaitLate)
		return
	}
	r.waitlistsTried++
	r.worker, r.coordinator = option.worker, r.Coordinator(option.worker)
	r.stage = stageWaiting
	h.sendAcquire(now, r, true, out)
}

func refusalCode(reason uint8) codes.Code {
	switch reason {
	case capacity.ReasonQueueFull, capacity.ReasonBusy:
		return codes.WaitFull
	case capacity.ReasonTooLate:
		return codes.WaitLate
	}
	return codes.NoWorker
}

func (h *Queue) sendAcquire(now units.Time, r *Request, wait bool, out *message.Effects) {
	header := capacity.Header{Tag: r.Tag, TimeLeft: uint32(units.ToMillis(r.Deadline.Sub(now))), Worth: r.Worth, MemoryTokens: r.MemoryTokens, Priority: r.Priority, MaxFirstTokenTime: uint32(units.ToMillis(r.MaxFirstTokenTime))}
	header.PrefillTime = toMicroseconds(r.PrefillTime)
	if !r.isPreferred(r.worker) {
		header.PrefillTime = toMicroseconds(r.FullPrefillTime)
	}
	if wait {
		header.Wait = 1
	}
	if k, ok := h.reportedTo[r.worker]; ok && k != r.coordinator {
		header.Reason = capacity.ReasonNotCoordinator
	}
	r.sentAt = now
	r.heardAt = now
	out.Send(r.coordinator, capacity.Acquire, capacity.Pack(header, r.worker))
}

func toMicroseconds(d time.Duration) uint32 { return uint32(min(max(0, d/time.Microsecond), 1<<32-1)) }

func (h *Queue) admit(now units.Time, r *Request) {
	r.stage = stageHeld
	h.InFlight[r.worker]++
	h.recentlySent[r.worker] = append(h.sentLastSecond(now, r.worker), now)
	h.Decisions = append(h.Decisions, Decision{Tag: r.Tag, Worker: r.worker, Code: codes.OK})
}

func (h *Queue) refuse(r *Request, c codes.Code) {
	delete(h.requests, r.Tag)
	h.Decisions = append(h.Decisions, Decision{Tag: r.Tag, Code: c, ExpectedWait: r.shortestWait})
}

// RecordFirstToken notes how long a prompt's first words took; the keeper learns of it with the slot's return.
func (h *Queue) RecordFirstToken(tag uint64, took time.Duration) {
	if r := h.requests[tag]; r != nil {
		r.firstToken = took
	}
}

// Done gives a prompt's slot back when its stream ended, or when its caller went away.
// Unsure says that the run may still be going.
func (h *Queue) Done(now units.Time, tag uint64, uncertain bool) (out message.Effects) {
	r := h.requests[tag]
	if r == nil {
		return out
	}
	if r.stage == stageHeld {
		h.leaveFlight(r)
	}
	header := capacity.Header{Tag: tag, PrefillTime: toMicroseconds(r.firstToken)}
	if uncertain && r.stage == stageHeld {
		r.stage = stageUncertain
		header.Wait = 1
	} else {
		delete(h.requests, tag)
	}
	if r.coordinator != 0 {
		out.Send(h.currentCoordinator(r), capacity.Release, capacity.Pack(header, r.worker))
	}
	return out
}

// Abort is Done for a run whose wire this node broke off: its slot comes back once the worker had time to notice.
func (h *Queue) Abort(now units.Time, tag uint64) (out message.Effects) {
	if r := h.requests[tag]; r != nil && r.stage == stageHeld {
		r.Deadline = now.Add(disconnectDetection - expiryGrace)
		h.leaveFlight(r)
		r.stage = stageUncertain
		return out
	}
	return h.Done(now, tag, false)
}

func (h *Queue) leaveFlight(r *Request) {
	if h.InFlight[r.worker]--; h.InFlight[r.worker] <= 0 {
		delete(h.InFlight, r.worker)
	}
}

// currentCoordinator is whoever this node last reported to, else whom it asked.
func (h *Queue) currentCoordinator(r *Request) units.Node {
	if k, ok := h.reportedTo[r.worker]; ok {
		return k
	}
	return r.coordinator
}
