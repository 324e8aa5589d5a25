package main

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"seamshunt/platform/standin"
)

// endVerb maps the verb that begins a lasting fault to the verb that ends it.
var endVerb = map[string]string{"kill": "start", "freeze": "thaw", "evacuate": "readmit", "silence": "wake", "slow": "fast"}

// affectsController reports whether a fault affects a controller; a fault of the machine's router alone doesn't.
func affectsController(disk map[string]bool, target string) bool {
	machine, program, _ := strings.Cut(target, ".")
	return disk[machine] && program != "router"
}

// A random schedule ends every fault, has overlapping faults, and never affects more controllers or workers at a time than the
// site tolerates.
func TestRandomPlan(t *testing.T) {
	machines := standin.Machines(8, 3, 5)
	disk := map[string]bool{}
	for _, m := range machines {
		disk[m.Name] = m.Disk
	}
	workers := []string{"w1", "w2", "w3", "w4", "w5"}
	overlaps, singlePrograms, multipleZones := 0, map[string]bool{}, false
	for seed := range uint64(200) {
		options := scheduleOptions{reversals: seed%2 == 1, partialFaults: seed%4 > 1, seed: seed}
		plan := newFaultSchedule(rand.New(rand.NewPCG(seed, 12)), machines, 5, workers, 30*time.Second, options)
		open := map[string]string{} // the verb that ends the fault of each affected target
		silent, down := 0, 0
		for i, e := range plan {
			if i > 0 && e.At < plan[i-1].At || e.At > 30*time.Second {
				t.Fatalf("seed %d: %v is out of order", seed, e)
			}
			if end := endVerb[e.Verb]; end != "" {
				if open[e.Target] != "" {
					t.Fatalf("seed %d: %v while another fault lasts there", seed, e)
				}
				open[e.Target] = end
			} else if open[e.Target] == e.Verb {
				delete(open, e.Target)
			}
			switch {
			case e.Verb == "silence":
				silent++
			case e.Verb == "wake":
				silent--
			case affectsController(disk, e.Target) && slices.Contains([]string{"kill", "freeze", "slow"}, e.Verb):
				down++
			case affectsController(disk, e.Target) && slices.Contains([]string{"start", "thaw", "fast"}, e.Verb):
				down--
			}
			evacuated := 0
			for _, end := range open {
				if end == "readmit" {
					evacuated++
				}
			}
			if silent > len(workers)/2 || down > 2 || evacuated > 2 || evacuated > 1 && !options.partialFaults {
				t.Fatalf("seed %d: %d silent workers, %d controllers down, %d zones evacuated", seed, silent, down, evacuated)
			}
			singlePrograms[e.Verb] = singlePrograms[e.Verb] || strings.Contains(e.Target, ".")
			multipleZones = multipleZones || evacuated > 1
			if len(open) > 1 {
				overlaps++
			}
		}
		if len(open) > 0 || len(plan) == 0 {
			t.Fatalf("seed %d: %d events, not ended: %v", seed, len(plan), open)
		}
	}
	if overlaps < 1000 {
		t.Errorf("only %d events overlap with another fault", overlaps)
	}
	if !singlePrograms["freeze"] || !singlePrograms["kill"] || !multipleZones {
		t.Errorf("faults of single programs: %v; several zones evacuated: %v", singlePrograms, multipleZones)
	}
}
