// Package config reads the operator's configuration, compiles its layout and works out plans (design 9).
package config

import (
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/placement"
)

// MaxConfig bounds a configuration's bytes.
const MaxConfig = 8 << 20

// Service is one model behind one pool, with the policies that rule it.
type Service struct {
	Name       string
	Pool       string
	Cap        int           // prompts in flight per worker: the measured knee
	Waitlist   int           // prompts waiting per worker; 2 x cap unless stated
	Warm       time.Duration // how long a started worker takes to its full cap
	Allow      string        // admission policy by name
	Place      string        // placement policy by name
	Prefix     int           // bytes of a prompt that name its shared prefix
	Spread     int           // how many workers a prefix may try
	Adapt      bool          // AIMD on waiting time
	Floor      int           // the least an adapted cap may be
	WaitAim    time.Duration // the waiting time that AIMD steers by
	RetryAfter time.Duration // least time a refused caller is told to stay away
	Jitter     time.Duration // spread on top of it
	First      time.Duration // expected time to first words before any was measured
	Memory     int           // tokens that one worker's memory holds; 0 when it is no engine (design 12)
	Share      float64       // of that memory may be lent out: the knee's other side
	Reads      float64       // prompt tokens that one worker reads in a millisecond, between other requests' steps
	Pairs      float64       // milliseconds that a million pairs of a prompt's tokens take besides: attention
	WarmRate   float64       // requests a second that a cold worker bears; 0 when any
	Conns      int           // connections that one worker accepts from all nodes together; 0 when any
	Lax        bool          // a new keeper lends without waiting out what silent nodes may hold
}

// Target is one service that a mapping may lead to, with its share of the requests.
type Target struct {
	Service string
	Share   int
}

// Limits bound what a client may send, and how long it may take. Zero is the product's own bound.
type Limits struct {
	Head     int
	Body     int
	HeadTime time.Duration
	Idle     time.Duration
}

// Promise is what an operator promises for one kind of request.
type Promise struct {
	Name    string
	First   time.Duration
	Longest time.Duration
	Smaller bool
	Worth   int // who goes first when not all can: the more the better; 1 unless stated
}

// Mapping is one route of the layout.
type Mapping struct {
	Name    string
	Promise *Promise
	To      []string // the services it may ever reach
	Step    string   // the service of a step down, if any
	Once    bool
	Match   []routing.Match
	Split   []Target      // when more than one: who gets which share of the requests
	Tries   int           // workers that one request may be sent to; 0 is the product's own bound
	Rank    int           // 0 is the highest
	Stream  bool          // a series of events
	Resume  bool          // a broken stream may go on at another worker behind the last whole event
	Pause   time.Duration // the longest pause between events of an answer in time
	Single  bool          // each request's id belongs to one try alone: nothing is claimed before it is handed over
	line    int
	col     int
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
