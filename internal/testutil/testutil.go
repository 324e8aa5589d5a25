// Package testutil holds helpers for tests of the daemons: waiting for a condition, and free addresses.
package testutil

import (
	"testing"
	"time"

	"seamshunt/internal/standin"
)

// WaitUntil checks a condition repeatedly until it holds, and fails the test if it never does.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	timeout := time.After(60 * time.Second) // long, since a busy machine is slow; it only ends tests whose condition never holds
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("never: %s", what)
		}
	}
}

// FreeAddr returns an address that nothing else takes.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
