// Package checker checks the invariants of a run against the journals of its workers and clients only; the
// programs' own counters are not used.
package checker

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"seamshunt/internal/standin"
)

// Rules are the limits that a run is checked against.
type Rules struct {
	NonRepeatable   map[string]bool     // mappings that may not repeat
	Pools           map[string][]string // pools that each mapping may reach
	MaxInFlight     int                 // requests in flight per worker; 0 disables the check
	FirstTokenTime  time.Duration       // to the first token
	DrainDelay      time.Duration       // after which a draining worker starts no new request
	EvacuationDelay time.Duration       // after which no request starts in an evacuated zone
	RecoveryTime    time.Duration       // until the first complete answer after a restart of the whole fleet
	ReconnectDelay  time.Duration       // a resumed router may lack current state for this long
	RetryBudget     float64             // retries as a share of the requests
	MinServed       float64             // minimum share of calls answered completely and on time; 0 accepts any share
	CheckArrivals   bool                // the journals hold fingerprints of requests, as sent and as received
	RetryWindow     time.Duration       // sliding window in which rejected arrivals count as well; 0 disables the check
	RetrySlack      int                 // retries per service and window beyond the budget's share
	WarmUpRates     map[string]float64  // by service: arrivals per second at a worker that is warming up
}

// DefaultRules returns the limits that the product promises.
func DefaultRules() Rules {
	return Rules{DrainDelay: 3 * time.Second, EvacuationDelay: 5 * time.Second, RecoveryTime: 12 * time.Second,
		ReconnectDelay: 3 * time.Second, RetryBudget: 0.2, FirstTokenTime: 160 * time.Millisecond,
		NonRepeatable: map[string]bool{}, Pools: map[string][]string{}}
}

// Names of the invariants that other packages exclude, check themselves or map to rules of their own.
const (
	AllowedServices     = "nothing goes to a service that its mapping may not reach"
	CompleteAnswers     = "a success is the worker's whole, sealed answer, the caller's own"
	RunsOnce            = "what may not repeat never runs twice"
	NotRunIsFinal       = `"not run" is true forever`
	PromptRefusals      = "a refusal comes at once and says when to come back"
	WorkerDraining      = "a leaving worker gets nothing new after 3 s"
	ZoneEvacuation      = "an evacuated zone gets nothing new after 5 s"
	UnbrokenStreams     = "planned restarts and changes cut no stream"
	OnlySentRequests    = "nothing runs but what a caller sent, as it was sent"
	StreamOrder         = "no stream has a piece missing, doubled or of another run"
	RetryBudget         = "further arrivals stay within the budget of every window"
	WarmUpRate          = "no cold worker is flooded"
	ClientsServed       = "callers are served"
	RecoveryTime        = "after a full loss, service is back within 12 s"
	NoAbandonedRequests = "nothing is sent on for a caller that has left"
	ConfigReadBack      = "the configuration read back is the newest acknowledged one, as sent"
)

// Finding is the result of checking one invariant.
type Finding struct {
	Invariant string
	Holds     bool
	Detail    string
}

// Run holds the journal entries of a run.
type Run struct {
	Calls      []standin.Entry
	Starts     []standin.Entry
	Rejections []standin.Entry          // arrivals that workers rejected
	Ends       map[string]standin.Entry // by worker and request id
	Events     []standin.Entry
}

// Load reads all journals of a directory.
func Load(dir string) (*Run, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("checker: no journals in %s", dir)
	}
	r := &Run{Ends: map[string]standin.Entry{}}
	for _, path := range files {
		if err := r.readFile(path); err != nil {
			return nil, err
		}
	}
	if len(r.Calls) == 0 {
		return nil, fmt.Errorf("checker: no call is recorded in %s", dir)
	}
	r.Sort()
	return r, nil
}

// Sort orders the entries by time.
func (r *Run) Sort() {
	for _, l := range [][]standin.Entry{r.Calls, r.Starts, r.Events, r.Rejections} {
		slices.SortStableFunc(l, func(a, b standin.Entry) int { return cmp.Compare(a.At, b.At) })
	}
}

func (r *Run) readFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("checker: %w", err)
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for n := 1; s.Scan(); n++ {
		var e standin.Entry
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return fmt.Errorf("checker: %s line %d: %w", path, n, err)
		}
		r.Add(e)
	}
	return s.Err()
}

// Add adds one entry.
func (r *Run) Add(e standin.Entry) {
	switch e.Kind {
	case "call":
		r.Calls = append(r.Calls, e)
	case "start":
		r.Starts = append(r.Starts, e)
	case "turn":
		r.Rejections = append(r.Rejections, e)
	case "end":
		r.Ends[e.Worker+" "+e.ID] = e
	case "event":
		r.Events = append(r.Events, e)
	}
}

// Check checks every invariant that the rules enable.
func (r *Run) Check(u Rules) []Finding {
	runs := map[string][]standin.Entry{}
	for _, s := range r.Starts {
		runs[s.Job] = append(runs[s.Job], s)
	}
	calls := map[string]standin.Entry{}
	for _, c := range r.Calls {
		calls[c.Job] = c
	}
	l := []Finding{
		r.checkRunsOnce(u, calls, runs), r.checkNotRun(runs), r.checkCompleteAnswers(runs), r.checkServices(u, calls),
		r.checkPromptRefusals(), r.checkDraining(u), r.checkEvacuation(u, calls), r.checkConfigReadBack(), r.checkUnbrokenStreams(), r.checkAbandoned(calls),
	}
	if u.RetryWindow == 0 {
		l = append(l, r.checkRetries(u))
	}
	if u.MaxInFlight > 0 {
		l = append(l, r.checkCapacity(u))
	}
	if u.CheckArrivals {
		l = append(l, r.checkSentRequests(calls), r.checkStreamOrder())
	}
	if u.RetryWindow > 0 {
		l = append(l, r.checkRetryBudget(u))
	}
	if len(u.WarmUpRates) > 0 {
		l = append(l, r.checkWarmUpRate(u))
	}
	return append(l, r.checkRecovery(u), r.checkServed(u))
}

func newFinding(invariant string, bad []string, detail string) Finding {
	if len(bad) > 0 {
		return Finding{invariant, false, fmt.Sprintf("%d violations, first: %s", len(bad), bad[0])}
	}
	return Finding{invariant, true, detail}
}

func ms(us int64) string { return fmt.Sprintf("%d ms", us/1000) }
