package config

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
)

// compile turns the mappings into one routing program, in which the first mapping that matches a request serves it.
func (c *Config) compile(faults *faultList) {
	names, bySignature := map[string]bool{}, map[string]string{}
	var compiled []routing.Route
	for i, m := range c.Mappings {
		position := fmt.Sprintf("layout line %d column %d", m.line, m.col)
		if names[m.Name] {
			faults.add(resultcode.Duplicate, position, "mapping "+m.Name+" given twice")
		}
		names[m.Name] = true
		key := signature(m.Conditions)
		if other, ok := bySignature[key]; ok {
			faults.add(resultcode.Duplicate, position, "mapping "+m.Name+" matches just what "+other+" does")
		}
		bySignature[key] = m.Name
		route := routing.Route{Conditions: m.Conditions}
		route.Actions = append(route.Actions, routing.Action{Op: routing.OpDeadline,
			Arg: int(m.Promise.Deadline.Milliseconds()), Mapping: i})
		if m.Once && !m.Single {
			route.Actions = append(route.Actions, routing.Action{Op: routing.OpClaim, Mapping: i})
		}
		if len(m.Split) > 1 {
			route.Actions = append(route.Actions, routing.Action{Op: routing.OpSplit, Mapping: i})
		} else {
			route.Actions = append(route.Actions, routing.Action{Op: routing.OpDispatch, Text: m.Services[0], Mapping: i})
		}
		if m.FallbackService != "" {
			route.Actions = append(route.Actions, routing.Action{Op: routing.OpDispatch, Text: m.FallbackService, Mapping: i})
		}
		route.Actions = append(route.Actions, routing.Action{Op: routing.OpRefuse, Mapping: i})
		compiled = append(compiled, route)
	}
	c.Program = routing.Build(compiled)
}

// Compile builds the program of a configuration that an adapter assembled. It returns faults for duplicate mappings, for
// unknown services and for mappings without a service or a promise.
func (c *Config) Compile() []*resultcode.Fault {
	var faults faultList
	for _, m := range c.Mappings {
		for _, t := range m.Services {
			if c.Services[t] == nil {
				faults.add(resultcode.UnknownService, "mapping "+m.Name, "unknown service "+t)
			}
		}
		if len(m.Services) == 0 || m.Promise == nil {
			faults.add(resultcode.InvalidRule, "mapping "+m.Name, "it leads to no service, or has no promise")
		}
	}
	if len(faults.list) == 0 {
		c.compile(&faults)
	}
	return faults.list
}

// SetDefaults sets the unset fields of a service to the built-in defaults.
func SetDefaults(s *Service) {
	setDefault(&s.WarmUp, 0)
	setDefault(&s.RetryAfter, 250*time.Millisecond)
	setDefault(&s.RetryJitter, 500*time.Millisecond)
	setDefault(&s.FirstTokenTime, 40*time.Millisecond)
	setDefault(&s.TargetWait, 100*time.Millisecond)
	setDefault(&s.PreferredCount, 1)
	setDefault(&s.PrefixBytes, 1024)
	setDefault(&s.AdmissionPolicy, "knee")
	if s.MemoryTokens > 0 {
		setDefault(&s.PlacementPolicy, "home")
	}
	setDefault(&s.PlacementPolicy, "least")
	s.QuickTakeover = true
	if s.MemoryTokens > 0 {
		setDefault(&s.MemoryShare, 0.85)
		setDefault(&s.PrefillRate, 75)
		setDefault(&s.AttentionCost, 0.218)
	}
	if s.Capacity > 0 {
		setDefault(&s.MaxWaiting, 2*s.Capacity)
		setDefault(&s.MinCapacity, max(1, s.Capacity/2))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
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

// MayReach reports whether a mapping may use a service.
func (m *Mapping) MayReach(service string) bool {
	for _, name := range m.Services {
		if name == service {
			return true
		}
	}
	return false
}
