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

// captureLog runs f with standard error redirected to a file and returns what f wrote there.
func captureLog(t *testing.T, f func()) string {
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

// TestDamagedDiskIsReported corrupts the checksum of a log's last record, which was acknowledged. The node must start as
// a learner with a new identity, never vote, not bootstrap a new fleet, and report the damage in the log, in a metric and
// in the status. After a further restart it still must not bootstrap.
func TestDamagedDiskIsReported(t *testing.T) {
	dir := t.TempDir()
	c := startSingle(t, dir)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	if _, b := sendRequest(t, c, "GET", "/metrics", ""); !bytes.Contains(b, []byte("seamshunt_disk_damaged 0\n")) {
		t.Error("an intact disk is reported as damaged")
	}
	originalID := c.Self
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
	lines := captureLog(t, func() { c = startSingle(t, dir) })
	if !strings.Contains(lines, "the disk is damaged") || !strings.Contains(lines, "learner") {
		t.Errorf("the log has %q", lines)
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
		_, b := sendRequest(t, c, "GET", "/status", "")
		if err := json.Unmarshal(b, &x); err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(x.State, "learner") || (x.Disk.Damaged != "") != damaged || !x.Disk.SetAside {
			t.Errorf("the status has %+v", x)
		}
		want := "seamshunt_disk_damaged 0\n"
		if damaged {
			want = "seamshunt_disk_damaged 1\n"
		}
		if _, b := sendRequest(t, c, "GET", "/metrics", ""); !bytes.Contains(b, []byte(want)) {
			t.Errorf("the metrics lack %q", want)
		}
		if code, b := sendRequest(t, c, "GET", "/v1/config", ""); code != 503 {
			t.Errorf("a read got %d %s", code, b)
		}
		if c.Self == originalID || c.quorumSet().Version != 0 {
			t.Errorf("node %v, was %v; voters %v", c.Self, originalID, c.quorumSet())
		}
	}
	check(true)
	c.Drain()
	c = startSingle(t, dir)
	t.Cleanup(func() { c.Drain() })
	check(false)
}
