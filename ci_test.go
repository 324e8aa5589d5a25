package seamshunt

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// runCITest runs .ci/test on the module in testdata/known-red.txtar with this text as KNOWN-RED.txt, or without the file if
// the text is "-".
func runCITest(t *testing.T, knownRed string) (output string, passed bool) {
	t.Helper()
	script, err := filepath.Abs(".ci/test")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	module, err := txtar.ParseFile("testdata/known-red.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range module.Files {
		write(file.Name, string(file.Data))
	}
	if knownRed != "-" {
		write("KNOWN-RED.txt", knownRed)
	}
	command := exec.Command(script)
	command.Dir = dir
	out, err := command.CombinedOutput()
	return string(out), err == nil
}

// CI skips exactly the tests that KNOWN-RED.txt names, and prints its lines. An invalid file fails CI.
func TestKnownRed(t *testing.T) {
	const red, redder = "TestRed, a fault, in words, issue 1", "TestRedder, a fault, issue 2"
	for _, test := range []struct {
		name, knownRed string
		passed         bool
		wanted         []string // in the output
		unwanted       []string
	}{
		{"no file", "-", false, []string{"FAIL: TestRed ", "FAIL: TestRedder"}, []string{"-skip"}},
		{"empty file", "\n", false, []string{"FAIL: TestRed ", "FAIL: TestRedder"}, []string{"-skip"}},
		{"both", red + "\n" + redder + "\n", true, []string{red, redder, "PASS: TestGreen"}, []string{"RUN   TestRed"}},
		{"one of them", red + "\n", false, []string{red, "FAIL: TestRedder"}, []string{"RUN   TestRed\n"}},
		{"no such test", red + "\nTestNone, a fault, issue 2\n", false, []string{"TestNone is declared in 0 test files"}, []string{"go test"}},
		{"a beginning of names", "TestRe, a fault, issue 2\n", false, []string{"TestRe is declared in 0 test files"}, []string{"go test"}},
		{"in two packages", "TestGreen, a fault, issue 2\n", false, []string{"TestGreen is declared in 2 test files"}, []string{"go test"}},
		{"a pattern", "Test.*, a fault, issue 2\n", false, []string{"not of the form"}, []string{"go test"}},
		{"no cause", "TestRed, , issue 1\n", false, []string{"not of the form"}, []string{"go test"}},
		{"no issue", "TestRed, a fault\n", false, []string{"not of the form"}, []string{"go test"}},
		{"four lines", strings.Repeat(red+"\n", 4), false, []string{"4 lines, 3 at most"}, []string{"go test"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			output, passed := runCITest(t, test.knownRed)
			if passed != test.passed {
				t.Errorf("passed: %v", passed)
			}
			for _, text := range test.wanted {
				if !strings.Contains(output, text) {
					t.Errorf("the output lacks %q", text)
				}
			}
			for _, text := range test.unwanted {
				if strings.Contains(output, text) {
					t.Errorf("the output has %q", text)
				}
			}
			if t.Failed() {
				t.Log(output)
			}
		})
	}
}
