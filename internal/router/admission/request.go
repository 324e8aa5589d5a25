package admission

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

type stage uint8

const (
	stageAcquiring stage = iota
	stageWaiting
	stageHeld
	stageUncertain // the run may still be in progress: the slot stays taken until the deadline
)

// waitOption is a worker whose waitlist the request may join.
type waitOption struct {
	worker       string
	expectedWait time.Duration
	penalty      time.Duration // added to the wait when options are compared; 0 for a preferred worker
}

// Request is one request for admission to a service.
type Request struct {
	Tag            uint64
	Policy         string
	Candidates     []string // workers, best first
	MaxCandidates  int      // maximum number of candidates from which a free slot is requested
	Deadline       units.Time
	FirstTokenTime time.Duration // time to first token; the request needs at least this much time until its deadline
	Worth          uint16        // of the request's service promise; higher ones displace lower ones in a waitlist
	Coordinator    func(worker string) units.NodeID

	PreferredCount      int           // the first PreferredCount candidates have the prompt's shared prefix cached
	PrefillTime         time.Duration // expected prefill time on a preferred worker
	FullPrefillTime     time.Duration // expected prefill time on any other worker
	Priority            uint8         // priority at the worker, 0 the highest
	MemoryTokens        uint32        // memory that the run needs, in tokens
	MaxFirstTokenTime   time.Duration // workers expected to take longer are skipped while others are free; 0 skips none
	NonPreferredPenalty time.Duration // how much shorter the wait must be to choose a worker that isn't preferred

	stage          stage
	worker         string
	coordinator    units.NodeID
	nextCandidate  int
	waitlistsTried int
	waitOptions    []waitOption
	refusalReason  uint8
	shortestWait   time.Duration // the wait that coordinators expected: the shortest, or the latest while queued
	firstToken     time.Duration // measured time to first token
	sentAt         units.Time    // the last acquire message
	lastReplyAt    units.Time    // the coordinator's last reply
}

// isPreferred reports whether a worker has the prompt's shared prefix cached.
func (r *Request) isPreferred(worker string) bool {
	return slices.Contains(r.Candidates[:min(r.PreferredCount, len(r.Candidates))], worker)
}
