// Package observer judges a run by what workers and callers wrote down, against the brief's list. It knows
// nothing of the daemons' own counters.
package observer

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
	Once    map[string]bool     // mappings that may not repeat
	Pools   map[string][]string // pools that each mapping may reach
	Cap     int                 // prompts in flight per worker; 0 leaves it unjudged
	First   time.Duration       // first words
	Leave   time.Duration
	Evac    time.Duration
	Back    time.Duration
	Contact time.Duration // how long after a freeze a router isn't yet in touch
	Budget  float64
	Served  float64            // least share of calls answered whole and on time; 0 leaves it unjudged
	Asked   bool               // callers and workers wrote down what was sent and what arrived
	Window  time.Duration      // of the budget where arrivals turned away count as well; 0 leaves that unjudged
	Slack   int                // further arrivals of a service in it that are free
	Cold    map[string]float64 // arrivals that a service's cold workers may have in any second
}

// DefaultRules are the brief's figures.
func DefaultRules() Rules {
	return Rules{Leave: 3 * time.Second, Evac: 5 * time.Second, Back: 12 * time.Second, Contact: 3 * time.Second, Budget: 0.2, First: 160 * time.Millisecond,
		Once: map[string]bool{}, Pools: map[string][]string{}}
}

// Names of promises that others leave out, judge themselves or name otherwise.
const (
	Services = "nothing goes to a service that its mapping may not reach"
	Whole    = "a success is the worker's whole, sealed answer, the caller's own"
	Once     = "what may not repeat never runs twice"
	NotRun   = `"not run" is true forever`
	AtOnce   = "a refusal comes at once and says when to come back"
	Leaving  = "a leaving worker gets nothing new after 3 s"
	Zones    = "an evacuated zone gets nothing new after 5 s"
	Cuts     = "planned restarts and changes cut no stream"
	Asked    = "nothing runs but what a caller sent, as it was sent"
	Order    = "no stream has a piece missing, doubled or of another run"
	Budget   = "further arrivals stay within the budget of every window"
	Cold     = "no cold worker is flooded"
	Served   = "callers are served"
	Back     = "after a full loss, service is back within 12 s"
	Attended = "nothing is sent on for a caller that has left"
	ReadBack = "the configuration read back is the newest acknowledged one, as sent"
)

// Finding is one promise with what was seen.
type Finding struct {
	Promise string
	Good    bool
	Seen    string
}

// Run is all that was written down.
type Run struct {
	Calls  []standin.Entry
	Starts []standin.Entry
	Turns  []standin.Entry          // arrivals that workers turned away
	Ends   map[string]standin.Entry // by worker and request id
	Events []standin.Entry
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
	for _, l := range [][]standin.Entry{r.Calls, r.Starts, r.Events, r.Turns} {
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
		r.Turns = append(r.Turns, e)
	case "end":
		r.Ends[e.Worker+" "+e.ID] = e
	case "event":
		r.Events = append(r.Events, e)
	}
}

// Judge looks at every promise.
func (r *Run) Judge(u Rules) []Finding {
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
	if u.Window == 0 {
		l = append(l, r.retries(u))
	}
	if u.Cap > 0 {
		l = append(l, r.caps(u))
	}
	if u.Asked {
		l = append(l, r.asked(calls), r.order())
	}
	if u.Window > 0 {
		l = append(l, r.budget(u))
	}
	if len(u.Cold) > 0 {
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
