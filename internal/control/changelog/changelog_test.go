package changelog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func fill(t *testing.T, dir string, from, to uint64) {
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

func get(t *testing.T, dir, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A record that only grew verifies; every planted change of it, of its signature, or of its past does not.
func TestVerify(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir, 1, 4)
	older := get(t, dir, checkpoint)
	fill(t, dir, 4, 9)
	vkey := strings.TrimSpace(string(get(t, dir, public)))
	if n, err := Verify(dir, vkey, older); n != 8 || err != nil {
		t.Fatalf("a good record: %d, %v", n, err)
	}
	lines, point := get(t, dir, leaves), get(t, dir, checkpoint)
	other := t.TempDir()
	fill(t, other, 1, 3)
	foreign := get(t, other, checkpoint)
	at := bytes.IndexByte(lines, '\n') + 1
	for name, x := range map[string]struct{ lines, point, older []byte }{
		"an entry changed":   {bytes.Replace(lines, []byte(`"number":2`), []byte(`"number":7`), 1), point, nil},
		"an entry gone":      {lines[at:], point, nil},
		"the last one gone":  {lines[:bytes.LastIndexByte(lines[:len(lines)-1], '\n')+1], point, nil},
		"a size changed":     {lines, bytes.Replace(point, []byte("\n8\n"), []byte("\n7\n"), 1), nil},
		"another's":          {lines, foreign, nil},
		"rolled back":        {lines, older, point},
		"another past":       {lines, point, foreign},
		"no checkpoint text": {lines, []byte("hello\n"), nil},
	} {
		if err := os.WriteFile(filepath.Join(dir, leaves), x.lines, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, checkpoint), x.point, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Verify(dir, vkey, x.older); err == nil {
			t.Errorf("%s is not seen", name)
		}
	}
}
