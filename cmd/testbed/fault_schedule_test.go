package main

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"seamshunt/platform/standin"
)

// endOf names what ends each trouble that lasts.
var endOf = map[string]string{"kill": "start", "freeze": "thaw", "evacuate": "readmit", "silence": "wake", "slow": "fast"}

// loses says whether a trouble takes a machine of the core, which its router alone doesn't.
func loses(disk map[string]bool, on string) bool {
	machine, program, _ := strings.Cut(on, ".")
	return disk[machine] && program != "router"
}

// A random plan ends what it begins, overlaps, and never takes more of the core or of the workers than the site bears.
func TestRandomPlan(t *testing.T) {
	machines := standin.Machines(8, 3, 5)
	disk := map[string]bool{}
	for _, m := range machines {
		disk[m.Name] = m.Disk
	}
	workers := []string{"w1", "w2", "w3", "w4", "w5"}
	overlaps, single, severally := 0, map[string]bool{}, false
	for seed := range uint64(200) {
		options := planOptions{orders: seed%2 == 1, partial: seed%4 > 1, seed: seed}
		plan := newRandomPlan(rand.New(rand.NewPCG(seed, 12)), machines, 5, workers, 30*time.Second, options)
		open := map[string]string{} // what ends the trouble that a thing is in
		silent, down := 0, 0
		for i, e := range plan {
			if i > 0 && e.At < plan[i-1].At || e.At > 30*time.Second {
				t.Fatalf("seed %d: %v is out of order", seed, e)
			}
			if end := endOf[e.Verb]; end != "" {
				if open[e.Target] != "" {
					t.Fatalf("seed %d: %v while another trouble lasts there", seed, e)
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
			case loses(disk, e.Target) && slices.Contains([]string{"kill", "freeze", "slow"}, e.Verb):
				down++
			case loses(disk, e.Target) && slices.Contains([]string{"start", "thaw", "fast"}, e.Verb):
				down--
			}
			evacuated := 0
			for _, end := range open {
				if end == "readmit" {
					evacuated++
				}
			}
			if silent > len(workers)/2 || down > 2 || evacuated > 2 || evacuated > 1 && !options.partial {
				t.Fatalf("seed %d: %d silent workers, %d of the core down, %d zones evacuated", seed, silent, down, evacuated)
			}
			single[e.Verb] = single[e.Verb] || strings.Contains(e.Target, ".")
			severally = severally || evacuated > 1
			if len(open) > 1 {
				overlaps++
			}
		}
		if len(open) > 0 || len(plan) == 0 {
			t.Fatalf("seed %d: %d events, left behind: %v", seed, len(plan), open)
		}
	}
	if overlaps < 1000 {
		t.Errorf("%d events beside another trouble: it shows nothing", overlaps)
	}
	if !single["freeze"] || !single["kill"] || !severally {
		t.Errorf("troubles of single programs: %v; several zones evacuated: %v", single, severally)
	}
}
