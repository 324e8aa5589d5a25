package linearizability

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Linearizable histories, and each way in which a history can violate linearizability.
func TestCheck(t *testing.T) {
	first := Call{Kind: Write, CalledAt: 1, ReturnedAt: 2, ExpectedVersion: 0, Version: 1, Data: "a", Outcome: Succeeded}
	second := Call{Kind: Write, CalledAt: 3, ReturnedAt: 6, ExpectedVersion: 1, Version: 2, Data: "b", Outcome: Succeeded}
	read := func(from, to int64, position uint64, data string) Call {
		return Call{Kind: Read, CalledAt: from, ReturnedAt: to, Version: position, Data: data, Outcome: Succeeded}
	}
	unknown := Call{Kind: Write, CalledAt: 3, ExpectedVersion: 1, Version: 2, Data: "c"}
	for name, test := range map[string]struct {
		calls []Call
		want  porcupine.CheckResult
	}{
		"good":                         {[]Call{first, read(3, 4, 1, "a"), second, read(7, 8, 2, "b")}, porcupine.Ok},
		"reads beside a write":         {[]Call{first, second, read(3, 7, 1, "a"), read(4, 7, 2, "b")}, porcupine.Ok},
		"an unknown write took effect": {[]Call{first, unknown, read(9, 10, 2, "c")}, porcupine.Ok},
		"an unknown write did not":     {[]Call{first, unknown, read(9, 10, 1, "a")}, porcupine.Ok},
		"a rejected write":             {[]Call{first, second, {Kind: Write, CalledAt: 4, ReturnedAt: 7, ExpectedVersion: 1, Version: 2, Outcome: Rejected}}, porcupine.Ok},
		"a stale read":                 {[]Call{first, second, read(7, 8, 1, "a")}, porcupine.Illegal},
		"another value":                {[]Call{first, second, read(7, 8, 2, "c")}, porcupine.Illegal},
		"two writes of one version":    {[]Call{first, second, {Kind: Write, CalledAt: 3, ReturnedAt: 9, ExpectedVersion: 1, Version: 2, Data: "c", Outcome: Succeeded}}, porcupine.Illegal},
		"rejected without a conflict":  {[]Call{first, {Kind: Write, CalledAt: 3, ReturnedAt: 4, ExpectedVersion: 1, Version: 2, Outcome: Rejected}}, porcupine.Illegal},
		"a write undone":               {[]Call{first, second, read(7, 8, 2, "b"), read(9, 10, 1, "a")}, porcupine.Illegal},
	} {
		if got := Check(test.calls, time.Minute); got != test.want {
			t.Errorf("%s: %s", name, got)
		}
	}
}
