package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// build builds all programs and returns their directory.
func build(t *testing.T, args ...string) string {
	t.Helper()
	bin := t.TempDir()
	args = append(append([]string{"build"}, args...), "-o", bin, "seamshunt/cmd/...")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

func runFleet(t *testing.T, bin, deploy, events string) {
	t.Helper()
	c := exec.Command(filepath.Join(bin, "testbed"), "fleet", "--deploy", deploy, "--seconds", "8", "--rate", "10", "--events", events)
	c.Dir = "../.."
	out, err := c.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "answers whole") || strings.Contains(string(out), " 0 answers whole") {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Logf("%s", out)
}

// A whole deployment as real processes: 11 machines, 18 workers, a router and a controller killed and started again in
// the run, checked against the journals of clients and workers.
func TestWholeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	runFleet(t, build(t), "deploy/council.json", "11:kill:n11,12:start:n11,13:kill:core2,14:start:core2,15:leave:w01")
}

// Network partitions between real processes: the controllers in two halves while a worker is marked as draining, one
// controller from the platform, one machine in one direction, and packet loss.
func TestCutFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin := build(t, "-tags", "cuts")
	runFleet(t, bin, "deploy/council.json", "10.5:cut:core,11:leave:w01,14:heal,14.5:cut:core1:platform,15:lossy:10,16:cut:n11:out,17:heal")
	for _, name := range []string{"router", "controller"} {
		for dir, want := range map[string]bool{bin: true, build(t): false} {
			b, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				t.Fatal(err)
			}
			if got := bytes.Contains(b, []byte("built for being cut off")) || bytes.Contains(b, []byte("SEAMSHUNT_CUTS")); got != want {
				t.Errorf("%s contains the code for partitions: %v, want %v", name, got, want)
			}
		}
	}
}
