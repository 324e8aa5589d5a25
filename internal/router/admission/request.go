package admission

import (
	"slices"
	"time"

	"seamshunt/internal/units"
)

type stage uint8

const (
	asking stage = iota
	waiting
	held
	ghost // its run may still be going: the slot stays taken till its time is out
)

type option struct {
	name string
	due  time.Duration
	away time.Duration
}

// Request is one prompt at the door of one service.
type Request struct {
	Tag            uint64
	Policy         string
	Candidates     []string // workers, best first
	MaxCandidates  int      // how many of them may be asked for a free slot
	Deadline       units.Time
	FirstTokenTime time.Duration
	Worth          uint16 // of its promise
	Coordinator    func(worker string) units.NodeID

	PreferredCount      int           // the first so many of Cands hold the shared parts of its prompt
	PrefillTime         time.Duration // what reading its prompt takes a home
	FullPrefillTime     time.Duration // and any other worker
	Priority            uint8         // its urgency at the worker
	MemoryTokens        uint32        // tokens of memory that its run needs
	MaxFirstTokenTime   time.Duration // a worker whose first words come later than this is passed by while others are free; 0: none is
	NonPreferredPenalty time.Duration // how much sooner another worker than a home must be

	stage  stage
	worker string
	keeper units.NodeID
	next   int
	tried  int
	opts   []option
	why    uint8
	due    time.Duration
	words  time.Duration // what its first words took
	sent   units.Time
	heard  units.Time
}

// home says whether a worker holds the shared parts of the prompt.
func (r *Request) home(worker string) bool {
	return slices.Contains(r.Candidates[:min(r.PreferredCount, len(r.Candidates))], worker)
}
