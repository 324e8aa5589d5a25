package config

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
)

// compile lays the mappings out as one program; the first that matches a request serves it.
func (c *Config) compile(f *faults) {
	names, routes := map[string]bool{}, map[string]string{}
	var ways []routing.Way
	for i, m := range c.Mappings {
		at := fmt.Sprintf("layout line %d column %d", m.line, m.col)
		if names[m.Name] {
			f.add(resultcode.Duplicate, at, "mapping "+m.Name+" given twice")
		}
		names[m.Name] = true
		sig := signature(m.Match)
		if o, ok := routes[sig]; ok {
			f.add(resultcode.Duplicate, at, "mapping "+m.Name+" matches just what "+o+" does")
		}
		routes[sig] = m.Name
		w := routing.Way{Match: m.Match}
		w.Do = append(w.Do, routing.Instr{Op: routing.OpLimit, Arg: int(m.Promise.Longest.Milliseconds()), Mapping: i})
		if m.Once && !m.Single {
			w.Do = append(w.Do, routing.Instr{Op: routing.OpClaim, Mapping: i})
		}
		if len(m.Split) > 1 {
			w.Do = append(w.Do, routing.Instr{Op: routing.OpShare, Mapping: i})
		} else {
			w.Do = append(w.Do, routing.Instr{Op: routing.OpTry, Text: m.To[0], Mapping: i})
		}
		if m.Step != "" {
			w.Do = append(w.Do, routing.Instr{Op: routing.OpTry, Text: m.Step, Mapping: i})
		}
		w.Do = append(w.Do, routing.Instr{Op: routing.OpRefuse, Mapping: i})
		ways = append(ways, w)
	}
	c.Program = routing.Build(ways)
}

// Compile builds the program of a configuration that an adapter put together, and names what stands twice or leads
// nowhere.
func (c *Config) Compile() []*resultcode.Fault {
	var f faults
	for _, m := range c.Mappings {
		for _, t := range m.To {
			if c.Services[t] == nil {
				f.add(resultcode.UnknownService, "mapping "+m.Name, "unknown service "+t)
			}
		}
		if len(m.To) == 0 || m.Promise == nil {
			f.add(resultcode.InvalidRule, "mapping "+m.Name, "it leads to no service, or has no promise")
		}
	}
	if len(f.list) == 0 {
		c.compile(&f)
	}
	return f.list
}

// Defaults fills what a service leaves open with the product's own values.
func Defaults(s *Service) {
	set(&s.Warm, 0)
	set(&s.RetryAfter, 250*time.Millisecond)
	set(&s.Jitter, 500*time.Millisecond)
	set(&s.First, 40*time.Millisecond)
	set(&s.WaitAim, 100*time.Millisecond)
	set(&s.Spread, 1)
	set(&s.Prefix, 1024)
	set(&s.Allow, "knee")
	if s.Memory > 0 {
		set(&s.Place, "home")
	}
	set(&s.Place, "least")
	s.Lax = true
	if s.Memory > 0 {
		set(&s.Share, 0.85)
		set(&s.Reads, 75)
		set(&s.Pairs, 0.218)
	}
	if s.Cap > 0 {
		set(&s.Waitlist, 2*s.Cap)
		set(&s.Floor, max(1, s.Cap/2))
	}
}

func set[T comparable](x *T, def T) {
	var zero T
	if *x == zero {
		*x = def
	}
}

func signature(ms []routing.Match) string {
	var l []string
	for _, m := range ms {
		l = append(l, fmt.Sprintf("%d %s %s", m.Op, strings.ToLower(m.Name), m.Text))
	}
	sort.Strings(l)
	return strings.Join(l, "\n")
}

// Reaches says whether a mapping may ever lead to a service.
func (m *Mapping) Reaches(s string) bool {
	for _, t := range m.To {
		if t == s {
			return true
		}
	}
	return false
}
