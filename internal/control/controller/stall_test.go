package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"seamshunt/internal/storage/wal"
	"seamshunt/internal/testutil"
)

// TestStalledDiskBlocksNothing checks that a stalled disk blocks neither connections nor loops nor the operators'
// interface: the node reports itself as unfit, and recovers with the disk.
func TestStalledDiskBlocksNothing(t *testing.T) {
	t.Parallel()
	c := startSingle(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	held := make(chan struct{})
	c.disk.mu.Lock()
	c.disk.injectedFault = func() error { <-held; return nil }
	c.disk.mu.Unlock()
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+" "); code != 502 {
		t.Errorf("a write that the disk doesn't complete: %d %s", code, b)
	}
	unfit := func() bool {
		var x struct {
			Node    string
			Members []struct {
				Node  string
				Unfit bool
			}
		}
		code, b := sendRequest(t, c, "GET", "/status", "")
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
	testutil.WaitUntil(t, "the node reports itself as unfit", unfit)
	c.disk.mu.Lock()
	c.disk.injectedFault = nil
	c.disk.mu.Unlock()
	close(held)
	testutil.WaitUntil(t, "it is fit again", func() bool { return !unfit() })
	testutil.WaitUntil(t, "writes succeed again", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+" ")
		return code == 200 || code == 409
	})
}

// TestFailedSyncIsDiscarded checks that the replica is rebuilt from the file after a failed sync, and that nothing
// unsynced is kept or acknowledged.
func TestFailedSyncIsDiscarded(t *testing.T) {
	t.Parallel()
	c := startSingle(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	c.disk.mu.Lock()
	c.disk.injectedFault = func() error {
		c.disk.mu.Lock()
		c.disk.injectedFault = nil // once
		c.disk.mu.Unlock()
		return fmt.Errorf("%w: injected", wal.ErrFailed)
	}
	c.disk.mu.Unlock()
	code, _ := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+"   ")
	testutil.WaitUntil(t, "reads succeed again", func() bool { code, _ := sendRequest(t, c, "GET", "/v1/config", ""); return code == 200 })
	_, b := sendRequest(t, c, "GET", "/v1/config", "")
	if code == 200 && string(b) != configText+"   " || code != 200 && string(b) != configText && string(b) != configText+"   " {
		t.Errorf("answered %d, read back %q", code, b)
	}
}

// TestSlowDiskIsProbedAgain covers a node that is unfit because its last sync was slow. It owns no keys, so there may be
// no writes; it must probe its disk all the same and recover.
func TestSlowDiskIsProbedAgain(t *testing.T) {
	t.Parallel()
	c := startSingle(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the bootstrap is done", func() bool { code, _ := sendRequest(t, c, "GET", "/v1/config", ""); return code == 404 })
	slow := func() {
		c.disk.mu.Lock()
		c.disk.lastWriteDuration = 2 * stallThreshold
		c.disk.mu.Unlock()
	}
	testutil.WaitUntil(t, "it owns no keys", func() bool {
		slow()
		c.replicaMu.Lock()
		defer c.replicaMu.Unlock()
		return c.replica.Owner(keyConfig) == 0
	})
	slow()
	testutil.WaitUntil(t, "it is fit again", func() bool { return !c.disk.unfit(c.Tasks.Now()) })
}
