package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// If all disks are full, an evacuation and configurations are stored in the reserve, acknowledged, and survive a kill of all
// controllers. Once the reserve is used up, a change is not acknowledged. TestEachFault checks that routers still learn of
// draining workers.
func TestEveryDiskFull(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+4; seed++ {
		w := NewWorld(Vatuloa, seed)
		w.Run(units.Time(4 * time.Second))
		w.fillDisks(time.Minute)
		results := map[string]*Op{}
		w.change("zone/v2", `{"evacuated":true}`, func(o *Op) { results["zone/v2"] = o })
		w.change("config", configText(1), func(o *Op) { results["config"] = o })
		w.Run(w.Now.Add(3 * time.Second))
		if a, b := results["zone/v2"], results["config"]; a == nil || b == nil || a.Code != resultcode.OK ||
			b.Code != resultcode.OK {
			t.Fatalf("seed %d: results with full disks: %+v, %+v", seed, a, b)
		}
		for _, h := range w.controllerHosts {
			w.Kill(h)
			w.Start(h)
		}
		w.Run(w.Now.Add(4 * time.Second))
		for key, o := range results {
			var reread *Op
			w.Call(register.Request{Key: key}, func(r *Op) { reread = r })
			w.Run(w.Now.Add(time.Second))
			if reread == nil || reread.Code != resultcode.OK || reread.Version != o.Version || reread.Data != o.Data {
				t.Errorf("seed %d: %s acknowledged as version %d, read %+v", seed, key, o.Version, reread)
			}
		}
		for _, h := range w.controllerHosts {
			h.Disk.reserveUsed = reserveRecords + 1
		}
		w.change("config", configText(2), func(o *Op) {
			if o.Code == resultcode.OK {
				t.Errorf("seed %d: acknowledged though the reserve is used up", seed)
			}
		})
		w.Run(w.Now.Add(8 * time.Second))
	}
}

// One controller is partitioned from the other controllers only, so the others still see it as alive through the routers.
// Whichever it is, reads and writes must succeed at the others.
func TestIsolatedFromOtherControllersOnly(t *testing.T) {
	t.Parallel()
	for _, deployment := range []Deployment{Vatuloa, Council} {
		for i := range deployment.ControllerZones {
			w := NewWorld(deployment, *firstSeed)
			w.Run(units.Time(5 * time.Second))
			w.change("config", configText(0), nil)
			w.Run(w.Now.Add(time.Second))
			isolated := w.controllerHosts[i]
			w.partition(time.Hour, func(a, b *Host) bool {
				return (a == isolated) != (b == isolated) && a.Disk != nil && b.Disk != nil
			})
			w.Run(w.Now.Add(6 * time.Second))
			for _, key := range []string{"config", "zone/t1", "zone/v1"} {
				for j, h := range w.controllerHosts {
					if j == i {
						continue
					}
					var readResult, writeResult register.Result
					w.controllers[h].Submit(w.Sim, register.Request{Key: key}, func(x register.Result) { readResult = x })
					w.Run(w.Now.Add(time.Second))
					w.controllers[h].Submit(w.Sim, register.Request{Key: key, Write: true,
						ExpectedVersion: readResult.Version, RequestID: h.Addr + key, Data: []byte(configText(j))},
						func(x register.Result) { writeResult = x })
					w.Run(w.Now.Add(time.Second))
					if readResult.Code != resultcode.OK || writeResult.Code != resultcode.OK {
						t.Errorf("%s without %s: %s read at %s: %d, written: %d", deployment.Name, isolated.Addr, key,
							h.Addr, readResult.Code, writeResult.Code)
					}
				}
			}
		}
	}
}

// Configurations of a thousand mappings are written ten times a second while a controller is killed. Each acknowledged one
// must reach every router in time, no router may go back to an older one, and the last must be read back.
func TestRapidLargeConfigurations(t *testing.T) {
	t.Parallel()
	w := NewWorld(Council, *firstSeed)
	large := func(n int) string {
		var b strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&b, `\nmapping m%d { when path = \"/x/%d\" to advice promise p20 repeat }`, i, i)
		}
		return strings.Replace(configText(n), `promise p20 repeat }"`, `promise p20 repeat }`+b.String()+`"`, 1)
	}
	if c, faults := config.Parse([]byte(large(1))); len(faults) > 0 || len(c.Mappings) != 1003 {
		t.Fatal(faults)
	}
	w.At(units.Time(3*time.Second), func() { w.change("config", configText(0), nil) })
	w.At(units.Time(8*time.Second), w.GenerateLoad)
	for i := range 30 {
		w.At(units.Time(10*time.Second)+units.Time(i)*units.Time(100*time.Millisecond),
			func() { w.change("config", large(i), nil) })
	}
	w.At(units.Time(11*time.Second), func() { w.restart(w.controllerHosts[1], 2*time.Second, true) })
	w.Run(units.Time(25 * time.Second))
	w.checkFinalState()
	if len(w.acknowledged) < 10 || len(w.Violations) > 0 {
		t.Errorf("%d acknowledged, %v", len(w.acknowledged), w.Violations[:min(3, len(w.Violations))])
	}
}
