package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A whole deployment as real processes: 11 machines, 18 workers, a vane and a barometer killed and started again in
// the run, judged by what callers and workers wrote down.
func TestWholeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "seamshunt/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	c := exec.Command(filepath.Join(bin, "gale"), "fleet", "--deploy", "deploy/council.json", "--seconds", "8", "--rate", "10",
		"--events", "11:kill:n11,12:start:n11,13:kill:core2,14:start:core2,15:leave:w01")
	c.Dir = "../.."
	out, err := c.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "answers whole") || strings.Contains(string(out), " 0 answers whole") {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Logf("%s", out)
}
