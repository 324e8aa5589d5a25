// Package resultcode holds the numbered result codes; docs/codes.md is their table.
package resultcode

import "fmt"

// Code is one numbered result.
type Code int

// The codes. 1xx good, 2xx the caller's fault, 3xx not now, 4xx broken on the way, 5xx operators' calls, 6xx boot.
const (
	OK                   Code = 100
	MissingTimeLeft      Code = 201
	InvalidTimeLeft      Code = 202
	NoMapping            Code = 203
	RequestTooLarge      Code = 204
	InvalidBody          Code = 205
	InvalidKey           Code = 206
	KeyClaimed           Code = 207
	NotFound             Code = 208
	KeySpent             Code = 209
	QueueFull            Code = 301
	DeadlineUnreachable  Code = 302
	NoWorker             Code = 303
	NotReady             Code = 304
	Draining             Code = 305
	DeadlineExceeded     Code = 306
	RetryBudgetExhausted Code = 307
	WorkerRefused        Code = 308
	ClaimFailed          Code = 309
	OutcomeUnknown       Code = 401
	StreamBroken         Code = 402
	ClientDisconnected   Code = 403
	InvalidConfig        Code = 501
	InvalidRule          Code = 502
	Duplicate            Code = 503
	InvalidCap           Code = 504
	StepNotAllowed       Code = 505
	ConfigTooLarge       Code = 506
	UnknownService       Code = 507
	VersionConflict      Code = 511
	PlanNotFound         Code = 512
	CommitUnknown        Code = 513
	NoMajority           Code = 514
	DiskFull             Code = 515
	UnknownZone          Code = 516
	InvalidOperation     Code = 517
	OutcomeExpired       Code = 518
	OperatorDisconnected Code = 519
	InvalidSettings      Code = 601
)

// Fault is a result that is not a success, with its place and whether the request is sure not to have run.
type Fault struct {
	Code   Code
	Place  string
	Text   string
	NotRun bool
}

func (f *Fault) Error() string {
	if f.Place != "" {
		return fmt.Sprintf("%d at %s: %s", f.Code, f.Place, f.Text)
	}
	return fmt.Sprintf("%d: %s", f.Code, f.Text)
}

// Status gives the HTTP status that goes with a code.
func (c Code) Status() int {
	switch c {
	case OK:
		return 200
	case NoMapping, NotFound, PlanNotFound:
		return 404
	case RequestTooLarge, ConfigTooLarge:
		return 413
	case KeyClaimed, KeySpent, VersionConflict:
		return 409
	case OutcomeUnknown, StreamBroken, CommitUnknown:
		return 502
	case ClientDisconnected:
		return 499
	}
	switch {
	case c < 300:
		return 400
	case c < 500:
		return 503
	case c == NoMajority || c == DiskFull || c == OutcomeExpired || c == OperatorDisconnected:
		return 503
	}
	return 400
}
