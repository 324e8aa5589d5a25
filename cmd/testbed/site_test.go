package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A fleet of real processes, configured by settings files: one machine is killed and started again, one restarted gracefully, a
// zone evacuated, a worker drained, and two operators race. All rules hold. A run that violates a rule exits with code 1.
func TestSite(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin := build(t)
	c := exec.Command(filepath.Join(bin, "testbed"), "site", "--seconds", "8", "--rate", "12",
		"--events", "1:kill:edge-z1-1,2:start:edge-z1-1,2.5:leave:w1,3:evacuate:z3,4:storm,5:readmit:z3,6:restart:edge-z2-2")
	out, err := c.CombinedOutput()
	if err != nil || strings.Count(string(out), "\nkept ") < 12 || strings.Contains(string(out), " 0 answers whole") {
		t.Errorf("%v\n%s", err, out)
	}
	t.Logf("%s", out)
	c = exec.Command(filepath.Join(bin, "testbed"), "site", "--machines", "1", "--zones", "1", "--disks", "1", "--workers", "1", "--seconds", "1", "--served", "1.01")
	out, _ = c.CombinedOutput()
	if c.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "BROKEN  served") {
		t.Errorf("exit code %d\n%s", c.ProcessState.ExitCode(), out)
	}
}

// Faults drawn from the seed, overlapping, while clients disconnect early and workers stop answering.
func TestSiteRandom(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin := build(t)
	for _, seed := range []string{"1", "2"} {
		c := exec.Command(filepath.Join(bin, "testbed"), "site", "--machines", "7", "--workers", "6", "--seconds", "14", "--rate", "40",
			"--leave", "0.4", "--random", "--seed", seed)
		out, err := c.CombinedOutput()
		if err != nil || strings.Contains(string(out), " 0 callers left") {
			t.Errorf("seed %s: %v\n%s", seed, err, out)
		}
		t.Logf("%s", out)
	}
}

// EVAC: evacuations are withdrawn and repeated while controllers are paused, by operators that close their connections, reuse
// them, or abandon them on a timeout; also while single programs are paused or killed, machines run slowly, and several zones are
// evacuated.
func TestSiteOrders(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin := build(t)
	for seed, more := range map[string][]string{"9101": nil, "9113": nil, "12004": {"--machines", "9", "--disks", "5", "--partial"}} {
		t.Run(seed, func(t *testing.T) {
			t.Parallel()
			c := exec.Command(filepath.Join(bin, "testbed"), append([]string{"site", "--machines", "7", "--workers", "6", "--seconds", "30", "--rate", "30",
				"--leave", "0.1", "--random", "--orders", "--seed", seed}, more...)...)
			out, err := c.CombinedOutput()
			if err != nil || strings.Count(string(out), "s: evacuate") < 4 {
				t.Errorf("%v\n%s", err, out)
			}
			t.Logf("%s", out)
		})
	}
}

// LOST: streams that last for nearly the grace period are sent to routers that were stopped a moment before, while the
// configuration changes.
func TestSiteRolls(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	t.Parallel()
	c := exec.Command(filepath.Join(build(t), "testbed"), "site", "--machines", "9", "--disks", "5", "--workers", "9", "--seconds", "40", "--rate", "30",
		"--random", "--rolls", "--reviews", "0.08", "--seed", "13003")
	out, err := c.CombinedOutput()
	if err != nil || strings.Count(string(out), "s: restart") < 8 {
		t.Errorf("%v\n%s", err, out)
	}
	t.Logf("%s", out)
}
