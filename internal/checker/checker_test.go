package checker

import (
	"fmt"
	"slices"
	"testing"

	"seamshunt/internal/standin"
)

type entry = standin.Entry

const sec = 1_000_000

func rules() Rules {
	u := DefaultRules()
	u.NonRepeatable = map[string]bool{"notice": true}
	u.Pools = map[string][]string{"notice": {"main"}, "chat": {"main"}}
	u.MaxInFlight, u.MinServed = 2, 0.5
	return u
}

// validRun returns a run in which every invariant holds and every check has entries to look at.
func validRun() *Run {
	r := &Run{Ends: map[string]entry{}}
	for i := range 60 {
		at := int64(i+10) * sec
		job, id, m := fmt.Sprintf("j%d", i), fmt.Sprintf("r%d", i), []string{"notice", "chat"}[i%2]
		r.Add(entry{Kind: "start", At: at, Job: job, ID: id, Worker: "w1", Pool: "main", Zone: "a"})
		r.Add(entry{Kind: "end", At: at + sec/2, Job: job, ID: id, Worker: "w1", How: "done"})
		r.Add(entry{Kind: "call", At: at - 1000, End: at + sec/2, Job: job, ID: id, Mapping: m, Status: 200, Complete: true, TimeLeftMs: 4000, Worker: "s/w1", Router: "v1", FirstUs: 5000})
	}
	r.Add(entry{Kind: "call", At: 80 * sec, End: 80*sec + 100, Job: "shed", Mapping: "chat", Status: 503, Code: 301, NotRun: true, RetryAfterMs: 700, TimeLeftMs: 4000, Router: "v1"})
	for _, e := range []entry{
		{How: "config-acknowledged", At: 1, Target: "1/x"}, {How: "config-acknowledged", At: 2, Target: "2/y"}, {How: "config-read", At: 99 * sec, Target: "2/y"},
		{How: "leave", At: 5 * sec, Target: "w9"}, {How: "evacuate", At: 5 * sec, Target: "z9"}, {How: "startall", At: 5 * sec},
	} {
		e.Kind = "event"
		r.Add(e)
	}
	return r
}

// Each planted violation is found by its own invariant's check and by no other; the valid run passes.
func TestPlantedViolations(t *testing.T) {
	for _, f := range validRun().Check(rules()) {
		if !f.Holds {
			t.Fatalf("a valid run: %s: %s", f.Invariant, f.Detail)
		}
	}
	call := func(e entry) func(*Run) {
		e.Kind, e.Router, e.TimeLeftMs, e.Mapping = "call", "v1", 4000, "chat"
		if e.At == 0 {
			e.At, e.End = 90*sec, 91*sec
		}
		return func(r *Run) { r.Add(e) }
	}
	start := func(e entry) func(*Run) {
		e.Kind = "start"
		if e.Pool == "" {
			e.Pool = "main"
		}
		return func(r *Run) { r.Add(e) }
	}
	for name, x := range map[string]struct {
		invariant string
		plant     func(*Run)
	}{
		"run twice":         {"what may not repeat never runs twice", start(entry{At: 11 * sec, Job: "j0", ID: "other", Worker: "w2", Zone: "a"})},
		"not run, but ran":  {`"not run" is true forever`, start(entry{At: 95 * sec, Job: "shed", ID: "late", Worker: "w2", Zone: "a"})},
		"fault in a whole":  {"a success is the worker's whole, sealed answer, the caller's own", call(entry{Job: "x", Status: 200, Complete: true, Fault: "gap"})},
		"nobody ran it":     {"a success is the worker's whole, sealed answer, the caller's own", call(entry{Job: "x", ID: "none", Status: 200, Complete: true})},
		"another's answer":  {"a success is the worker's whole, sealed answer, the caller's own", call(entry{Job: "x", ID: "r3", Status: 200, Complete: true})},
		"wrong service":     {"nothing goes to a service that its mapping may not reach", func(r *Run) { r.Starts[3].Pool = "side" }},
		"refused late":      {"a refusal comes at once and says when to come back", call(entry{Job: "x", At: 90 * sec, End: 93_900_000, Status: 503, Code: 302, NotRun: true, RetryAfterMs: 5})},
		"no retry time":     {"a refusal comes at once and says when to come back", call(entry{Job: "x", At: 90 * sec, End: 90*sec + 5, Status: 503, Code: 302, NotRun: true})},
		"leaving":           {"a leaving worker gets nothing new after 3 s", func(r *Run) { r.Events = append(r.Events, entry{How: "leave", At: 20 * sec, Target: "w1"}) }},
		"evacuated":         {"an evacuated zone gets nothing new after 5 s", func(r *Run) { r.Events = append(r.Events, entry{How: "evacuate", At: 20 * sec, Target: "a"}) }},
		"old configuration": {"the configuration read back is the newest acknowledged one, as sent", func(r *Run) { r.Add(entry{Kind: "event", How: "config-read", At: 100 * sec, Target: "1/x"}) }},
		"broken by a restart": {"planned restarts and changes cut no stream", func(r *Run) {
			call(entry{Job: "x", Status: 200, Worker: "s/w1"})(r)
			r.Add(entry{Kind: "event", How: "stop", Target: "v1"})
		}},
		"no recovery":   {"after a full loss, service is back within 12 s", func(r *Run) { r.Add(entry{Kind: "event", How: "startall", At: 98 * sec}) }},
		"late recovery": {"after a full loss, service is back within 12 s", func(r *Run) { r.Events[5].At = -10 * sec }},
		"over capacity": {"no worker carries more than its cap", func(r *Run) {
			for i := range 3 {
				id := fmt.Sprint("c", i)
				start(entry{At: 90 * sec, Job: id, ID: id, Worker: "w3", Zone: "a"})(r)
				r.Add(entry{Kind: "end", At: 91 * sec, ID: id, Worker: "w3"})
			}
		}},
		"retry storm": {"retries stay within a fifth over any ten seconds", func(r *Run) {
			for i := range 30 {
				start(entry{At: 90*sec + int64(i), Job: "s", ID: fmt.Sprint("s", i), Worker: fmt.Sprint("q", i), Zone: "a"})(r)
			}
		}},
		"everyone refused": {"callers are served", func(r *Run) {
			for range 100 {
				call(entry{Job: "x", At: 90 * sec, End: 90 * sec, Status: 503, Code: 301, NotRun: true, RetryAfterMs: 9})(r)
			}
		}},
	} {
		r := validRun()
		x.plant(r)
		seen := false
		for _, f := range r.Check(rules()) {
			seen = seen || !f.Holds && f.Invariant == x.invariant
			if !f.Holds && f.Invariant != x.invariant {
				t.Errorf("%s: also %q: %s", name, f.Invariant, f.Detail)
			}
		}
		if !seen {
			t.Errorf("%s: the violation is not found", name)
		}
	}
}

// A run that starts in an evacuated zone is a violation, unless its router was paused until a moment before.
func TestEvacuationWithPausedRouters(t *testing.T) {
	for name, x := range map[string]struct {
		thaw int64 // the run begins in second 40
		good bool
	}{"none paused": {0, false}, "long ago": {36 * sec, false}, "just now": {38 * sec, true}, "still paused": {41 * sec, true}} {
		r := validRun()
		for _, e := range []entry{{How: "evacuate", At: 30 * sec, Target: "a"}, {How: "freeze", At: 31 * sec, Target: "v1"}, {How: "thaw", At: x.thaw, Target: "v1"},
			{How: "readmit", At: 41 * sec, Target: "a"}} {
			if e.Kind = "event"; x.thaw > 0 || e.Target == "a" {
				r.Add(e)
			}
		}
		r.Starts = slices.DeleteFunc(r.Starts, func(s entry) bool { return s.At > 35*sec && s.At < 41*sec && s.At != 40*sec })
		r.Sort()
		calls := map[string]entry{}
		for _, c := range r.Calls {
			calls[c.Job] = c
		}
		if f := r.checkEvacuation(rules(), calls); f.Holds != x.good {
			t.Errorf("%s: %v, %s", name, f.Holds, f.Detail)
		}
	}
}
