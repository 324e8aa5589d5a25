package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// relayNotes are what callers and workers wrote down; the judge reads nothing else.
type relayNotes struct {
	mu      sync.Mutex
	asked   map[string]askNote
	runs    map[string][]runNote
	answers []answerNote
}

// askNote is one request as its caller sent it.
type askNote struct{ route, body string }

// runNote is one run, as its worker saw it.
type runNote struct {
	name  string // of this run alone
	body  string // of the request
	size  int    // of its answer, where that is no stream
	right bool   // answered rightly, whole and with nothing odd before it
}

// answerNote is what the caller of an id read; status 0 when its connection ended.
type answerNote struct {
	asker string
	clientAnswer
}

func newRelayNotes() *relayNotes {
	return &relayNotes{asked: map[string]askNote{}, runs: map[string][]runNote{}}
}

func (n *relayNotes) ask(id, route, body string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked[id] = askNote{route, body}
}

func (n *relayNotes) run(id string, r runNote) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[id] = append(n.runs[id], r)
}

func (n *relayNotes) answer(asker string, a clientAnswer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answers = append(n.answers, answerNote{asker, a})
}

// Rules of the judge.
const (
	ruleMixed   = "another's or a wrong answer"
	ruleOnce    = "run twice"
	rulePromise = "promised not to run, and ran"
	ruleAsked   = "run though nobody asked so"
	ruleTries   = "sent to more workers than its tries"
	ruleOrder   = "events out of order"
	ruleLost    = "answered rightly, and the caller never got it"
)

// judge gives every breach, each beginning with its rule.
func (n *relayNotes) judge() (faults []string) {
	fault := func(rule, id string, what any) { faults = append(faults, fmt.Sprintf("%s: %s %+v", rule, id, what)) }
	for id, runs := range n.runs {
		ask, known := n.asked[id]
		for _, r := range runs {
			if !known || r.body != ask.body {
				fault(ruleAsked, id, r)
			}
		}
		if len(runs) > 1 && (ask.route == "effectful" || ask.route == "streaming") {
			fault(ruleOnce, id, runs)
		}
		if len(runs) > 2 {
			fault(ruleTries, id, runs)
		}
	}
	for _, a := range n.answers {
		runs := n.runs[a.asker]
		switch a.status {
		case 408, 421, 429, 503:
			if len(runs) > 0 {
				fault(rulePromise, a.asker, a)
			}
		case 200:
			if what := wrongSuccess(n.asked[a.asker].route, a, runs); what != "" {
				fault(what, a.asker, a)
			}
		}
		if a.status != 200 || !a.whole {
			for _, r := range runs {
				if r.right {
					fault(ruleLost, a.asker, a)
				}
			}
		}
	}
	return faults
}

// wrongSuccess gives the rule that a success breaks.
func wrongSuccess(route string, a answerNote, runs []runNote) string {
	if a.id != a.asker {
		return ruleMixed
	}
	if route == "streaming" || route == "resumable" {
		return wrongEvents(route, a, runs)
	}
	if !a.whole {
		return "" // known to be none
	}
	for _, r := range runs {
		if a.body == answerText(r.name, a.asker, r.size) {
			return ""
		}
	}
	return ruleMixed
}

// wrongEvents looks at a stream's events: each of one of this request's runs, in order, and all of them if it looks whole.
func wrongEvents(route string, a answerNote, runs []runNote) string {
	names := map[string]bool{}
	for _, r := range runs {
		names[r.name] = true
	}
	last := 0
	for e := range strings.SplitAfterSeq(a.body, "\n\n") {
		if !strings.HasSuffix(e, "\n\n") {
			if e != "" && a.whole {
				return ruleOrder
			}
			continue // the torn end of a broken stream
		}
		var n int
		var of, name string
		if _, err := fmt.Sscanf(e, "id: %d\ndata: %s %s\n\n", &n, &of, &name); err != nil || of != a.asker || !names[name] {
			return ruleMixed
		}
		if n != last+1 {
			return ruleOrder
		}
		last = n
	}
	if a.whole && last != streamEvents {
		return ruleOrder
	}
	return ""
}

// streamEvents is how many events each stream has.
const streamEvents = 5

// answerText is the body of a run's answer, with dots up to a size.
func answerText(name, id string, size int) string {
	text := "run " + name + " of " + id
	return text + strings.Repeat(".", max(0, size-len(text)))
}

// eventText is one event of a run's stream.
func eventText(n int, id, name string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, name)
}

// Each planted breach is seen by its own rule and by no other.
func TestRelayJudgeSeesPlantedFaults(t *testing.T) {
	stream := func(asker string, whole bool, of string, numbers ...int) clientAnswer {
		a := clientAnswer{status: 200, id: asker, whole: whole}
		for _, n := range numbers {
			a.body += eventText(n, of, of+".1")
		}
		return a
	}
	for rule, plant := range map[string][]func(n *relayNotes){
		"": {func(*relayNotes) {}},
		ruleMixed: {
			func(n *relayNotes) { n.answer("e", clientAnswer{200, "f", answerText("f.1", "f", 0), true, false}) },
			func(n *relayNotes) { n.answer("e", clientAnswer{200, "e", answerText("f.1", "f", 0), true, false}) },
			func(n *relayNotes) { n.answer("s", stream("s", false, "f", 1)) },
		},
		ruleOnce:    {func(n *relayNotes) { n.run("e", runNote{name: "e.2", body: "e?"}) }},
		rulePromise: {func(n *relayNotes) { n.answer("f", clientAnswer{status: 503, whole: true}) }},
		ruleAsked: {
			func(n *relayNotes) { n.run("nobody", runNote{name: "x"}) },
			func(n *relayNotes) { n.run("g", runNote{name: "x", body: "changed"}) },
		},
		ruleTries: {func(n *relayNotes) {
			for i := range 3 {
				n.run("p", runNote{name: fmt.Sprint("p.", i), body: "p?"})
			}
		}},
		ruleOrder: {
			func(n *relayNotes) { n.answer("s", stream("s", true, "s", 1, 2, 3)) },
			func(n *relayNotes) { n.answer("s", stream("s", false, "s", 1, 3)) },
			func(n *relayNotes) { n.answer("s", stream("s", false, "s", 1, 1)) },
		},
		ruleLost: {func(n *relayNotes) {
			n.run("g", runNote{name: "g.1", body: "g?", right: true})
			n.answer("g", clientAnswer{status: 502, whole: true})
		}},
	} {
		for i, f := range plant {
			n := newRelayNotes()
			for id, route := range map[string]string{"e": "effectful", "f": "effectful", "g": "effectful", "p": "pure", "s": "resumable"} {
				n.ask(id, route, id+"?")
			}
			for _, id := range []string{"e", "f", "s"} {
				n.run(id, runNote{name: id + ".1", body: id + "?"})
			}
			n.answer("e", clientAnswer{200, "e", answerText("e.1", "e", 0), true, false})
			n.answer("f", clientAnswer{status: 502, whole: true})
			n.answer("g", clientAnswer{status: 503, whole: true})
			n.answer("s", stream("s", true, "s", 1, 2, 3, 4, 5))
			f(n)
			faults := n.judge()
			for _, x := range faults {
				if !strings.HasPrefix(x, rule+":") && !(rule == ruleLost || rule == ruleAsked) {
					t.Errorf("%q, %d: also %s", rule, i, x)
				}
			}
			if rule != "" && !strings.Contains(strings.Join(faults, "\n"), rule+":") || rule == "" && len(faults) > 0 {
				t.Errorf("%q, %d: seen %v", rule, i, faults)
			}
		}
	}
}
