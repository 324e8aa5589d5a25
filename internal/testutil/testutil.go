// Package testutil is what tests of the daemons share: waiting for a thing to come true, and free addresses.
package testutil

import (
	"testing"
	"time"

	"seamshunt/internal/standin"
)

// WaitUntil looks again and again until f holds.
func WaitUntil(t testing.TB, what string, f func() bool) {
	t.Helper()
	end := time.After(60 * time.Second) // only to give up on what never comes: a full machine takes its time
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("never: %s", what)
		}
	}
}

// FreeAddr gives an address that nothing else takes.
func FreeAddr(t testing.TB) string {
	t.Helper()
	a, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return a
}
