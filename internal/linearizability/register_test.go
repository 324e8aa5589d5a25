package linearizability

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Histories that are good, and each way in which one can be bad.
func TestCheck(t *testing.T) {
	first := Call{Kind: Write, CalledAt: 1, ReturnedAt: 2, ExpectedVersion: 0, Version: 1, Data: "a", Outcome: Succeeded}
	second := Call{Kind: Write, CalledAt: 3, ReturnedAt: 6, ExpectedVersion: 1, Version: 2, Data: "b", Outcome: Succeeded}
	read := func(from, to int64, position uint64, data string) Call {
		return Call{Kind: Read, CalledAt: from, ReturnedAt: to, Version: position, Data: data, Outcome: Succeeded}
	}
	lost := Call{Kind: Write, CalledAt: 3, ExpectedVersion: 1, Version: 2, Data: "c"}
	for name, x := range map[string]struct {
		calls []Call
		want  porcupine.CheckResult
	}{
		"good":                      {[]Call{first, read(3, 4, 1, "a"), second, read(7, 8, 2, "b")}, porcupine.Ok},
		"reads beside a write":      {[]Call{first, second, read(3, 7, 1, "a"), read(4, 7, 2, "b")}, porcupine.Ok},
		"an unclear write happened": {[]Call{first, lost, read(9, 10, 2, "c")}, porcupine.Ok},
		"an unclear write did not":  {[]Call{first, lost, read(9, 10, 1, "a")}, porcupine.Ok},
		"a loser":                   {[]Call{first, second, {Kind: Write, CalledAt: 4, ReturnedAt: 7, ExpectedVersion: 1, Version: 2, Outcome: Rejected}}, porcupine.Ok},
		"an old read":               {[]Call{first, second, read(7, 8, 1, "a")}, porcupine.Illegal},
		"other bytes":               {[]Call{first, second, read(7, 8, 2, "c")}, porcupine.Illegal},
		"two winners":               {[]Call{first, second, {Kind: Write, CalledAt: 3, ReturnedAt: 9, ExpectedVersion: 1, Version: 2, Data: "c", Outcome: Succeeded}}, porcupine.Illegal},
		"refused for nothing":       {[]Call{first, {Kind: Write, CalledAt: 3, ReturnedAt: 4, ExpectedVersion: 1, Version: 2, Outcome: Rejected}}, porcupine.Illegal},
		"a write undone":            {[]Call{first, second, read(7, 8, 2, "b"), read(9, 10, 1, "a")}, porcupine.Illegal},
	} {
		if got := Check(x.calls, time.Minute); got != x.want {
			t.Errorf("%s: %s", name, got)
		}
	}
}
