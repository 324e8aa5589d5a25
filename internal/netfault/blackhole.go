package netfault

import "testing"

// BlackholeListener returns a listener that answers no attempt to connect until Restore. It is closed when the test ends.
func BlackholeListener(t testing.TB) *Listener {
	t.Helper()
	l, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if err := l.Blackhole(); err != nil {
		t.Fatal(err)
	}
	return l
}
