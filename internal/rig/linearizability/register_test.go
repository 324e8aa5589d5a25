package linearizability

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Histories that are good, and each way in which one can be bad.
func TestCheck(t *testing.T) {
	first := Call{Kind: Write, From: 1, To: 2, Builds: 0, Position: 1, Data: "a", Outcome: Done}
	second := Call{Kind: Write, From: 3, To: 6, Builds: 1, Position: 2, Data: "b", Outcome: Done}
	read := func(from, to int64, position uint64, data string) Call {
		return Call{Kind: Read, From: from, To: to, Position: position, Data: data, Outcome: Done}
	}
	lost := Call{Kind: Write, From: 3, Builds: 1, Position: 2, Data: "c"}
	for name, x := range map[string]struct {
		calls []Call
		want  porcupine.CheckResult
	}{
		"good":                      {[]Call{first, read(3, 4, 1, "a"), second, read(7, 8, 2, "b")}, porcupine.Ok},
		"reads beside a write":      {[]Call{first, second, read(3, 7, 1, "a"), read(4, 7, 2, "b")}, porcupine.Ok},
		"an unclear write happened": {[]Call{first, lost, read(9, 10, 2, "c")}, porcupine.Ok},
		"an unclear write did not":  {[]Call{first, lost, read(9, 10, 1, "a")}, porcupine.Ok},
		"a loser":                   {[]Call{first, second, {Kind: Write, From: 4, To: 7, Builds: 1, Position: 2, Outcome: Refused}}, porcupine.Ok},
		"an old read":               {[]Call{first, second, read(7, 8, 1, "a")}, porcupine.Illegal},
		"other bytes":               {[]Call{first, second, read(7, 8, 2, "c")}, porcupine.Illegal},
		"two winners":               {[]Call{first, second, {Kind: Write, From: 3, To: 9, Builds: 1, Position: 2, Data: "c", Outcome: Done}}, porcupine.Illegal},
		"refused for nothing":       {[]Call{first, {Kind: Write, From: 3, To: 4, Builds: 1, Position: 2, Outcome: Refused}}, porcupine.Illegal},
		"a write undone":            {[]Call{first, second, read(7, 8, 2, "b"), read(9, 10, 1, "a")}, porcupine.Illegal},
	} {
		if got := Check(x.calls, time.Minute); got != x.want {
			t.Errorf("%s: %s", name, got)
		}
	}
}
