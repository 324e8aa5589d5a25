package routing

import "testing"

// Ways of a host and a prefix go by the longest prefix, before all others; the rest by their order.
func TestFind(t *testing.T) {
	way := func(n int, ms ...Condition) Route {
		return Route{Conditions: ms, Actions: []Action{{Op: OpRefuse, Mapping: n}}}
	}
	host, under := func(s string) Condition { return Condition{Op: OpHost, Text: s} }, func(s string) Condition { return Condition{Op: OpPrefix, Text: s} }
	p := Build([]Route{
		way(0, under("/")),
		way(1, host("a"), under("/")),
		way(2, host("a"), under("/b")),
		way(3, under("/b/c/"), host("a")),
		way(4, host("a"), under("/b/")),
		way(5, host("b")),
		way(6, host("c"), under("/d/")),
		way(7, host("d"), host("e")),
	})
	for _, x := range []struct {
		host, path string
		want       int
	}{
		{"a", "/", 1}, {"a", "/x", 1}, {"a", "/b", 2}, {"a", "/bb", 1}, {"a", "/b/", 2}, {"a", "/b/x", 2}, {"a", "/b/c", 2}, {"a", "/b/c/", 3},
		{"a", "/b/c/d/e", 3}, {"b", "/b", 0}, {"c", "/d", 0}, {"c", "/d/", 6}, {"", "/b", 0}, {"d", "/", 0}, {"a", "", -1},
	} {
		do, ok := p.Find(Request{Host: x.host, Path: x.path, Header: func(string) string { return "" }})
		switch {
		case !ok && x.want >= 0:
			t.Errorf("%v: nothing takes it", x)
		case ok && do[0].Mapping != x.want:
			t.Errorf("%v: taken by %d", x, do[0].Mapping)
		}
	}
}
