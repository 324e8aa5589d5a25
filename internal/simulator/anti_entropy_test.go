package simulator

import (
	"testing"
	"time"

	"seamshunt/internal/units"
)

// A voter that missed writes is repaired even if those keys are never written again (docs/design.md, section 2).
func TestAntiEntropyRepair(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+3; seed++ {
		w := NewWorld(Vatuloa, seed)
		w.Run(units.Time(5 * time.Second))
		lost := w.controllerHosts[int(seed)%3]
		w.Kill(lost)
		w.RefuseConnections(lost)
		w.Run(w.Now.Add(2 * time.Second))
		for i, z := range []string{"v1", "v2", "v3"} {
			w.After(time.Duration(i)*300*time.Millisecond, func() { w.Evacuate(z, true) })
		}
		w.change("config", configText(1), nil)
		w.Run(w.Now.Add(2 * time.Second))
		w.Start(lost)
		restarted := len(w.controllers[lost].Replica.StoredVersions())
		w.Run(w.Now.Add(20 * time.Second))
		w.checkReplicasAgree()
		if repaired := len(w.controllers[lost].Replica.StoredVersions()); restarted >= repaired || repaired != 5 {
			t.Errorf("seed %d: %d keys after its restart, %d after the repair, want 5", seed, restarted, repaired)
		}
		if len(w.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.Violations)
		}
	}
}
