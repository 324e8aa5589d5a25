package main

import (
	"strings"
	"time"

	"seamshunt/platform/standin"
)

// siteHost is the host name of all routes.
const siteHost = "desk.example"

// routes are the usual routes of a site.
var routes = []standin.Route{
	{Name: "talk", Host: siteHost, Prefix: "/talk/", Variant: "streaming", Resumable: true, DeadlineMs: 8000, GoalMs: 800, GapGoalMs: 400, Tries: 2, Target: "llm"},
	{Name: "notice", Host: siteHost, Prefix: "/notice/", Variant: "effectful", DeadlineMs: 4000, GoalMs: 800, Tries: 2, Target: "llm"},
	{Name: "ask", Host: siteHost, Prefix: "/ask/", Variant: "pure", DeadlineMs: 3000, GoalMs: 500, Tries: 2, Target: "llm"},
}

// review is a route with long streams.
var review = standin.Route{Name: "review", Host: siteHost, Prefix: "/review/", Variant: "streaming", DeadlineMs: 15000, GoalMs: 800, GapGoalMs: 400, Tries: 2, Target: "llm"}

// Streams of the workers. A review that is in progress when its router is stopped ends within the grace period; one that begins
// a second later doesn't.
const (
	defaultEvents   = 8
	defaultInterval = 20 * time.Millisecond // between two events
	reviewEvents    = 34
	reviewInterval  = 200 * time.Millisecond
)

// streamShape returns the number of events of a stream and the interval between them, by the request's path.
func streamShape(path string) (events int, interval time.Duration) {
	if strings.HasPrefix(path, review.Prefix) {
		return reviewEvents, reviewInterval
	}
	return defaultEvents, defaultInterval
}
