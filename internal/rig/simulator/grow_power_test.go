package simulator

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/codes"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// powerLost ends every machine at once, routers and controllers that don't count too, and empties the disks of some of
// the first `counted` controllers.
func (w *World) powerLost(counted, lost, from int) {
	for i, h := range w.coreH {
		w.Kill(h)
		if i < counted && (i+from)%counted < lost {
			h.Disk.Wipe()
		}
	}
	for _, h := range w.edgeH {
		w.Kill(h)
	}
}

// powerBack starts every machine, in an order that the seed picks, within 300 ms.
func (w *World) powerBack() {
	for _, h := range append(append([]*Host{}, w.coreH...), w.edgeH...) {
		w.After(time.Duration(w.Rng.Int64N(int64(300*time.Millisecond))), func() { w.Start(h) })
	}
}

// zoneReadBack reads a zone's state until it is confirmed.
func (w *World) zoneReadBack(zone string) (data string, ok bool) {
	for range 12 {
		var got *Op
		w.Call(register.Request{Key: "zone/" + zone}, func(o *Op) { got = o })
		w.Run(w.Now.Add(time.Second))
		if got != nil && got.Code == codes.OK {
			return got.Data, true
		}
	}
	return "", false
}

// As many disks are lost as the core bears, while every other machine loses power, those that don't count too: no memory
// is left that could help. It strikes at an acknowledgement or up to 400 ms after a change was sent, which may be while the
// quorum set changes. What was acknowledged, evacuations too, is there again, and the next round finds a whole core.
func TestDisksLostAsAllLosePower(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ counted, lame, lost int }{{3, 0, 1}, {3, 3, 1}, {4, 0, 1}, {4, 4, 1}, {5, 2, 2}, {6, 0, 2}, {9, 0, 4}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			t.Parallel()
			for seed := *from; seed < *from+16; seed++ {
				var lame []int
				for i := range x.lame {
					lame = append(lame, x.counted+i)
				}
				w := grown(seed, x.counted+x.lame, lame...)
				for _, h := range w.coreH { // slow enough that an answer which does not wait for the disk is found out
					h.Disk.Delay = time.Duration(2+w.Rng.IntN(40)) * time.Millisecond
				}
				w.Run(units.Time(6 * time.Second))
				text, num := w.put(t, 0)
				w.Evacuate("z2", true)
				if _, ok := w.until(6*time.Second, func() bool { return w.evac["z2"] > 0 }); !ok {
					t.Fatalf("%+v, seed %d: the evacuation was not acknowledged", x, seed)
				}
				for round := 1; round <= 4; round++ {
					next, nextNum := configText(round), units.Num(0)
					w.change("config", next, func(o *Op) {
						if o.Code == codes.OK {
							nextNum = o.Num
						}
					})
					if w.Rng.IntN(2) == 0 {
						w.until(6*time.Second, func() bool { return nextNum > 0 })
					} else {
						w.Run(w.Now.Add(time.Duration(w.Rng.Int64N(int64(400 * time.Millisecond)))))
					}
					w.powerLost(x.counted, x.lost, round+int(seed))
					w.Run(w.Now.Add(time.Second))
					w.powerBack()
					w.Run(w.Now.Add(300 * time.Millisecond))
					if nextNum > 0 {
						w.readBack(t, next, nextNum)
					} else if got := w.readNewest(t); got.Data != text && got.Data != next || got.Num < num {
						t.Fatalf("%+v, seed %d: acknowledged %d, read back %+v", x, seed, num, got)
					}
					if data, ok := w.zoneReadBack("z2"); !ok || data != `{"evacuated":true}` {
						t.Fatalf("%+v, seed %d: the evacuation is %q", x, seed, data)
					}
					if _, ok := w.until(12*time.Second, w.settled); !ok {
						t.Fatalf("%+v, seed %d: never whole again: %v", x, seed, w.voters())
					}
					text, num = w.put(t, 10+round)
				}
				for _, f := range w.Faults {
					t.Errorf("%+v, seed %d: %s", x, seed, f)
				}
			}
		})
	}
}
