// Package checker judges a run by what workers and callers wrote down, against the brief's list. It knows
// nothing of the daemons' own counters.
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

// Rules say what was promised in the run that is judged.
type Rules struct {
	NonRepeatable   map[string]bool     // mappings that may not repeat
	Pools           map[string][]string // pools that each mapping may reach
	MaxInFlight     int                 // prompts in flight per worker; 0 leaves it unjudged
	FirstTokenTime  time.Duration       // first words
	DrainDelay      time.Duration
	EvacuationDelay time.Duration
	RecoveryTime    time.Duration
	ReconnectDelay  time.Duration // how long after a freeze a router isn't yet in touch
	RetryBudget     float64
	MinServed       float64            // least share of calls answered whole and on time; 0 leaves it unjudged
	CheckArrivals   bool               // callers and workers wrote down what was sent and what arrived
	RetryWindow     time.Duration      // of the budget where arrivals turned away count as well; 0 leaves that unjudged
	RetrySlack      int                // further arrivals of a service in it that are free
	WarmUpRates     map[string]float64 // arrivals that a service's cold workers may have in any second
}

// DefaultRules are the brief's figures.
func DefaultRules() Rules {
	return Rules{DrainDelay: 3 * time.Second, EvacuationDelay: 5 * time.Second, RecoveryTime: 12 * time.Second, ReconnectDelay: 3 * time.Second, RetryBudget: 0.2, FirstTokenTime: 160 * time.Millisecond,
		NonRepeatable: map[string]bool{}, Pools: map[string][]string{}}
}

// Names of promises that others leave out, judge themselves or name otherwise.
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

// Finding is one promise with what was seen.
type Finding struct {
	Invariant string
	Holds     bool
	Detail    string
}

// Run is all that was written down.
type Run struct {
	Calls      []standin.Entry
	Starts     []standin.Entry
	Rejections []standin.Entry          // arrivals that workers turned away
	Ends       map[string]standin.Entry // by worker and request id
	Events     []standin.Entry
}

// Load reads every journal of a folder.
func Load(dir string) (*Run, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("observer: no journals in %s", dir)
	}
	r := &Run{Ends: map[string]standin.Entry{}}
	for _, path := range files {
		if err := r.file(path); err != nil {
			return nil, err
		}
	}
	if len(r.Calls) == 0 {
		return nil, fmt.Errorf("observer: no call was written down in %s", dir)
	}
	r.Sort()
	return r, nil
}

// Sort puts what was written down in the order of time.
func (r *Run) Sort() {
	for _, l := range [][]standin.Entry{r.Calls, r.Starts, r.Events, r.Rejections} {
		slices.SortStableFunc(l, func(a, b standin.Entry) int { return cmp.Compare(a.At, b.At) })
	}
}

func (r *Run) file(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("observer: %w", err)
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for n := 1; s.Scan(); n++ {
		var e standin.Entry
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return fmt.Errorf("observer: %s line %d: %w", path, n, err)
		}
		r.Add(e)
	}
	return s.Err()
}

// Add takes one entry.
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

// Check looks at every promise.
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
		r.once(u, calls, runs), r.notRun(runs), r.whole(runs), r.service(u, calls),
		r.atOnce(), r.leaving(u), r.zones(u, calls), r.config(), r.cuts(), r.attended(calls),
	}
	if u.RetryWindow == 0 {
		l = append(l, r.retries(u))
	}
	if u.MaxInFlight > 0 {
		l = append(l, r.caps(u))
	}
	if u.CheckArrivals {
		l = append(l, r.asked(calls), r.order())
	}
	if u.RetryWindow > 0 {
		l = append(l, r.budget(u))
	}
	if len(u.WarmUpRates) > 0 {
		l = append(l, r.cold(u))
	}
	return append(l, r.back(u), r.served(u))
}

func find(promise string, bad []string, seen string) Finding {
	if len(bad) > 0 {
		return Finding{promise, false, fmt.Sprintf("%d violations, first: %s", len(bad), bad[0])}
	}
	return Finding{promise, true, seen}
}

func ms(us int64) string { return fmt.Sprintf("%d ms", us/1000) }
