package simulator

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"seamshunt/internal/linearizability"
	"seamshunt/internal/resultcode"
)

// linearizable checks the operators' calls key by key. Beyond CheckHistory it checks that each refused write had a conflict,
// and that a write of unknown outcome took effect at most once.
func linearizable(history []Op) (bad []string) {
	calls := map[string][]linearizability.Call{}
	for _, o := range history {
		c := linearizability.Call{Kind: linearizability.Read, CalledAt: int64(o.CalledAt), ReturnedAt: int64(o.ReturnedAt),
			Version: uint64(o.Version), Data: o.Data}
		if o.Write {
			c.Kind, c.ExpectedVersion, c.Version = linearizability.Write, uint64(o.ExpectedVersion),
				uint64(o.ExpectedVersion)+1
		}
		switch {
		case o.ReturnedAt != 0 && o.Code == resultcode.OK && o.Write && o.Version != o.ExpectedVersion+1:
			bad = append(bad, fmt.Sprintf("%s: a write with expected version %d got version %d", o.Key, o.ExpectedVersion,
				o.Version))
		case o.ReturnedAt != 0 && o.Code == resultcode.OK:
			c.Outcome = linearizability.Succeeded
		case o.ReturnedAt != 0 && o.Code == resultcode.VersionConflict:
			c.Outcome = linearizability.Rejected
		}
		calls[o.Key] = append(calls[o.Key], c)
	}
	for key, list := range calls {
		if got := linearizability.Check(list, time.Minute); got != porcupine.Ok {
			bad = append(bad, fmt.Sprintf("%s: the history of %d calls is %s", key, len(list), got))
		}
	}
	return bad
}
