// Package linearizability checks whether histories of calls on a versioned register are linearizable. Only tests use it.
package linearizability

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is the kind of a call.
type Kind uint8

// The kinds of calls.
const (
	Read Kind = iota
	Write
)

// Outcome is the result of a call as its caller knows it.
type Outcome uint8

// The outcomes. A write of Unknown outcome may take effect at any time after the call, or never.
const (
	Unknown Outcome = iota
	Succeeded
	Rejected
)

// Call is a call with its result. Copies of a call that a caller resends until it has a definite answer are one call.
type Call struct {
	Kind                 Kind
	CalledAt, ReturnedAt int64 // ReturnedAt is ignored if the outcome is Unknown
	ExpectedVersion      uint64
	Version              uint64 // the version that a write creates or a read returned
	Data                 string // the value of that version
	Outcome              Outcome
}

// version is the state of the register.
type version struct {
	number uint64
	data   string
}

// Check reports whether an order of the calls exists that agrees with real time and in which each successful write found its
// expected version and each rejected write did not. The search is given up after timeout.
func Check(calls []Call, timeout time.Duration) porcupine.CheckResult {
	history := make([]porcupine.Operation, 0, len(calls))
	for _, call := range calls {
		if call.Kind == Read && call.Outcome != Succeeded {
			continue // without a result it does not restrict the order
		}
		end := call.ReturnedAt
		if call.Outcome == Unknown {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{Input: call, Call: call.CalledAt, Return: end})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{version{}} },
		Step: func(state, input, _ any) []any { return step(state.(version), input.(Call)) },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), history, timeout)
}

// step returns the possible states after a call, or none if its outcome is impossible in this state.
func step(current version, call Call) []any {
	next := version{call.Version, call.Data}
	versionMatches := current.number == call.ExpectedVersion
	switch {
	case call.Kind == Read && current == next:
		return []any{current}
	case call.Kind == Read:
		return nil
	case call.Outcome == Unknown && versionMatches:
		return []any{current, next}
	case call.Outcome == Unknown, call.Outcome == Rejected && !versionMatches:
		return []any{current}
	case call.Outcome == Succeeded && versionMatches:
		return []any{next}
	}
	return nil
}
