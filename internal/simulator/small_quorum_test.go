package simulator

import (
	"testing"
	"time"

	"seamshunt/internal/units"
)

// One of two or three controllers, whose quorum set tolerates no loss, is removed permanently. The others must keep accepting
// writes, also if a new controller joined before.
func TestSmallQuorumAfterRemoval(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, newControllers int }{{2, 0}, {1, 1}, {2, 1}} {
		for seed := *firstSeed; seed < *firstSeed+20; seed++ {
			w := bootstrappedWorld(seed, x.disks)
			w.Run(units.Time(5 * time.Second))
			w.writeConfig(t, 0)
			old := pick(w, w.controllerHosts)
			for range x.newControllers {
				w.addController(old.Zone, true)
				w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(5 * time.Second)))))
			}
			w.drainAndRemove(old)
			w.Run(w.Now.Add(4 * time.Second))
			text, version := w.writeConfigWithRetries(t, 1)
			w.checkReadBack(t, text, version)
		}
	}
}
