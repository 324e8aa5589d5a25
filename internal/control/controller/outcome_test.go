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

// The bound is never above the number whose document bore the version, whatever steps the versions took.
func TestLowestNumber(t *testing.T) {
	versions := []uint64{0, 5, 6, 9, 10, 11, 40}
	for now, ver := range versions {
		for at, builds := range versions[:now+1] {
			if got := lowestNumber(units.Version(now), ver, builds); got > units.Version(at) {
				t.Errorf("version %d stands under number %d, seen from %d: bound %d", builds, at, now, got)
			}
		}
	}
	if got := lowestNumber(3000, 3000, 2990); got != 2990 {
		t.Errorf("versions that rise by one: bound %d, want 2990", got)
	}
	if got := lowestNumber(7, 40, 50); got != 7 {
		t.Errorf("a version that never was: bound %d, want 7", got)
	}
}

// An order for what is in force already is acknowledged by a majority only, not from what this node has heard.
func TestUnchangedAsksAMajority(t *testing.T) {
	t.Parallel()
	c := grownCore(t, 1, toyBook())[0]
	doc := func(v int) []byte { return fmt.Appendf(nil, `{"v":%d,"x":"a"}`, v) }
	put := func(builds uint64, v int) resultcode.Code {
		return sure(t, func() (resultcode.Code, []*resultcode.Fault) { return c.Control().Put(builds, doc(v)) })
	}
	if a, b := put(0, 1), put(1, 1); a != resultcode.OK || b != resultcode.OK {
		t.Fatalf("taken %d, again %d", a, b)
	}
	if code := c.unchanged(context.Background(), 7); code != resultcode.VersionConflict {
		t.Errorf("under another number: %d", code)
	}
	var once sync.Once
	held, writing := make(chan struct{}), make(chan struct{})
	c.disk.mu.Lock()
	c.disk.fault = func() error {
		once.Do(func() { close(writing) })
		<-held
		return nil
	}
	c.disk.mu.Unlock()
	t.Cleanup(func() { close(held) })
	c.Tasks.Go(func() { c.Control().Put(1, doc(2)) })
	testutil.Until(t, "the disk stands still", func() bool {
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
