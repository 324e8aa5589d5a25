package simulator

import (
	"testing"
	"time"

	"seamshunt/internal/units"
)

// Of few machines, of which none need be borne to be lost, one leaves for good: those that are left go on, and so does a
// new one that came before.
func TestFewGoOnWithoutALeaver(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ disks, comers int }{{2, 0}, {1, 1}, {2, 1}} {
		for seed := *from; seed < *from+20; seed++ {
			w := grown(seed, x.disks)
			w.Run(units.Time(5 * time.Second))
			w.put(t, 0)
			old := pick(w, w.coreH)
			for range x.comers {
				w.joinCore(old.Zone, true)
				w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(5 * time.Second)))))
			}
			w.leaveCore(old)
			w.Run(w.Now.Add(4 * time.Second))
			text, num := w.putAgain(t, 1)
			w.readBack(t, text, num)
		}
	}
}
