package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"seamshunt/internal/testutil"
)

// The shipped programs contain no package that starts processes, and no test double.
func TestShippedPrograms(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "seamshunt/cmd/router", "seamshunt/cmd/controller").Output()
	if err != nil || !strings.Contains(string(out), "seamshunt/internal/router\n") {
		t.Fatalf("%v: %s", err, out)
	}
	for _, bad := range []string{"os/exec", "seamshunt/internal/localfleet", "seamshunt/internal/standin", "seamshunt/platform/standin", "testing"} {
		if strings.Contains("\n"+string(out), "\n"+bad+"\n") {
			t.Errorf("they contain package %s", bad)
		}
	}
}

// The commands that docs/operators.md shows, run as a new user would against a fleet of real processes under traffic.
func TestOperatorsPages(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of real processes")
	}
	bin, dir := build(t), t.TempDir()
	fleet := exec.Command(filepath.Join(bin, "testbed"), "fleet", "--seconds", "10", "--rate", "10", "--dir", dir)
	fleet.Dir = "../.."
	pipe, err := fleet.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Start(); err != nil {
		t.Fatal(err)
	}
	lines, output := bufio.NewScanner(pipe), ""
	at := ""
	for at == "" && lines.Scan() {
		output += lines.Text() + "\n"
		if m := regexp.MustCompile(`controller at (\S+),`).FindStringSubmatch(lines.Text()); m != nil {
			at = m[1]
		}
	}
	good := func(args ...string) []byte {
		t.Helper()
		out, err := exec.Command(filepath.Join(bin, "controller"), args...).Output()
		if err != nil {
			t.Errorf("controller %v: %v\n%s", args, err, out)
		}
		return out
	}
	confirm := func(b []byte) {
		t.Helper()
		var x struct{ Plan string }
		if json.Unmarshal(b, &x) != nil || x.Plan == "" {
			t.Fatalf("no plan in %s", b)
		}
		good("confirm", "--at", at, x.Plan)
	}
	now := good("show", "--at", at)
	if want, err := os.ReadFile("../../deploy/vatuloa-config.json"); err != nil || !bytes.Equal(now, want) {
		t.Errorf("show returns %d bytes, %d were applied", len(now), len(want))
	}
	file := filepath.Join(dir, "new.json")
	if err := os.WriteFile(file, bytes.Replace(now, []byte(`"cap": 4`), []byte(`"cap": 3`), 1), 0o644); err != nil {
		t.Fatal(err)
	}
	testutil.WaitUntil(t, "the plan includes the workers", func() bool {
		plan := good("plan", "--at", at, file)
		if !bytes.Contains(plan, []byte("cap 4 to 3")) {
			t.Fatalf("the plan is %s", plan)
		}
		return bytes.Contains(plan, []byte("54 in flight"))
	})
	confirm(good("evacuate", "--at", at, "v2"))
	if out := good("status", "--at", at); !bytes.Contains(out, []byte("routers_at_it")) || !bytes.Contains(out, []byte(`"state": "voter"`)) {
		t.Errorf("status is %s", out)
	}
	confirm(good("readmit", "--at", at, "v2"))
	if out := good("promises", "--at", at); !bytes.Contains(out, []byte(`"routers_answered": 9`)) {
		t.Errorf("promises is %s", out)
	}
	records := 0
	for _, core := range []string{"core1", "core2", "core3"} {
		data := filepath.Join(dir, core+".data")
		if _, err := os.Stat(filepath.Join(data, "audit.checkpoint")); err != nil {
			continue // it acknowledged no change itself
		}
		if out := good("verify", "--dir", data, "--key", filepath.Join(data, "audit.pub")); bytes.Contains(out, []byte("entries")) {
			records++
		}
	}
	if records == 0 {
		t.Error("no controller's audit record contains the changes")
	}
	for lines.Scan() {
		output += lines.Text() + "\n"
	}
	if err := fleet.Wait(); err != nil || !strings.Contains(output, "answers whole") {
		t.Errorf("%v\n%s", err, output)
	}
}
