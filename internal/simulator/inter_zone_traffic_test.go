package simulator

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Measures the system's own traffic between zones, idle and under load, at three sizes. The membership traffic per node must
// not grow with the fleet (docs/design.md, section 5).
func TestTrafficBetweenZones(t *testing.T) {
	t.Parallel()
	quiet := map[int]float64{}
	sizes := []int{11, 50}
	if *seedCount > 2 { // skipped in CI
		sizes = append(sizes, 100)
	}
	for _, size := range sizes {
		p := Council
		for len(p.ControllerZones)+len(p.RouterZones) < size {
			p.RouterZones = append(p.RouterZones, p.ControllerZones[len(p.RouterZones)%4])
			p.WorkerZones = append(p.WorkerZones, p.ControllerZones[len(p.WorkerZones)%4])
		}
		w := NewWorld(p, 1)
		w.At(units.Time(3*time.Second), func() { w.change("config", configText(0), nil) })
		w.Run(units.Time(15 * time.Second))
		line := ""
		for _, rate := range []float64{0, 40} {
			w.requestRate = rate
			if rate > 0 {
				w.GenerateLoad()
			}
			clear(w.InterZoneBytes)
			w.Run(w.Now.Add(20 * time.Second))
			all := 0
			for _, k := range message.SortedKeys(w.InterZoneBytes) {
				all += w.InterZoneBytes[k]
			}
			line += fmt.Sprintf("; %v requests a second: %.2f kB/s: membership %.2f, configuration %.2f, control %.2f, permits %.2f, claims %.2f", rate, float64(all)/20e3,
				float64(w.InterZoneBytes[message.KindMembership])/20e3,
				float64(w.InterZoneBytes[message.KindConfigPush])/20e3,
				float64(w.InterZoneBytes[message.KindRegister]+w.InterZoneBytes[message.KindLease]+w.InterZoneBytes[message.KindAntiEntropy])/20e3,
				float64(w.InterZoneBytes[message.KindCapacity])/20e3, float64(w.InterZoneBytes[message.KindClaim])/20e3)
			if rate == 0 {
				quiet[size] = float64(w.InterZoneBytes[message.KindMembership]) / float64(size)
			}
		}
		t.Logf("%d nodes%s", size, line)
		if len(w.Violations) > 0 {
			t.Errorf("%d nodes: %v", size, w.Violations[:min(3, len(w.Violations))])
		}
	}
	for size, x := range quiet {
		if x > 2*quiet[11] {
			t.Errorf("with %d nodes each sends %.0f bytes of membership in 20 s, with 11 nodes %.0f", size, x, quiet[11])
		}
	}
}
