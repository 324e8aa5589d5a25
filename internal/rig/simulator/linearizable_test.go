package simulator

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/rig/linearizability"
)

// linearizable checks the operators' calls of a world, key by key, beside Linear: also that each refusal had its cause, and
// that an unclear write happened once or not at all.
func linearizable(history []Op) (bad []string) {
	calls := map[string][]linearizability.Call{}
	for _, o := range history {
		c := linearizability.Call{Kind: linearizability.Read, From: int64(o.From), To: int64(o.To), Position: uint64(o.Num), Data: o.Data}
		if o.Write {
			c.Kind, c.Builds, c.Position = linearizability.Write, uint64(o.Expect), uint64(o.Expect)+1
		}
		switch {
		case o.To != 0 && o.Code == resultcode.OK && o.Write && o.Num != o.Expect+1:
			bad = append(bad, fmt.Sprintf("%s: a write on %d got number %d", o.Key, o.Expect, o.Num))
		case o.To != 0 && o.Code == resultcode.OK:
			c.Outcome = linearizability.Done
		case o.To != 0 && o.Code == resultcode.VersionConflict:
			c.Outcome = linearizability.Refused
		}
		calls[o.Key] = append(calls[o.Key], c)
	}
	for key, l := range calls {
		if got := linearizability.Check(l, time.Minute); got != porcupine.Ok {
			bad = append(bad, fmt.Sprintf("%s: the history of %d calls is %s", key, len(l), got))
		}
	}
	return bad
}
