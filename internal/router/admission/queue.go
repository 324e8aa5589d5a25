// Package admission is admission on the node that took the prompt (design 6): in, wait, or refused at once.
package admission

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Policies by name. Knee is the paper's: a cap, a bounded waitlist by deadline, early shedding. Open is none,
// for comparisons.
var Policies = map[string]func(*Queue, units.Time, *Request, *message.Effects){
	"knee": (*Queue).knee,
	"open": (*Queue).open,
}

// Spans (start values).
const (
	silent  = 150 * time.Millisecond // a keeper that says nothing for so long is passed over
	again   = 300 * time.Millisecond // a waiting prompt's ask is repeated
	lostAt  = 900 * time.Millisecond // a waiting prompt's keeper that says nothing for so long is given up
	grace   = 500 * time.Millisecond
	notice  = 300 * time.Millisecond // a worker notices a broken wire within this
	muteFor = time.Second            // a keeper that said nothing is asked last for so long
	waits   = 3                      // how many waitlists one prompt may try
)

// Decision is what becomes of a prompt.
type Decision struct {
	Tag          uint64
	Worker       string // set when it goes in
	Code         resultcode.Code
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
	self      units.NodeID
	reqs      map[uint64]*Request
	InFlight  map[string]int // this node's own prompts in flight, per worker
	loyal     map[string]units.NodeID
	mute      map[units.NodeID]units.Time // keepers that said nothing, till when they are asked last
	sent      map[string][]units.Time     // what went to a worker in the last second
	Loads     map[string]Load
	Decisions []Decision
}

// New gives an empty one.
func New(self units.NodeID) *Queue {
	return &Queue{self: self, reqs: map[uint64]*Request{}, InFlight: map[string]int{}, loyal: map[string]units.NodeID{}, mute: map[units.NodeID]units.Time{}, sent: map[string][]units.Time{}, Loads: map[string]Load{}}
}

// Submit takes a prompt in at the door.
func (h *Queue) Submit(now units.Time, r Request) (out message.Effects) {
	h.reqs[r.Tag] = &r
	Policies[r.Policy](h, now, &r, &out)
	return out
}

// open lets everything in at the first worker.
func (h *Queue) open(now units.Time, r *Request, out *message.Effects) {
	if len(r.Candidates) == 0 {
		h.shed(r, resultcode.NoWorker)
		return
	}
	r.worker = r.Candidates[0]
	h.enter(now, r)
}

// knee asks the candidates' keepers for a free slot in turn, then waits where the wait is shortest.
func (h *Queue) knee(now units.Time, r *Request, out *message.Effects) {
	for r.next < len(r.Candidates) && r.next < r.MaxCandidates {
		r.worker = r.Candidates[r.next]
		r.next++
		r.keeper = r.Coordinator(r.worker)
		if now < h.mute[r.keeper] && r.next < len(r.Candidates) {
			r.MaxCandidates++ // the next one is asked in its place
			continue
		}
		if r.keeper != 0 {
			h.ask(now, r, false, out)
			return
		}
	}
	h.queue(now, r, out)
}

// queue joins the waitlist with the shortest expected wait that still leaves time for an answer.
func (h *Queue) queue(now units.Time, r *Request, out *message.Effects) {
	best := -1
	for i, o := range r.opts {
		if best < 0 || o.due+o.away < r.opts[best].due+r.opts[best].away {
			best = i
		}
	}
	if best < 0 || r.tried >= waits {
		h.shed(r, why(r.why))
		return
	}
	o := r.opts[best]
	r.opts = append(r.opts[:best:best], r.opts[best+1:]...)
	if now.Add(o.due+r.FirstTokenTime) > r.Deadline {
		r.why = capacity.ReasonTooLate
		h.shed(r, resultcode.DeadlineUnreachable)
		return
	}
	r.tried++
	r.worker, r.keeper = o.name, r.Coordinator(o.name)
	r.stage = waiting
	h.ask(now, r, true, out)
}

func why(reason uint8) resultcode.Code {
	switch reason {
	case capacity.ReasonQueueFull, capacity.ReasonBusy:
		return resultcode.QueueFull
	case capacity.ReasonTooLate:
		return resultcode.DeadlineUnreachable
	}
	return resultcode.NoWorker
}

func (h *Queue) ask(now units.Time, r *Request, wait bool, out *message.Effects) {
	a := capacity.Header{Tag: r.Tag, TimeLeft: uint32(units.ToMillis(r.Deadline.Sub(now))), Worth: r.Worth, MemoryTokens: r.MemoryTokens, Priority: r.Priority, MaxFirstTokenTime: uint32(units.ToMillis(r.MaxFirstTokenTime))}
	a.PrefillTime = micros(r.PrefillTime)
	if !r.home(r.worker) {
		a.PrefillTime = micros(r.FullPrefillTime)
	}
	if wait {
		a.Wait = 1
	}
	if k, ok := h.loyal[r.worker]; ok && k != r.keeper {
		a.Reason = capacity.ReasonNotCoordinator
	}
	r.sent = now
	r.heard = now
	out.Send(r.keeper, capacity.Acquire, capacity.Pack(a, r.worker))
}

func micros(d time.Duration) uint32 { return uint32(min(max(0, d/time.Microsecond), 1<<32-1)) }

func (h *Queue) enter(now units.Time, r *Request) {
	r.stage = held
	h.InFlight[r.worker]++
	h.sent[r.worker] = append(h.lately(now, r.worker), now)
	h.Decisions = append(h.Decisions, Decision{Tag: r.Tag, Worker: r.worker, Code: resultcode.OK})
}

func (h *Queue) shed(r *Request, c resultcode.Code) {
	delete(h.reqs, r.Tag)
	h.Decisions = append(h.Decisions, Decision{Tag: r.Tag, Code: c, ExpectedWait: r.due})
}

// RecordFirstToken notes how long a prompt's first words took; the keeper learns of it with the slot's return.
func (h *Queue) RecordFirstToken(tag uint64, took time.Duration) {
	if r := h.reqs[tag]; r != nil {
		r.words = took
	}
}

// Done gives a prompt's slot back when its stream ended, or when its caller went away.
// Unsure says that the run may still be going.
func (h *Queue) Done(now units.Time, tag uint64, unsure bool) (out message.Effects) {
	r := h.reqs[tag]
	if r == nil {
		return out
	}
	if r.stage == held {
		h.leave(r)
	}
	b := capacity.Header{Tag: tag, PrefillTime: micros(r.words)}
	if unsure && r.stage == held {
		r.stage = ghost
		b.Wait = 1
	} else {
		delete(h.reqs, tag)
	}
	if r.keeper != 0 {
		out.Send(h.keeper(r), capacity.Release, capacity.Pack(b, r.worker))
	}
	return out
}

// Abort is Done for a run whose wire this node broke off: its slot comes back once the worker had time to notice.
func (h *Queue) Abort(now units.Time, tag uint64) (out message.Effects) {
	if r := h.reqs[tag]; r != nil && r.stage == held {
		r.Deadline = now.Add(notice - grace)
		h.leave(r)
		r.stage = ghost
		return out
	}
	return h.Done(now, tag, false)
}

func (h *Queue) leave(r *Request) {
	if h.InFlight[r.worker]--; h.InFlight[r.worker] <= 0 {
		delete(h.InFlight, r.worker)
	}
}

// keeper is whoever this node last reported to, else whom it asked.
func (h *Queue) keeper(r *Request) units.NodeID {
	if k, ok := h.loyal[r.worker]; ok {
		return k
	}
	return r.keeper
}
