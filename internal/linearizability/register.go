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
	Unknown Outcome = iota
	Succeeded
	Rejected
)

// Call is one call with its answer. A caller who sends the same call again, until it has a clear answer, makes one call.
type Call struct {
	Kind                 Kind
	CalledAt, ReturnedAt int64 // To counts only with a clear outcome
	ExpectedVersion      uint64
	Version              uint64 // the version that a write brings, or a read found
	Data                 string // likewise
	Outcome              Outcome
}

// version is the register's state.
type version struct {
	number uint64
	data   string
}

// Check says whether an order of the calls exists that agrees with real time and in which each write that was done, or
// refused, found, or did not find, the version that it builds on.
func Check(calls []Call, limit time.Duration) porcupine.CheckResult {
	history := make([]porcupine.Operation, 0, len(calls))
	for _, c := range calls {
		if c.Kind == Read && c.Outcome != Succeeded {
			continue // says nothing
		}
		end := c.ReturnedAt
		if c.Outcome == Unknown {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{Input: c, Call: c.CalledAt, Return: end})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{version{}} },
		Step: func(state, input, _ any) []any { return step(state.(version), input.(Call)) },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), history, limit)
}

// step gives the states that a call may leave; none if its answer is impossible here.
func step(now version, c Call) []any {
	next := version{c.Version, c.Data}
	fits := now.number == c.ExpectedVersion
	switch {
	case c.Kind == Read && now == next:
		return []any{now}
	case c.Kind == Read:
		return nil
	case c.Outcome == Unknown && fits:
		return []any{now, next}
	case c.Outcome == Unknown, c.Outcome == Rejected && !fits:
		return []any{now}
	case c.Outcome == Succeeded && fits:
		return []any{next}
	}
	return nil
}
