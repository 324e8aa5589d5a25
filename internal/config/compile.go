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
	var ways []routing.Route
	for i, m := range c.Mappings {
		at := fmt.Sprintf("layout line %d column %d", m.line, m.col)
		if names[m.Name] {
			f.add(resultcode.Duplicate, at, "mapping "+m.Name+" given twice")
		}
		names[m.Name] = true
		sig := signature(m.Conditions)
		if o, ok := routes[sig]; ok {
			f.add(resultcode.Duplicate, at, "mapping "+m.Name+" matches just what "+o+" does")
		}
		routes[sig] = m.Name
		w := routing.Route{Conditions: m.Conditions}
		w.Actions = append(w.Actions, routing.Action{Op: routing.OpDeadline, Arg: int(m.Promise.Deadline.Milliseconds()), Mapping: i})
		if m.Once && !m.Single {
			w.Actions = append(w.Actions, routing.Action{Op: routing.OpClaim, Mapping: i})
		}
		if len(m.Split) > 1 {
			w.Actions = append(w.Actions, routing.Action{Op: routing.OpSplit, Mapping: i})
		} else {
			w.Actions = append(w.Actions, routing.Action{Op: routing.OpDispatch, Text: m.Services[0], Mapping: i})
		}
		if m.FallbackService != "" {
			w.Actions = append(w.Actions, routing.Action{Op: routing.OpDispatch, Text: m.FallbackService, Mapping: i})
		}
		w.Actions = append(w.Actions, routing.Action{Op: routing.OpRefuse, Mapping: i})
		ways = append(ways, w)
	}
	c.Program = routing.Build(ways)
}

// Compile builds the program of a configuration that an adapter put together, and names what stands twice or leads
// nowhere.
func (c *Config) Compile() []*resultcode.Fault {
	var f faults
	for _, m := range c.Mappings {
		for _, t := range m.Services {
			if c.Services[t] == nil {
				f.add(resultcode.UnknownService, "mapping "+m.Name, "unknown service "+t)
			}
		}
		if len(m.Services) == 0 || m.Promise == nil {
			f.add(resultcode.InvalidRule, "mapping "+m.Name, "it leads to no service, or has no promise")
		}
	}
	if len(f.list) == 0 {
		c.compile(&f)
	}
	return f.list
}

// SetDefaults fills what a service leaves open with the product's own values.
func SetDefaults(s *Service) {
	set(&s.WarmUp, 0)
	set(&s.RetryAfter, 250*time.Millisecond)
	set(&s.RetryJitter, 500*time.Millisecond)
	set(&s.FirstTokenTime, 40*time.Millisecond)
	set(&s.TargetWait, 100*time.Millisecond)
	set(&s.PreferredCount, 1)
	set(&s.PrefixBytes, 1024)
	set(&s.AdmissionPolicy, "knee")
	if s.MemoryTokens > 0 {
		set(&s.PlacementPolicy, "home")
	}
	set(&s.PlacementPolicy, "least")
	s.QuickTakeover = true
	if s.MemoryTokens > 0 {
		set(&s.MemoryShare, 0.85)
		set(&s.PrefillRate, 75)
		set(&s.AttentionCost, 0.218)
	}
	if s.Capacity > 0 {
		set(&s.MaxWaiting, 2*s.Capacity)
		set(&s.MinCapacity, max(1, s.Capacity/2))
	}
}

func set[T comparable](x *T, def T) {
	var zero T
	if *x == zero {
		*x = def
	}
}

func signature(ms []routing.Condition) string {
	var l []string
	for _, m := range ms {
		l = append(l, fmt.Sprintf("%d %s %s", m.Op, strings.ToLower(m.Name), m.Text))
	}
	sort.Strings(l)
	return strings.Join(l, "\n")
}

// MayReach says whether a mapping may ever lead to a service.
func (m *Mapping) MayReach(s string) bool {
	for _, t := range m.Services {
		if t == s {
			return true
		}
	}
	return false
}
