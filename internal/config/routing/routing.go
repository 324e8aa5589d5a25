// Package routing is the small interpreter that takes a request its way over compiled rules (design 4, 8).
package routing

import "strings"

// Op is one operation.
type Op uint8

// Matching operations first, then those that act.
const (
	OpPath Op = 1 + iota
	OpUnder
	OpHeader
	OpHost
	OpLimit
	OpClaim
	OpShare
	OpTry
	OpRefuse
)

// Match is one condition of a way.
type Match struct {
	Op   Op
	Name string
	Text string
}

// Instr is one step that acts; Mapping names the route that it belongs to.
type Instr struct {
	Op      Op
	Arg     int
	Text    string
	Mapping int
}

// Way is a route: its conditions, then what is done.
type Way struct {
	Match []Match
	Do    []Instr
}

// Program is all ways, with an index over exact paths and one over hosts and prefixes.
type Program struct {
	ways  []Way
	exact map[string][]int          // path to ways, in order
	loose []int                     // ways without an exact path
	hosts map[string]map[string]int // host, then a prefix, to the way: the longest one wins
}

// Build indexes the ways.
func Build(ways []Way) *Program {
	p := &Program{ways: ways, exact: map[string][]int{}, hosts: map[string]map[string]int{}}
	for i, w := range ways {
		if host, under, ok := w.place(); ok {
			p.index(host, strings.TrimSuffix(under, "/")+"/", i)
			p.index(host, under, i) // without a slash at its end it is also a whole path
			continue
		}
		at := ""
		for _, m := range w.Match {
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
func (w *Way) place() (host, under string, ok bool) {
	if len(w.Match) != 2 {
		return "", "", false
	}
	for _, m := range w.Match {
		switch m.Op {
		case OpHost:
			host = m.Text
		case OpUnder:
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

// Ask is what the rules can look at.
type Ask struct {
	Host   string
	Path   string
	Header func(string) string
}

// Find gives the first way, in the configuration's order, whose conditions all hold.
func (p *Program) Find(a Ask) ([]Instr, bool) {
	if i, ok := p.longest(a.Host, a.Path); ok {
		return p.ways[i].Do, true
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
	return p.ways[best].Do, true
}

func (w *Way) holds(a Ask) bool {
	for _, m := range w.Match {
		ok := false
		switch m.Op {
		case OpPath:
			ok = a.Path == m.Text
		case OpHost:
			ok = a.Host == m.Text
		case OpUnder:
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

// Hands do what the steps say; each says whether the request's way ends there.
type Hands struct {
	Limit  func(ms int) bool
	Claim  func() bool
	Share  func() bool // draws the service among those that share the mapping, and tries it
	Try    func(service string) bool
	Refuse func()
}

// Run takes a request along a way to its end.
func Run(do []Instr, h Hands) {
	for _, in := range do {
		end := false
		switch in.Op {
		case OpLimit:
			end = h.Limit(in.Arg)
		case OpClaim:
			end = h.Claim()
		case OpShare:
			end = h.Share()
		case OpTry:
			end = h.Try(in.Text)
		case OpRefuse:
			h.Refuse()
			end = true
		}
		if end {
			return
		}
	}
}
