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

// Every disk full at once: an evacuation and configurations are acknowledged from the reserve and outlive the loss of
// all power; a leaving mark reaches every router (TestEachTrouble); beyond the reserve a change is refused.
func TestEveryDiskFull(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+4; seed++ {
		w := NewWorld(Vatuloa, seed)
		w.Run(units.Time(4 * time.Second))
		w.fillDisks(time.Minute)
		got := map[string]*Op{}
		w.change("zone/v2", `{"evacuated":true}`, func(o *Op) { got["zone/v2"] = o })
		w.change("config", configText(1), func(o *Op) { got["config"] = o })
		w.Run(w.Now.Add(3 * time.Second))
		if a, b := got["zone/v2"], got["config"]; a == nil || b == nil || a.Code != resultcode.OK || b.Code != resultcode.OK {
			t.Fatalf("seed %d: on full disks: %+v, %+v", seed, a, b)
		}
		for _, h := range w.controllerHosts {
			w.Kill(h)
			w.Start(h)
		}
		w.Run(w.Now.Add(4 * time.Second))
		for key, o := range got {
			var back *Op
			w.Call(register.Request{Key: key}, func(r *Op) { back = r })
			w.Run(w.Now.Add(time.Second))
			if back == nil || back.Code != resultcode.OK || back.Version != o.Version || back.Data != o.Data {
				t.Errorf("seed %d: %s acknowledged as %d, read back %+v", seed, key, o.Version, back)
			}
		}
		for _, h := range w.controllerHosts {
			h.Disk.reserveUsed = reserveRecords + 1
		}
		w.change("config", configText(2), func(o *Op) {
			if o.Code == resultcode.OK {
				t.Errorf("seed %d: acknowledged with no room left", seed)
			}
		})
		w.Run(w.Now.Add(8 * time.Second))
	}
}

// One core machine is cut off from the others alone, so that everybody still sees it by way of the routers: whichever it
// is, changes and reads go on at the others.
func TestIsolatedFromOtherControllersOnly(t *testing.T) {
	t.Parallel()
	for _, p := range []Deployment{Vatuloa, Council} {
		for i := range p.ControllerZones {
			w := NewWorld(p, *firstSeed)
			w.Run(units.Time(5 * time.Second))
			w.change("config", configText(0), nil)
			w.Run(w.Now.Add(time.Second))
			lone := w.controllerHosts[i]
			w.partition(time.Hour, func(a, b *Host) bool { return (a == lone) != (b == lone) && a.Disk != nil && b.Disk != nil })
			w.Run(w.Now.Add(6 * time.Second))
			for _, key := range []string{"config", "zone/t1", "zone/v1"} {
				for j, h := range w.controllerHosts {
					if j == i {
						continue
					}
					var r, wr register.Result
					w.controllers[h].Submit(w.Sim, register.Request{Key: key}, func(x register.Result) { r = x })
					w.Run(w.Now.Add(time.Second))
					w.controllers[h].Submit(w.Sim, register.Request{Key: key, Write: true, ExpectedVersion: r.Version, RequestID: h.Addr + key, Data: []byte(configText(j))}, func(x register.Result) { wr = x })
					w.Run(w.Now.Add(time.Second))
					if r.Code != resultcode.OK || wr.Code != resultcode.OK {
						t.Errorf("%s without %s: %s read at %s: %d, written: %d", p.Name, lone.Addr, key, h.Addr, r.Code, wr.Code)
					}
				}
			}
		}
	}
}

// A storm of configurations of a thousand mappings each, with a core machine killed in it: each that is acknowledged is
// in force in time on every router, none slides back, and the last is read back.
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
		w.At(units.Time(10*time.Second)+units.Time(i)*units.Time(100*time.Millisecond), func() { w.change("config", large(i), nil) })
	}
	w.At(units.Time(11*time.Second), func() { w.restart(w.controllerHosts[1], 2*time.Second, true) })
	w.Run(units.Time(25 * time.Second))
	w.checkFinalState()
	if len(w.acknowledged) < 10 || len(w.Violations) > 0 {
		t.Errorf("%d acknowledged, %v", len(w.acknowledged), w.Violations[:min(3, len(w.Violations))])
	}
}
