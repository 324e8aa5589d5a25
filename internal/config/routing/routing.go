// Package routing matches requests against compiled routes and runs the actions of the route that matches (docs/design.md,
// sections 4 and 8).
package routing

import "strings"

// Op is the operation of a condition or an action.
type Op uint8

// The operations of conditions, then those of actions.
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

// Condition is one condition of a route; Name is the header's name for OpHeader.
type Condition struct {
	Op   Op
	Name string
	Text string
}

// Action is one step of a route. Arg is the deadline of OpDeadline in milliseconds, Text the service of OpDispatch, and Mapping
// the index of the mapping that the action was compiled from.
type Action struct {
	Op      Op
	Arg     int
	Text    string
	Mapping int
}

// Route has the conditions that a request must meet and the actions to run for it.
type Route struct {
	Conditions []Condition
	Actions    []Action
}

// Program holds all routes, with an index by exact path and one by host and path prefix.
type Program struct {
	routes    []Route
	byPath    map[string][]int          // routes of each exact path, in order
	unindexed []int                     // routes in neither index, in order
	byHost    map[string]map[string]int // route by host and path prefix: the longest prefix wins
}

// Build returns a program with indexes over the routes.
func Build(routes []Route) *Program {
	p := &Program{routes: routes, byPath: map[string][]int{}, byHost: map[string]map[string]int{}}
	for i, route := range routes {
		if host, prefix, ok := route.hostAndPrefix(); ok {
			p.indexPrefix(host, strings.TrimSuffix(prefix, "/")+"/", i)
			p.indexPrefix(host, prefix, i) // without a trailing slash the prefix also matches as a whole path
			continue
		}
		path := ""
		for _, m := range route.Conditions {
			if m.Op == OpPath {
				path = m.Text
			}
		}
		if path == "" {
			p.unindexed = append(p.unindexed, i)
		} else {
			p.byPath[path] = append(p.byPath[path], i)
		}
	}
	return p
}

// indexPrefix adds a route to the index by host and prefix; the first route of a host and prefix stays.
func (p *Program) indexPrefix(host, prefix string, route int) {
	byPrefix := p.byHost[host]
	if byPrefix == nil {
		byPrefix = map[string]int{}
		p.byHost[host] = byPrefix
	}
	if _, ok := byPrefix[prefix]; !ok {
		byPrefix[prefix] = route
	}
}

// hostAndPrefix returns a route's host and path prefix, and whether these two are its only conditions.
func (w *Route) hostAndPrefix() (host, prefix string, ok bool) {
	if len(w.Conditions) != 2 {
		return "", "", false
	}
	for _, m := range w.Conditions {
		switch m.Op {
		case OpHost:
			host = m.Text
		case OpPrefix:
			prefix = m.Text
		}
	}
	return host, prefix, host != "" && prefix != ""
}

// longestPrefix returns the route of a host that has the longest prefix of the path.
func (p *Program) longestPrefix(host, path string) (int, bool) {
	byPrefix := p.byHost[host]
	for i := len(path); byPrefix != nil && i > 0; i = strings.LastIndexByte(path[:i-1], '/') + 1 {
		if route, ok := byPrefix[path[:i]]; ok { // each prefix that is tried ends with a slash, except for the whole path
			return route, true
		}
	}
	return 0, false
}

// Request is the part of a request that conditions are matched against.
type Request struct {
	Host   string
	Path   string
	Header func(string) string
}

// Find returns the actions of the route for a request: the route with the longest prefix among those of a host and a prefix,
// otherwise the first one, in the configuration's order, whose conditions all hold.
func (p *Program) Find(r Request) ([]Action, bool) {
	if i, ok := p.longestPrefix(r.Host, r.Path); ok {
		return p.routes[i].Actions, true
	}
	best := -1
	for _, i := range p.byPath[r.Path] {
		if p.routes[i].matches(r) {
			best = i
			break
		}
	}
	for _, i := range p.unindexed {
		if best >= 0 && i > best {
			break
		}
		if p.routes[i].matches(r) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil, false
	}
	return p.routes[best].Actions, true
}

func (w *Route) matches(r Request) bool {
	for _, m := range w.Conditions {
		ok := false
		switch m.Op {
		case OpPath:
			ok = r.Path == m.Text
		case OpHost:
			ok = r.Host == m.Text
		case OpPrefix:
			ok = r.Path == m.Text || strings.HasPrefix(r.Path, strings.TrimSuffix(m.Text, "/")+"/")
		case OpHeader:
			ok = r.Header(m.Name) == m.Text
		}
		if !ok {
			return false
		}
	}
	return true
}

// Handlers carry out the actions; those with a result report whether the request is finished.
type Handlers struct {
	Deadline func(ms int) bool
	Claim    func() bool
	Split    func() bool // draws a service of the mapping by the shares, and dispatches to it
	Dispatch func(service string) bool
	Refuse   func()
}

// Run runs the actions of a route until one finishes the request.
func Run(actions []Action, handlers Handlers) {
	for _, action := range actions {
		done := false
		switch action.Op {
		case OpDeadline:
			done = handlers.Deadline(action.Arg)
		case OpClaim:
			done = handlers.Claim()
		case OpSplit:
			done = handlers.Split()
		case OpDispatch:
			done = handlers.Dispatch(action.Text)
		case OpRefuse:
			handlers.Refuse()
			done = true
		}
		if done {
			return
		}
	}
}
