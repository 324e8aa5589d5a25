// Package config parses the operator's configuration document, compiles its layout into a routing program and computes
// plans, which list what a new configuration would change (docs/design.md, section 9).
package config

import (
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/placement"
)

// MaxConfigBytes is the maximum size of a configuration document.
const MaxConfigBytes = 8 << 20

// Service is one model that a pool of workers serves, with its admission and placement policies.
type Service struct {
	Name            string
	Pool            string
	Capacity        int           // requests in flight per worker: the knee of its throughput curve
	MaxWaiting      int           // requests waiting per worker; 2 x capacity by default
	WarmUp          time.Duration // how long a newly started worker takes to reach its full capacity
	AdmissionPolicy string        // name of the admission policy
	PlacementPolicy string        // name of the placement policy
	PrefixBytes     int           // length of the part of a prompt that identifies its shared prefix
	PreferredCount  int           // number of preferred workers of a prefix
	Adaptive        bool          // adapt the capacity by AIMD on the waiting time
	MinCapacity     int           // lower bound of an adapted capacity
	TargetWait      time.Duration // the waiting time that AIMD aims at
	RetryAfter      time.Duration // minimum Retry-After of a refusal
	RetryJitter     time.Duration // random addition to RetryAfter
	FirstTokenTime  time.Duration // expected time to the first token until one was measured
	MemoryTokens    int           // tokens that fit into one worker's memory; 0 without an engine (docs/design.md, section 12)
	MemoryShare     float64       // fraction of MemoryTokens that permits may use: a second limit besides Capacity
	PrefillRate     float64       // prompt tokens that a worker prefills in a millisecond, between decoding steps
	AttentionCost   float64       // further prefill time (attention) of a million pairs of prompt tokens, in milliseconds
	WarmUpRate      float64       // requests a second that a worker takes while it warms up; 0 for no limit
	MaxConns        int           // connections that one worker accepts from all routers together; 0 for no limit
	QuickTakeover   bool          // a new coordinator doesn't wait until permits of unreachable routers expire
}

// Target is one service of a mapping that splits its requests, with its relative share of them.
type Target struct {
	Service string
	Share   int
}

// Limits bound what a client may send and how long it may take. Zero selects the built-in default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Promise is a service-level objective of the operator for one kind of request.
type Promise struct {
	Name              string
	MaxFirstTokenTime time.Duration // time to the first token
	Deadline          time.Duration // time to the whole answer
	AllowSmaller      bool          // a service with a smaller model may be the fallback
	Worth             int           // weight under overload: requests with a higher one are served first; 1 by default
}

// Mapping is one route of the layout: which requests it takes, where they may go and under which promise.
type Mapping struct {
	Name            string
	Promise         *Promise
	Services        []string // all services that it may use
	FallbackService string   // the service to fall back to, if any
	Once            bool     // a request must not run more than once, so it isn't retried after it may have run
	Conditions      []routing.Condition
	Split           []Target      // if there are several, the shares of the requests
	MaxWorkers      int           // workers that one request may be sent to; 0 selects the built-in default
	Rank            int           // priority; 0 is the highest
	Stream          bool          // the answer is a stream of events
	Resume          bool          // a broken stream may be resumed at another worker after the last complete event
	MaxEventGap     time.Duration // longest gap between two events of an answer that counts as on time
	Single          bool          // a client uses a request id for one attempt only: it isn't claimed before dispatch
	line            int           // position in the layout, for faults
	col             int
}

// Config is one complete, compiled configuration.
type Config struct {
	Services map[string]*Service
	Promises map[string]*Promise
	Mappings []*Mapping
	Program  *routing.Program
	Version  uint64 // the version given in the document; 0 if it has none
	Limits   Limits
}

// faultList collects faults, so that one pass over a document reports several.
type faultList struct {
	list []*resultcode.Fault
}

func (f *faultList) add(code resultcode.Code, place, text string) {
	if len(f.list) < 20 {
		f.list = append(f.list, &resultcode.Fault{Code: code, Place: place, Text: text, NotRun: true})
	}
}

// The policies that a configuration can name are those that the admission and placement packages implement.
func admissionPolicies() []string { return sortedKeys(admission.Policies) }
func placementPolicies() []string { return sortedKeys(placement.Policies) }
