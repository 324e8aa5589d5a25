// Package routing is the small interpreter that takes a request its way over compiled rules (design 4, 8).
package routing

import "strings"

// Op is one operation.
type Op uint8

// Matching operations first, then those that act.
const (
	OpPath Op = 1 + iota
	OpPrefix
	OpHeader
	OpHost
	OpDeadline
	OpClaim
	OpSplit
	OpDispatch
	OpRefuse
)

// Condition is one condition of a way.
type Condition struct {
	Op   Op
	Name string
	Text string
}

// Action is one step that acts; Mapping names the route that it belongs to.
type Action struct {
	Op      Op
	Arg     int
	Text    string
	Mapping int
}

// Route is a route: its conditions, then what is done.
type Route struct {
	Conditions []Condition
	Actions    []Action
}

// Program is all ways, with an index over exact paths and one over hosts and prefixes.
type Program struct {
	ways  []Route
	exact map[string][]int          // path to ways, in order
	loose []int                     // ways without an exact path
	hosts map[string]map[string]int // host, then a prefix, to the way: the longest one wins
}

// Build indexes the ways.
func Build(ways []Route) *Program {
	p := &Program{ways: ways, exact: map[string][]int{}, hosts: map[string]map[string]int{}}
	for i, w := range ways {
		if host, under, ok := w.place(); ok {
			p.index(host, strings.TrimSuffix(under, "/")+"/", i)
			p.index(host, under, i) // without a slash at its end it is also a whole path
			continue
		}
		at := ""
		for _, m := range w.Conditions {
			if m.Op == OpPath {
				at = m.Text
			}
		}
		if at == "" {
			p.loose = append(p.loose, i)
		} else {
			p.exact[at] = append(p.exact[at], i)
		}
	}
	return p
}

// index notes a way of a host and a prefix; the first one given stays.
func (p *Program) index(host, under string, way int) {
	by := p.hosts[host]
	if by == nil {
		by = map[string]int{}
		p.hosts[host] = by
	}
	if _, ok := by[under]; !ok {
		by[under] = way
	}
}

// place says whether a way is one of a host and a prefix and nothing else.
func (w *Route) place() (host, under string, ok bool) {
	if len(w.Conditions) != 2 {
		return "", "", false
	}
	for _, m := range w.Conditions {
		switch m.Op {
		case OpHost:
			host = m.Text
		case OpPrefix:
			under = m.Text
		}
	}
	return host, under, host != "" && under != ""
}

// longest finds the way of a host whose prefix begins the path and is longest.
func (p *Program) longest(host, path string) (int, bool) {
	by := p.hosts[host]
	for i := len(path); by != nil && i > 0; i = strings.LastIndexByte(path[:i-1], '/') + 1 {
		if w, ok := by[path[:i]]; ok { // all but the whole path end with a slash
			return w, true
		}
	}
	return 0, false
}

// Request is what the rules can look at.
type Request struct {
	Host   string
	Path   string
	Header func(string) string
}

// Find gives the first way, in the configuration's order, whose conditions all hold.
func (p *Program) Find(a Request) ([]Action, bool) {
	if i, ok := p.longest(a.Host, a.Path); ok {
		return p.ways[i].Actions, true
	}
	best := -1
	for _, i := range p.exact[a.Path] {
		if p.ways[i].holds(a) {
			best = i
			break
		}
	}
	for _, i := range p.loose {
		if best >= 0 && i > best {
			break
		}
		if p.ways[i].holds(a) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil, false
	}
	return p.ways[best].Actions, true
}

func (w *Route) holds(a Request) bool {
	for _, m := range w.Conditions {
		ok := false
		switch m.Op {
		case OpPath:
			ok = a.Path == m.Text
		case OpHost:
			ok = a.Host == m.Text
		case OpPrefix:
			ok = a.Path == m.Text || strings.HasPrefix(a.Path, strings.TrimSuffix(m.Text, "/")+"/")
		case OpHeader:
			ok = a.Header(m.Name) == m.Text
		}
		if !ok {
			return false
		}
	}
	return true
}

// Handlers do what the steps say; each says whether the request's way ends there.
type Handlers struct {
	Deadline func(ms int) bool
	Claim    func() bool
	Split    func() bool // draws the service among those that share the mapping, and tries it
	Dispatch func(service string) bool
	Refuse   func()
}

// Run takes a request along a way to its end.
func Run(do []Action, h Handlers) {
	for _, in := range do {
		end := false
		switch in.Op {
		case OpDeadline:
			end = h.Deadline(in.Arg)
		case OpClaim:
			end = h.Claim()
		case OpSplit:
			end = h.Split()
		case OpDispatch:
			end = h.Dispatch(in.Text)
		case OpRefuse:
			h.Refuse()
			end = true
		}
		if end {
			return
		}
	}
}
