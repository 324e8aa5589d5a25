// Package admission decides, on the router that received a request, whether the request is sent to a worker, waits for a
// slot, or is refused at once (docs/design.md, section 6).
package admission

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Policies lists the admission policies by name. "knee" follows the paper: a capacity limit per worker, a bounded waitlist
// ordered by deadline, and early refusal. "open" admits everything, for comparisons.
var Policies = map[string]func(*Queue, units.Time, *Request, *message.Effects){
	"knee": (*Queue).admitWithPermit,
	"open": (*Queue).admitAll,
}

const (
	replyTimeout        = 150 * time.Millisecond // without a reply for this long, the request goes to the next worker
	acquireRepeat       = 300 * time.Millisecond // how often a waiting request repeats its acquire message
	coordinatorTimeout  = 900 * time.Millisecond // a waiting request leaves a coordinator that hasn't replied for this long
	expiryGrace         = 500 * time.Millisecond
	disconnectDetection = 300 * time.Millisecond // a worker notices a closed connection within this time
	unresponsiveFor     = time.Second            // how long a coordinator that didn't reply comes last
	maxWaitlists        = 3                      // waitlists that one request may try
)

// Decision is the result of admission for one request.
type Decision struct {
	Tag          uint64
	Worker       string // set when the request is admitted
	Code         resultcode.Code
	ExpectedWait time.Duration // when refused: the shortest wait that a coordinator expected
}

// Load is the last known load of a worker, from its coordinator's replies.
type Load struct {
	InUse, Capacity, Waiting int
	PrefillBacklog           time.Duration // the time that the prefill of the prompts sent to it still takes
	UpdatedAt                units.Time
}

// Queue is the admission state machine of one router. Its methods return the messages to send.
type Queue struct {
	self         units.NodeID
	requests     map[uint64]*Request
	InFlight     map[string]int              // this router's requests in flight, per worker
	reportedTo   map[string]units.NodeID     // the coordinator of each worker that last received a report
	unresponsive map[units.NodeID]units.Time // coordinators that didn't reply, and until when they come last
	recentlySent map[string][]units.Time     // when requests went to a worker, over the last second
	Loads        map[string]Load
	Decisions    []Decision
}

// New returns an empty queue.
func New(self units.NodeID) *Queue {
	return &Queue{self: self, requests: map[uint64]*Request{}, InFlight: map[string]int{}, reportedTo: map[string]units.NodeID{},
		unresponsive: map[units.NodeID]units.Time{}, recentlySent: map[string][]units.Time{}, Loads: map[string]Load{}}
}

// Submit starts admission of a request. The result appears in Decisions.
func (q *Queue) Submit(now units.Time, r Request) (out message.Effects) {
	q.requests[r.Tag] = &r
	Policies[r.Policy](q, now, &r, &out)
	return out
}

// admitAll admits every request, to its first candidate.
func (q *Queue) admitAll(now units.Time, r *Request, out *message.Effects) {
	if len(r.Candidates) == 0 {
		q.refuse(r, resultcode.NoWorker)
		return
	}
	r.worker = r.Candidates[0]
	q.admit(now, r)
}

// admitWithPermit requests a free slot from the candidates' coordinators one after the other. If none has one, the request joins
// a waitlist.
func (q *Queue) admitWithPermit(now units.Time, r *Request, out *message.Effects) {
	for r.nextCandidate < len(r.Candidates) && r.nextCandidate < r.MaxCandidates {
		r.worker = r.Candidates[r.nextCandidate]
		r.nextCandidate++
		r.coordinator = r.Coordinator(r.worker)
		if now < q.unresponsive[r.coordinator] && r.nextCandidate < len(r.Candidates) {
			r.MaxCandidates++ // try one more candidate instead
			continue
		}
		if r.coordinator != 0 {
			q.sendAcquire(now, r, false, out)
			return
		}
	}
	q.joinWaitlist(now, r, out)
}

// joinWaitlist joins the waitlist with the shortest expected wait that still leaves time for an answer, and refuses the
// request if there is none.
func (q *Queue) joinWaitlist(now units.Time, r *Request, out *message.Effects) {
	best := -1
	for i, option := range r.waitOptions {
		if best < 0 || option.expectedWait+option.penalty < r.waitOptions[best].expectedWait+r.waitOptions[best].penalty {
			best = i
		}
	}
	if best < 0 || r.waitlistsTried >= maxWaitlists {
		q.refuse(r, refusalCode(r.refusalReason))
		return
	}
	option := r.waitOptions[best]
	r.waitOptions = append(r.waitOptions[:best:best], r.waitOptions[best+1:]...)
	if now.Add(option.expectedWait+r.FirstTokenTime) > r.Deadline {
		r.refusalReason = capacity.ReasonTooLate
		q.refuse(r, resultcode.DeadlineUnreachable)
		return
	}
	r.waitlistsTried++
	r.worker, r.coordinator = option.worker, r.Coordinator(option.worker)
	r.stage = stageWaiting
	q.sendAcquire(now, r, true, out)
}

func refusalCode(reason uint8) resultcode.Code {
	switch reason {
	case capacity.ReasonQueueFull, capacity.ReasonBusy:
		return resultcode.QueueFull
	case capacity.ReasonTooLate:
		return resultcode.DeadlineUnreachable
	}
	return resultcode.NoWorker
}

func (q *Queue) sendAcquire(now units.Time, r *Request, wait bool, out *message.Effects) {
	header := capacity.Header{Tag: r.Tag, TimeLeft: uint32(units.ToMillis(r.Deadline.Sub(now))), Worth: r.Worth,
		MemoryTokens: r.MemoryTokens, Priority: r.Priority, MaxFirstTokenTime: uint32(units.ToMillis(r.MaxFirstTokenTime))}
	header.PrefillTime = toMicroseconds(r.PrefillTime)
	if !r.isPreferred(r.worker) {
		header.PrefillTime = toMicroseconds(r.FullPrefillTime)
	}
	if wait {
		header.Wait = 1
	}
	if reported, ok := q.reportedTo[r.worker]; ok && reported != r.coordinator {
		header.Reason = capacity.ReasonNotCoordinator
	}
	r.sentAt = now
	r.lastReplyAt = now
	out.Send(r.coordinator, capacity.Acquire, capacity.Pack(header, r.worker))
}

func toMicroseconds(d time.Duration) uint32 { return uint32(min(max(0, d/time.Microsecond), 1<<32-1)) }

func (q *Queue) admit(now units.Time, r *Request) {
	r.stage = stageHeld
	q.InFlight[r.worker]++
	q.recentlySent[r.worker] = append(q.sentLastSecond(now, r.worker), now)
	q.Decisions = append(q.Decisions, Decision{Tag: r.Tag, Worker: r.worker, Code: resultcode.OK})
}

func (q *Queue) refuse(r *Request, c resultcode.Code) {
	delete(q.requests, r.Tag)
	q.Decisions = append(q.Decisions, Decision{Tag: r.Tag, Code: c, ExpectedWait: r.shortestWait})
}

// RecordFirstToken records a request's time to first token. The coordinator receives it when the slot is released.
func (q *Queue) RecordFirstToken(tag uint64, took time.Duration) {
	if r := q.requests[tag]; r != nil {
		r.firstToken = took
	}
}

// Done releases a request's slot once its stream has ended or its client has disconnected. If uncertain, the run may still
// be in progress, and the slot stays taken until the request's deadline.
func (q *Queue) Done(now units.Time, tag uint64, uncertain bool) (out message.Effects) {
	r := q.requests[tag]
	if r == nil {
		return out
	}
	if r.stage == stageHeld {
		q.leaveFlight(r)
	}
	header := capacity.Header{Tag: tag, PrefillTime: toMicroseconds(r.firstToken)}
	if uncertain && r.stage == stageHeld {
		r.stage = stageUncertain
		header.Wait = 1
	} else {
		delete(q.requests, tag)
	}
	if r.coordinator != 0 {
		out.Send(q.currentCoordinator(r), capacity.Release, capacity.Pack(header, r.worker))
	}
	return out
}

// Abort is Done for a run whose connection this router closed. The slot is released once the worker has had time to notice.
func (q *Queue) Abort(now units.Time, tag uint64) (out message.Effects) {
	if r := q.requests[tag]; r != nil && r.stage == stageHeld {
		r.Deadline = now.Add(disconnectDetection - expiryGrace)
		q.leaveFlight(r)
		r.stage = stageUncertain
		return out
	}
	return q.Done(now, tag, false)
}

func (q *Queue) leaveFlight(r *Request) {
	if q.InFlight[r.worker]--; q.InFlight[r.worker] <= 0 {
		delete(q.InFlight, r.worker)
	}
}

// currentCoordinator returns the coordinator that last received a report of the worker, or else the request's own one.
func (q *Queue) currentCoordinator(r *Request) units.NodeID {
	if reported, ok := q.reportedTo[r.worker]; ok {
		return reported
	}
	return r.coordinator
}
