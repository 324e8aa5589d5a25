// Package config reads the operator's configuration, compiles its layout and works out plans (design 9).
package config

import (
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/placement"
)

// MaxConfigBytes bounds a configuration's bytes.
const MaxConfigBytes = 8 << 20

// Service is one model behind one pool, with the policies that rule it.
type Service struct {
	Name            string
	Pool            string
	Capacity        int           // prompts in flight per worker: the measured knee
	MaxWaiting      int           // prompts waiting per worker; 2 x cap unless stated
	WarmUp          time.Duration // how long a started worker takes to its full cap
	AdmissionPolicy string        // admission policy by name
	PlacementPolicy string        // placement policy by name
	PrefixBytes     int           // bytes of a prompt that name its shared prefix
	PreferredCount  int           // how many workers a prefix may try
	Adaptive        bool          // AIMD on waiting time
	MinCapacity     int           // the least an adapted cap may be
	TargetWait      time.Duration // the waiting time that AIMD steers by
	RetryAfter      time.Duration // least time a refused caller is told to stay away
	RetryJitter     time.Duration // spread on top of it
	FirstTokenTime  time.Duration // expected time to first words before any was measured
	MemoryTokens    int           // tokens that one worker's memory holds; 0 when it is no engine (design 12)
	MemoryShare     float64       // of that memory may be lent out: the knee's other side
	PrefillRate     float64       // prompt tokens that one worker reads in a millisecond, between other requests' steps
	AttentionCost   float64       // milliseconds that a million pairs of a prompt's tokens take besides: attention
	WarmUpRate      float64       // requests a second that a cold worker bears; 0 when any
	MaxConns        int           // connections that one worker accepts from all nodes together; 0 when any
	QuickTakeover   bool          // a new keeper lends without waiting out what silent nodes may hold
}

// Target is one service that a mapping may lead to, with its share of the requests.
type Target struct {
	Service string
	Share   int
}

// Limits bound what a client may send, and how long it may take. Zero is the product's own bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Promise is what an operator promises for one kind of request.
type Promise struct {
	Name              string
	MaxFirstTokenTime time.Duration
	Deadline          time.Duration
	AllowSmaller      bool
	Worth             int // who goes first when not all can: the more the better; 1 unless stated
}

// Mapping is one route of the layout.
type Mapping struct {
	Name            string
	Promise         *Promise
	Services        []string // the services it may ever reach
	FallbackService string   // the service of a step down, if any
	Once            bool
	Conditions      []routing.Condition
	Split           []Target      // when more than one: who gets which share of the requests
	MaxWorkers      int           // workers that one request may be sent to; 0 is the product's own bound
	Rank            int           // 0 is the highest
	Stream          bool          // a series of events
	Resume          bool          // a broken stream may go on at another worker behind the last whole event
	MaxEventGap     time.Duration // the longest pause between events of an answer in time
	Single          bool          // each request's id belongs to one try alone: nothing is claimed before it is handed over
	line            int
	col             int
}

// Config is one whole configuration, compiled.
type Config struct {
	Services map[string]*Service
	Promises map[string]*Promise
	Mappings []*Mapping
	Program  *routing.Program
	Version  uint64 // the document's own, if it bears one
	Limits   Limits
}

// faults are collected and looked at once.
type faults struct {
	list []*resultcode.Fault
}

func (f *faults) add(c resultcode.Code, place, text string) {
	if len(f.list) < 20 {
		f.list = append(f.list, &resultcode.Fault{Code: c, Place: place, Text: text, NotRun: true})
	}
}

// Policies that can be named are those that admission and placement have.
func allowNames() []string { return sorted(admission.Policies) }
func placeNames() []string { return sorted(placement.Policies) }
