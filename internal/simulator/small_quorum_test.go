package simulator

import (
	"testing"
	"time"

	"seamshunt/internal/units"
)

// Of few machines, of which none need be borne to be lost, one leaves for good: those that are left go on, and so does a
// new one that came before.
func TestSmallQuorumAfterRemoval(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, comers int }{{2, 0}, {1, 1}, {2, 1}} {
		for seed := *firstSeed; seed < *firstSeed+20; seed++ {
			w := bootstrappedWorld(seed, x.disks)
			w.Run(units.Time(5 * time.Second))
			w.writeConfig(t, 0)
			old := pick(w, w.controllerHosts)
			for range x.comers {
				w.addController(old.Zone, true)
				w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(5 * time.Second)))))
			}
			w.drainAndRemove(old)
			w.Run(w.Now.Add(4 * time.Second))
			text, num := w.writeConfigWithRetries(t, 1)
			w.checkReadBack(t, text, num)
		}
	}
}
