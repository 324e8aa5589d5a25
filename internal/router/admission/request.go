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
	Tag    uint64
	Policy string
	Cands  []string // workers, best first
	Tries  int      // how many of them may be asked for a free slot
	Until  units.Time
	First  time.Duration
	Worth  uint16 // of its promise
	Keeper func(worker string) units.Node

	Homes int           // the first so many of Cands hold the shared parts of its prompt
	Read  time.Duration // what reading its prompt takes a home
	Full  time.Duration // and any other worker
	Urge  uint8         // its urgency at the worker
	Mem   uint32        // tokens of memory that its run needs
	Soon  time.Duration // a worker whose first words come later than this is passed by while others are free; 0: none is
	Away  time.Duration // how much sooner another worker than a home must be

	stage  stage
	worker string
	keeper units.Node
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
	return slices.Contains(r.Cands[:min(r.Homes, len(r.Cands))], worker)
}
