package controller

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"seamshunt/internal/testutil"
)

// logged runs f with the standard error stream in a file, and gives what f wrote there.
func logged(t *testing.T, f func()) string {
	t.Helper()
	out, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	old := os.Stderr
	os.Stderr = out
	f()
	os.Stderr = old
	b, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// A wrong checksum in the last record of a log that was answered for: the disk starts as a learner under another
// identity, never votes, founds no new fleet, and says so in the log, in a metric and in the status; after one more start
// it still is no founder.
func TestDamagedDiskSaysSo(t *testing.T) {
	dir := t.TempDir()
	c := alone(t, dir)
	testutil.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", configText); return code == 200 })
	if _, b := call(t, c, "GET", "/metrics", ""); !bytes.Contains(b, []byte("seamshunt_disk_damaged 0\n")) {
		t.Error("a whole disk is said to be damaged")
	}
	was := c.Self
	c.Drain()
	path := filepath.Join(dir, "wal")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)-1] ^= 1
	if err := os.WriteFile(path, b, 0o644); err != nil {
		t.Fatal(err)
	}
	lines := logged(t, func() { c = alone(t, dir) })
	if !strings.Contains(lines, "the disk is damaged") || !strings.Contains(lines, "learner") {
		t.Errorf("the log says %q", lines)
	}
	check := func(damaged bool) {
		t.Helper()
		var x struct {
			State string
			Disk  struct {
				Damaged  string
				SetAside bool `json:"set_aside"`
			}
		}
		_, b := call(t, c, "GET", "/status", "")
		if err := json.Unmarshal(b, &x); err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(x.State, "learner") || (x.Disk.Damaged != "") != damaged || !x.Disk.SetAside {
			t.Errorf("the status says %+v", x)
		}
		want := "seamshunt_disk_damaged 0\n"
		if damaged {
			want = "seamshunt_disk_damaged 1\n"
		}
		if _, b := call(t, c, "GET", "/metrics", ""); !bytes.Contains(b, []byte(want)) {
			t.Errorf("the metrics lack %q", want)
		}
		if code, b := call(t, c, "GET", "/v1/config", ""); code != 503 {
			t.Errorf("a read is answered %d %s", code, b)
		}
		if c.Self == was || c.voters().Version != 0 {
			t.Errorf("node %v, was %v; voters %v", c.Self, was, c.voters())
		}
	}
	check(true)
	c.Drain()
	c = alone(t, dir)
	t.Cleanup(func() { c.Drain() })
	check(false)
}
