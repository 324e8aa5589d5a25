package netfault

import "testing"

// Silent gives a test a listener that is silent until Wake.
func Silent(t testing.TB) *Listener {
	t.Helper()
	l, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if err := l.Silence(); err != nil {
		t.Fatal(err)
	}
	return l
}
