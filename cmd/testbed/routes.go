package main

import (
	"strings"
	"time"

	"seamshunt/platform/standin"
)

const siteHost = "desk.example"

var routes = []standin.Route{
	{Name: "talk", Host: siteHost, Prefix: "/talk/", Variant: "streaming", Resumable: true, DeadlineMs: 8000, GoalMs: 800, GapGoalMs: 400, Tries: 2, Target: "llm"},
	{Name: "notice", Host: siteHost, Prefix: "/notice/", Variant: "effectful", DeadlineMs: 4000, GoalMs: 800, Tries: 2, Target: "llm"},
	{Name: "ask", Host: siteHost, Prefix: "/ask/", Variant: "pure", DeadlineMs: 3000, GoalMs: 500, Tries: 2, Target: "llm"},
}

// review is a route of long streams.
var review = standin.Route{Name: "review", Host: siteHost, Prefix: "/review/", Variant: "streaming", DeadlineMs: 15000, GoalMs: 800, GapGoalMs: 400, Tries: 2, Target: "llm"}

// Streams of the workers. A review that is under way as its router is stopped ends within the grace; one that is begun a second later
// doesn't.
const (
	usualEvents  = 8
	usualPace    = 20 * time.Millisecond // from one event to the next
	reviewEvents = 34
	reviewPace   = 200 * time.Millisecond
)

// streams gives a stream's events and their pace by its request's path.
func streams(path string) (events int, pace time.Duration) {
	if strings.HasPrefix(path, review.Prefix) {
		return reviewEvents, reviewPace
	}
	return usualEvents, usualPace
}
