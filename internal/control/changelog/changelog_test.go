package changelog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func appendEntries(t *testing.T, dir string, from, to uint64) {
	t.Helper()
	l, err := Open(dir, "core1")
	if err != nil {
		t.Fatal(err)
	}
	for n := from; n < to; n++ {
		if err := l.Append(Entry{Unix: int64(n), Key: "config", Version: n, SHA256: strings.Repeat("ab", 32)}); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
}

func readFile(t *testing.T, dir, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A log that was only appended to verifies; any change of its entries, its signature or its past does not.
func TestVerify(t *testing.T) {
	dir := t.TempDir()
	appendEntries(t, dir, 1, 4)
	older := readFile(t, dir, checkpointFile)
	appendEntries(t, dir, 4, 9)
	vkey := strings.TrimSpace(string(readFile(t, dir, publicKeyFile)))
	if n, err := Verify(dir, vkey, older); n != 8 || err != nil {
		t.Fatalf("a valid log: %d, %v", n, err)
	}
	lines, checkpoint := readFile(t, dir, entriesFile), readFile(t, dir, checkpointFile)
	other := t.TempDir()
	appendEntries(t, other, 1, 3)
	foreign := readFile(t, other, checkpointFile)
	at := bytes.IndexByte(lines, '\n') + 1
	for name, tampered := range map[string]struct{ lines, point, older []byte }{
		"an entry changed":                   {bytes.Replace(lines, []byte(`"number":2`), []byte(`"number":7`), 1), checkpoint, nil},
		"an entry removed":                   {lines[at:], checkpoint, nil},
		"the last entry removed":             {lines[:bytes.LastIndexByte(lines[:len(lines)-1], '\n')+1], checkpoint, nil},
		"a size changed":                     {lines, bytes.Replace(checkpoint, []byte("\n8\n"), []byte("\n7\n"), 1), nil},
		"the checkpoint of another log":      {lines, foreign, nil},
		"rolled back":                        {lines, older, checkpoint},
		"an older checkpoint of another log": {lines, checkpoint, foreign},
		"no checkpoint text":                 {lines, []byte("hello\n"), nil},
	} {
		if err := os.WriteFile(filepath.Join(dir, entriesFile), tampered.lines, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, checkpointFile), tampered.point, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Verify(dir, vkey, tampered.older); err == nil {
			t.Errorf("%s is not detected", name)
		}
	}
}
