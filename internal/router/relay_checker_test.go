package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// relayHistory is what clients and workers recorded. The checker uses nothing else.
type relayHistory struct {
	mu        sync.Mutex
	requests  map[string]sentRequest
	runs      map[string][]observedRun
	responses []observedResponse
}

// sentRequest is a request as its client sent it.
type sentRequest struct{ route, body string }

// observedRun is one run of a request as its worker saw it.
type observedRun struct {
	name     string // unique to this run
	body     string // of the request
	size     int    // of its answer, unless that is a stream
	complete bool   // answered correctly and completely, with nothing unexpected before it
}

// observedResponse is what the client of requestID read. Its status is 0 if the connection ended instead.
type observedResponse struct {
	requestID string
	clientResponse
}

func newRelayHistory() *relayHistory {
	return &relayHistory{requests: map[string]sentRequest{}, runs: map[string][]observedRun{}}
}

func (n *relayHistory) recordRequest(id, route, body string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests[id] = sentRequest{route, body}
}

func (n *relayHistory) recordRun(id string, r observedRun) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[id] = append(n.runs[id], r)
}

func (n *relayHistory) recordResponse(requestID string, a clientResponse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.responses = append(n.responses, observedResponse{requestID, a})
}

// Violations that the checker reports.
const (
	violationForeignResponse = "a wrong answer or that of another request"
	violationRunTwice        = "run twice"
	violationRanAfterRefusal = "refused as not run, but ran"
	violationUnrequestedRun  = "run, but not requested like that"
	violationTooManyAttempts = "sent to more workers than its attempts allow"
	violationEventOrder      = "events out of order"
	violationLostResponse    = "answered correctly, but the client did not receive it"
)

// check returns all violations. Each text begins with one of the constants above.
func (n *relayHistory) check() (violations []string) {
	report := func(violation, id string, found any) {
		violations = append(violations, fmt.Sprintf("%s: %s %+v", violation, id, found))
	}
	for id, runs := range n.runs {
		request, known := n.requests[id]
		for _, r := range runs {
			if !known || r.body != request.body {
				report(violationUnrequestedRun, id, r)
			}
		}
		if len(runs) > 1 && (request.route == "effectful" || request.route == "streaming") {
			report(violationRunTwice, id, runs)
		}
		if len(runs) > 2 {
			report(violationTooManyAttempts, id, runs)
		}
	}
	for _, a := range n.responses {
		runs := n.runs[a.requestID]
		switch a.status {
		case 408, 421, 429, 503:
			if len(runs) > 0 {
				report(violationRanAfterRefusal, a.requestID, a)
			}
		case 200:
			if found := checkSuccess(n.requests[a.requestID].route, a, runs); found != "" {
				report(found, a.requestID, a)
			}
		}
		if a.status != 200 || !a.complete {
			for _, r := range runs {
				if r.complete {
					report(violationLostResponse, a.requestID, a)
				}
			}
		}
	}
	return violations
}

// checkSuccess returns the violation in a response of status 200, if any.
func checkSuccess(route string, a observedResponse, runs []observedRun) string {
	if a.id != a.requestID {
		return violationForeignResponse
	}
	if route == "streaming" || route == "resumable" {
		return checkEvents(route, a, runs)
	}
	if !a.complete {
		return "" // the client knows that it is incomplete
	}
	for _, r := range runs {
		if a.body == runBody(r.name, a.requestID, r.size) {
			return ""
		}
	}
	return violationForeignResponse
}

// checkEvents checks that each event of a stream comes from one of this request's runs, that they are in order, and that
// none is missing if the stream looks complete.
func checkEvents(route string, a observedResponse, runs []observedRun) string {
	runNames := map[string]bool{}
	for _, r := range runs {
		runNames[r.name] = true
	}
	lastNumber := 0
	for e := range strings.SplitAfterSeq(a.body, "\n\n") {
		if !strings.HasSuffix(e, "\n\n") {
			if e != "" && a.complete {
				return violationEventOrder
			}
			continue // the truncated last event of a broken stream
		}
		var n int
		var id, name string
		if _, err := fmt.Sscanf(e, "id: %d\ndata: %s %s\n\n", &n, &id, &name); err != nil || id != a.requestID || !runNames[name] {
			return violationForeignResponse
		}
		if n != lastNumber+1 {
			return violationEventOrder
		}
		lastNumber = n
	}
	if a.complete && lastNumber != streamEvents {
		return violationEventOrder
	}
	return ""
}

// streamEvents is the number of events of each stream.
const streamEvents = 5

// runBody returns the body of a run's answer, padded with dots to size.
func runBody(name, id string, size int) string {
	text := "run " + name + " of " + id
	return text + strings.Repeat(".", max(0, size-len(text)))
}

// runEvent returns one event of a run's stream.
func runEvent(n int, id, name string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, name)
}

// Each planted violation is reported as such and as no other.
func TestRelayCheckerDetectsViolations(t *testing.T) {
	stream := func(requestID string, complete bool, of string, numbers ...int) clientResponse {
		a := clientResponse{status: 200, id: requestID, complete: complete}
		for _, n := range numbers {
			a.body += runEvent(n, of, of+".1")
		}
		return a
	}
	for violation, plants := range map[string][]func(n *relayHistory){
		"": {func(*relayHistory) {}},
		violationForeignResponse: {
			func(n *relayHistory) {
				n.recordResponse("e", clientResponse{200, "f", runBody("f.1", "f", 0), true, false})
			},
			func(n *relayHistory) {
				n.recordResponse("e", clientResponse{200, "e", runBody("f.1", "f", 0), true, false})
			},
			func(n *relayHistory) { n.recordResponse("s", stream("s", false, "f", 1)) },
		},
		violationRunTwice:        {func(n *relayHistory) { n.recordRun("e", observedRun{name: "e.2", body: "e?"}) }},
		violationRanAfterRefusal: {func(n *relayHistory) { n.recordResponse("f", clientResponse{status: 503, complete: true}) }},
		violationUnrequestedRun: {
			func(n *relayHistory) { n.recordRun("nobody", observedRun{name: "x"}) },
			func(n *relayHistory) { n.recordRun("g", observedRun{name: "x", body: "changed"}) },
		},
		violationTooManyAttempts: {func(n *relayHistory) {
			for i := range 3 {
				n.recordRun("p", observedRun{name: fmt.Sprint("p.", i), body: "p?"})
			}
		}},
		violationEventOrder: {
			func(n *relayHistory) { n.recordResponse("s", stream("s", true, "s", 1, 2, 3)) },
			func(n *relayHistory) { n.recordResponse("s", stream("s", false, "s", 1, 3)) },
			func(n *relayHistory) { n.recordResponse("s", stream("s", false, "s", 1, 1)) },
		},
		violationLostResponse: {func(n *relayHistory) {
			n.recordRun("g", observedRun{name: "g.1", body: "g?", complete: true})
			n.recordResponse("g", clientResponse{status: 502, complete: true})
		}},
	} {
		for i, plant := range plants {
			n := newRelayHistory()
			for id, route := range map[string]string{"e": "effectful", "f": "effectful", "g": "effectful", "p": "pure", "s": "resumable"} {
				n.recordRequest(id, route, id+"?")
			}
			for _, id := range []string{"e", "f", "s"} {
				n.recordRun(id, observedRun{name: id + ".1", body: id + "?"})
			}
			n.recordResponse("e", clientResponse{200, "e", runBody("e.1", "e", 0), true, false})
			n.recordResponse("f", clientResponse{status: 502, complete: true})
			n.recordResponse("g", clientResponse{status: 503, complete: true})
			n.recordResponse("s", stream("s", true, "s", 1, 2, 3, 4, 5))
			plant(n)
			violations := n.check()
			for _, x := range violations {
				if !strings.HasPrefix(x, violation+":") && !(violation == violationLostResponse || violation == violationUnrequestedRun) {
					t.Errorf("%q, %d: also %s", violation, i, x)
				}
			}
			if violation != "" && !strings.Contains(strings.Join(violations, "\n"), violation+":") || violation == "" && len(violations) > 0 {
				t.Errorf("%q, %d: seen %v", violation, i, violations)
			}
		}
	}
}
