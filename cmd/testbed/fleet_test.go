package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// build makes all programs, and gives their folder.
func build(t *testing.T, args ...string) string {
	t.Helper()
	bin := t.TempDir()
	args = append(append([]string{"build"}, args...), "-o", bin, "seamshunt/cmd/...")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

func run(t *testing.T, bin, deploy, events string) {
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
// the run, judged by what callers and workers wrote down.
func TestWholeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	run(t, build(t), "deploy/council.json", "11:kill:n11,12:start:n11,13:kill:core2,14:start:core2,15:leave:w01")
}

// Real cuts between real processes: the core in two with a leaving mark meanwhile, a zone, one machine one way, one
// controller's way to the platform, a lossy net.
func TestCutFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin := build(t, "-tags", "cuts")
	run(t, bin, "deploy/council.json", "10.5:cut:core,11:leave:w01,14:heal,14.5:cut:core1:platform,15:lossy:10,16:cut:n11:out,17:heal")
	for _, name := range []string{"router", "controller"} {
		for dir, want := range map[string]bool{bin: true, build(t): false} {
			b, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				t.Fatal(err)
			}
			if got := bytes.Contains(b, []byte("built for being cut off")) || bytes.Contains(b, []byte("SEAMSHUNT_CUTS")); got != want {
				t.Errorf("%s with what cuts it off: %v, want %v", name, got, want)
			}
		}
	}
}
