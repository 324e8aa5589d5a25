package netfault

import "testing"

// BlackholeListener gives a test a listener that is silent until Wake.
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
