package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

// TestLowestStoredVersion checks that the bound is never above the stored version of the document, whatever the gaps
// between the document versions.
func TestLowestStoredVersion(t *testing.T) {
	versions := []uint64{0, 5, 6, 9, 10, 11, 40}
	for now, docVersion := range versions {
		for at, base := range versions[:now+1] {
			if got := lowestStoredVersion(units.Version(now), docVersion, base); got > units.Version(at) {
				t.Errorf("document version %d has stored version %d, seen from %d: bound %d", base, at, now, got)
			}
		}
	}
	if got := lowestStoredVersion(3000, 3000, 2990); got != 2990 {
		t.Errorf("document versions that rise by one: bound %d, want 2990", got)
	}
	if got := lowestStoredVersion(7, 40, 50); got != 7 {
		t.Errorf("a document version that never existed: bound %d, want 7", got)
	}
}

// TestUnchangedAsksAMajority checks that a request for the configuration in force is acknowledged only after a majority
// has confirmed it, not from the node's local state.
func TestUnchangedAsksAMajority(t *testing.T) {
	t.Parallel()
	c := startSeededControllers(t, 1, testAdapter())[0]
	doc := func(v int) []byte { return fmt.Appendf(nil, `{"v":%d,"x":"a"}`, v) }
	put := func(base uint64, v int) resultcode.Code {
		return retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) { return c.Control().Put(base, doc(v)) })
	}
	if a, b := put(0, 1), put(1, 1); a != resultcode.OK || b != resultcode.OK {
		t.Fatalf("first write %d, repeated %d", a, b)
	}
	if code := c.confirmUnchanged(context.Background(), 7); code != resultcode.VersionConflict {
		t.Errorf("on another stored version: %d", code)
	}
	var once sync.Once
	held, writing := make(chan struct{}), make(chan struct{})
	c.disk.mu.Lock()
	c.disk.injectedFault = func() error {
		once.Do(func() { close(writing) })
		<-held
		return nil
	}
	c.disk.mu.Unlock()
	t.Cleanup(func() { close(held) })
	c.Tasks.Go(func() { c.Control().Put(1, doc(2)) })
	testutil.WaitUntil(t, "the disk stalls", func() bool {
		select {
		case <-writing:
			return true
		default:
			return false
		}
	})
	if code, _ := c.Control().Put(1, doc(1)); code == resultcode.OK {
		t.Error("acknowledged without a majority")
	}
}
