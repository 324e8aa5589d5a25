package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"seamshunt/internal/storage/wal"
	"seamshunt/internal/testutil"
)

// A stalled disk blocks neither the wires nor the loops nor the operators' door: the node says that it is unfit,
// and is itself again once the disk moves.
func TestStalledDiskBlocksNothing(t *testing.T) {
	t.Parallel()
	c := alone(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", configText); return code == 200 })
	held := make(chan struct{})
	c.disk.mu.Lock()
	c.disk.fault = func() error { <-held; return nil }
	c.disk.mu.Unlock()
	if code, b := call(t, c, "PUT", "/v1/config?number=1", configText+" "); code != 502 {
		t.Errorf("a write that the disk never takes: %d %s", code, b)
	}
	unfit := func() bool {
		var x struct {
			Node    string
			Members []struct {
				Node  string
				Unfit bool
			}
		}
		code, b := call(t, c, "GET", "/status", "")
		if code != 200 || json.Unmarshal(b, &x) != nil {
			t.Fatalf("no status: %d %s", code, b)
		}
		for _, m := range x.Members {
			if m.Node == x.Node {
				return m.Unfit
			}
		}
		return false
	}
	testutil.Until(t, "it says that it is unfit", unfit)
	c.disk.mu.Lock()
	c.disk.fault = nil
	c.disk.mu.Unlock()
	close(held)
	testutil.Until(t, "it is fit again", func() bool { return !unfit() })
	testutil.Until(t, "writes go on", func() bool {
		code, _ := call(t, c, "PUT", "/v1/config?number=1", configText+" ")
		return code == 200 || code == 409
	})
}

// After a failed sync the machine is rebuilt from what the file holds: nothing unsynced is believed or answered.
func TestFailedSyncIsForgotten(t *testing.T) {
	t.Parallel()
	c := alone(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", configText); return code == 200 })
	c.disk.mu.Lock()
	c.disk.fault = func() error {
		c.disk.mu.Lock()
		c.disk.fault = nil // once
		c.disk.mu.Unlock()
		return fmt.Errorf("%w: planted", wal.ErrFailed)
	}
	c.disk.mu.Unlock()
	code, _ := call(t, c, "PUT", "/v1/config?number=1", configText+"   ")
	testutil.Until(t, "it reads again", func() bool { code, _ := call(t, c, "GET", "/v1/config", ""); return code == 200 })
	_, b := call(t, c, "GET", "/v1/config", "")
	if code == 200 && string(b) != configText+"   " || code != 200 && string(b) != configText && string(b) != configText+"   " {
		t.Errorf("answered %d, read back %q", code, b)
	}
}

// A node that is unfit because its last sync was slow owns no keys, so that nothing may come to be written. It tries its
// disk all the same, and is fit again.
func TestSlowSyncIsTriedAgain(t *testing.T) {
	t.Parallel()
	c := alone(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.Until(t, "it founds itself", func() bool { code, _ := call(t, c, "GET", "/v1/config", ""); return code == 404 })
	slow := func() {
		c.disk.mu.Lock()
		c.disk.slow = 2 * stallAt
		c.disk.mu.Unlock()
	}
	testutil.Until(t, "it owns nothing", func() bool {
		slow()
		c.replicaMu.Lock()
		defer c.replicaMu.Unlock()
		return c.replica.Owner(keyConfig) == 0
	})
	slow()
	testutil.Until(t, "it is fit again", func() bool { return !c.disk.unfit(c.Tasks.Now()) })
}
