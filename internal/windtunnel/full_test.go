package windtunnel

import (
	"testing"
	"time"

	"seamshunt/internal/barograph"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// Every disk full at once: an evacuation and configurations are acknowledged from the reserve and outlive the loss of
// all power; a leaving mark reaches every vane (TestEachTrouble); beyond the reserve a change is refused.
func TestEveryDiskFull(t *testing.T) {
	for seed := *from; seed < *from+4; seed++ {
		w := NewWorld(Vatuloa, seed)
		w.Run(units.Time(4 * time.Second))
		w.fill(time.Minute)
		got := map[string]*Op{}
		w.change("zone/v2", `{"evacuated":true}`, func(o *Op) { got["zone/v2"] = o })
		w.change("config", configText(1), func(o *Op) { got["config"] = o })
		w.Run(w.Now.Add(3 * time.Second))
		if a, b := got["zone/v2"], got["config"]; a == nil || b == nil || a.Code != synop.OK || b.Code != synop.OK {
			t.Fatalf("seed %d: on full disks: %+v, %+v", seed, a, b)
		}
		for _, h := range w.coreH {
			w.Kill(h)
			w.Start(h)
		}
		w.Run(w.Now.Add(4 * time.Second))
		for key, o := range got {
			var back *Op
			w.Call(barograph.Ask{Key: key}, func(r *Op) { back = r })
			w.Run(w.Now.Add(time.Second))
			if back == nil || back.Code != synop.OK || back.Num != o.Num || back.Data != o.Data {
				t.Errorf("seed %d: %s acknowledged as %d, read back %+v", seed, key, o.Num, back)
			}
		}
		for _, h := range w.coreH {
			h.Disk.used = reserve + 1
		}
		w.change("config", configText(2), func(o *Op) {
			if o.Code == synop.OK {
				t.Errorf("seed %d: acknowledged with no room left", seed)
			}
		})
		w.Run(w.Now.Add(8 * time.Second))
	}
}
