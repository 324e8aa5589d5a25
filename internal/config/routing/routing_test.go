package routing

import "testing"

// Routes with a host and a prefix come before all others and are matched by the longest prefix; the others by their order.
func TestFind(t *testing.T) {
	route := func(n int, ms ...Condition) Route {
		return Route{Conditions: ms, Actions: []Action{{Op: OpRefuse, Mapping: n}}}
	}
	host, prefix := func(s string) Condition { return Condition{Op: OpHost, Text: s} }, func(s string) Condition { return Condition{Op: OpPrefix, Text: s} }
	p := Build([]Route{
		route(0, prefix("/")),
		route(1, host("a"), prefix("/")),
		route(2, host("a"), prefix("/b")),
		route(3, prefix("/b/c/"), host("a")),
		route(4, host("a"), prefix("/b/")),
		route(5, host("b")),
		route(6, host("c"), prefix("/d/")),
		route(7, host("d"), host("e")),
	})
	for _, x := range []struct {
		host, path string
		want       int
	}{
		{"a", "/", 1}, {"a", "/x", 1}, {"a", "/b", 2}, {"a", "/bb", 1}, {"a", "/b/", 2}, {"a", "/b/x", 2}, {"a", "/b/c", 2}, {"a", "/b/c/", 3},
		{"a", "/b/c/d/e", 3}, {"b", "/b", 0}, {"c", "/d", 0}, {"c", "/d/", 6}, {"", "/b", 0}, {"d", "/", 0}, {"a", "", -1},
	} {
		actions, ok := p.Find(Request{Host: x.host, Path: x.path, Header: func(string) string { return "" }})
		switch {
		case !ok && x.want >= 0:
			t.Errorf("%v: no route found", x)
		case ok && actions[0].Mapping != x.want:
			t.Errorf("%v: matched by %d", x, actions[0].Mapping)
		}
	}
}
