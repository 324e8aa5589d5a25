// Package linearizability checks histories of calls on a versioned register. Tests alone use it.
package linearizability

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind says what a call does.
type Kind uint8

// The kinds of calls.
const (
	Read Kind = iota
	Write
)

// Outcome is what a call's maker learned.
type Outcome uint8

// The outcomes. An Unclear write may or may not have happened, at any time from its call on.
const (
	Unclear Outcome = iota
	Done
	Refused
)

// Call is one call with its answer. A caller who sends the same call again, until it has a clear answer, makes one call.
type Call struct {
	Kind     Kind
	From, To int64 // To counts only with a clear outcome
	Builds   uint64
	Position uint64 // the version that a write brings, or a read found
	Data     string // likewise
	Outcome  Outcome
}

// version is the register's state.
type version struct {
	position uint64
	data     string
}

// Check says whether an order of the calls exists that agrees with real time and in which each write that was done, or
// refused, found, or did not find, the version that it builds on.
func Check(calls []Call, limit time.Duration) porcupine.CheckResult {
	history := make([]porcupine.Operation, 0, len(calls))
	for _, c := range calls {
		if c.Kind == Read && c.Outcome != Done {
			continue // says nothing
		}
		end := c.To
		if c.Outcome == Unclear {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{Input: c, Call: c.From, Return: end})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{version{}} },
		Step: func(state, input, _ any) []any { return step(state.(version), input.(Call)) },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), history, limit)
}

// step gives the states that a call may leave; none if its answer is impossible here.
func step(now version, c Call) []any {
	next := version{c.Position, c.Data}
	fits := now.position == c.Builds
	switch {
	case c.Kind == Read && now == next:
		return []any{now}
	case c.Kind == Read:
		return nil
	case c.Outcome == Unclear && fits:
		return []any{now, next}
	case c.Outcome == Unclear, c.Outcome == Refused && !fits:
		return []any{now}
	case c.Outcome == Done && fits:
		return []any{next}
	}
	return nil
}
