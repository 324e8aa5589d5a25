// Package codes holds the numbered result codes; docs/codes.md is their table.
package codes

import "fmt"

// Code is one numbered result.
type Code int

// The codes. 1xx good, 2xx the caller's fault, 3xx not now, 4xx broken on the way, 5xx operators' calls, 6xx boot.
const (
	OK           Code = 100
	NoTimeLeft   Code = 201
	BadTimeLeft  Code = 202
	NoMapping    Code = 203
	TooLarge     Code = 204
	BadBody      Code = 205
	BadKey       Code = 206
	Claimed      Code = 207
	NotFound     Code = 208
	Burned       Code = 209
	WaitFull     Code = 301
	WaitLate     Code = 302
	NoWorker     Code = 303
	NotReady     Code = 304
	Draining     Code = 305
	OutOfTime    Code = 306
	Budget       Code = 307
	WorkerNo     Code = 308
	NoClaim      Code = 309
	Unknown      Code = 401
	BrokenStream Code = 402
	ClientLeft   Code = 403
	BadConfig    Code = 501
	BadRule      Code = 502
	Duplicate    Code = 503
	BadCap       Code = 504
	StepNotOpen  Code = 505
	ConfigLarge  Code = 506
	NoService    Code = 507
	Conflict     Code = 511
	NoPlan       Code = 512
	Unsure       Code = 513
	NoMajority   Code = 514
	DiskFull     Code = 515
	BadZone      Code = 516
	BadCall      Code = 517
	Forgotten    Code = 518
	CallerLeft   Code = 519
	BadBoot      Code = 601
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
	case NoMapping, NotFound, NoPlan:
		return 404
	case TooLarge, ConfigLarge:
		return 413
	case Claimed, Burned, Conflict:
		return 409
	case Unknown, BrokenStream, Unsure:
		return 502
	case ClientLeft:
		return 499
	}
	switch {
	case c < 300:
		return 400
	case c < 500:
		return 503
	case c == NoMajority || c == DiskFull || c == Forgotten || c == CallerLeft:
		return 503
	}
	return 400
}
