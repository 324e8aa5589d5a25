package changelog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A power loss may leave any file that was not synced torn or empty. The node starts nevertheless, and what it records from then
// on verifies.
func TestTornKey(t *testing.T) {
	for _, torn := range []string{"", "PRIVATE+KEY+", "core1+0"} {
		dir := t.TempDir()
		appendEntries(t, dir, 1, 3)
		if err := os.WriteFile(filepath.Join(dir, secretKeyFile), []byte(torn), 0o600); err != nil {
			t.Fatal(err)
		}
		appendEntries(t, dir, 3, 6)
		vkey := strings.TrimSpace(string(readFile(t, dir, publicKeyFile)))
		if n, err := Verify(dir, vkey, nil); n != 3 || err != nil {
			t.Errorf("key %q: %d entries, %v", torn, n, err)
		}
		if l, _ := filepath.Glob(filepath.Join(dir, entriesFile+".damaged-*")); len(l) != 1 {
			t.Errorf("key %q: the old log is not kept: %v", torn, l)
		}
	}
}
