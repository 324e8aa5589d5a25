package config

import (
	"fmt"
	"slices"
)

// Plan says what a configuration would change, for an operator to confirm (design 9).
type Plan struct {
	Changes  []string
	Ceilings []string
	Promises []string // what was measured of each, against what is promised
	Warnings []string
}

// Compare works out the plan from the configuration in force, which may be nil, to the next.
// Workers counts the pool's workers that are known.
func Compare(old, next *Config, workers func(pool string) int) Plan {
	var p Plan
	if old == nil {
		old = &Config{}
	}
	if l := changed(old.facts(), next.facts()); l != "" {
		p.Changes = append(p.Changes, l)
	}
	for _, n := range sorted(next.Services) {
		s, o := next.Services[n], old.Services[n]
		k := workers(s.Pool)
		p.Ceilings = append(p.Ceilings, s.ceiling(k))
		switch {
		case o == nil:
			p.Changes = append(p.Changes, "service "+n+" is new")
		case *o != *s:
			p.Changes = append(p.Changes, "service "+n+": "+changed(o.facts(), s.facts()))
		}
		if k == 0 {
			p.Warnings = append(p.Warnings, "pool "+s.Pool+" has no worker known: its prompts would be refused")
		}
		if s.AdmissionPolicy == "open" {
			p.Warnings = append(p.Warnings, "service "+n+" admits without a cap: for comparisons only")
		}
	}
	for _, n := range sorted(old.Services) {
		if next.Services[n] == nil {
			p.Changes = append(p.Changes, "service "+n+" goes; streams under way end as they began")
		}
	}
	compareMappings(old, next, &p)
	for _, n := range sorted(next.Promises) {
		o := old.Promises[n]
		if x := next.Promises[n]; o == nil || *o != *x {
			p.Changes = append(p.Changes, fmt.Sprintf("promise %s: first words in %v, longest wait %v, smaller model %v, worth %d", n, x.MaxFirstTokenTime, x.Deadline, x.AllowSmaller, x.Worth))
		}
	}
	return p
}

func compareMappings(old, next *Config, p *Plan) {
	was, is := byName(old), byName(next)
	add, drop, change := 0, 0, 0
	for _, n := range sorted(is) {
		m, o := is[n], was[n]
		if o == nil {
			add++
			if add <= 20 {
				p.Changes = append(p.Changes, "mapping "+n+" is new")
			}
			continue
		}
		if l := changed(o.facts(), m.facts()); l != "" {
			change++
			if change <= 20 {
				p.Changes = append(p.Changes, "mapping "+n+" changes: "+l)
			}
		}
		if o.Once && !m.Once {
			p.Warnings = append(p.Warnings, "mapping "+n+" could not repeat and now may")
		}
		if m.Once && m.Single && !o.Single {
			p.Warnings = append(p.Warnings, "mapping "+n+" claims nothing any more: a caller's second copy may run too")
		}
	}
	for _, n := range sorted(was) {
		if is[n] == nil {
			drop++
			if drop <= 20 {
				p.Changes = append(p.Changes, "mapping "+n+" goes")
			}
		}
	}
	if add+drop+change > 0 {
		p.Changes = append(p.Changes, fmt.Sprintf("mappings: %d new, %d changed, %d gone", add, change, drop))
	}
}

func byName(c *Config) map[string]*Mapping {
	m := map[string]*Mapping{}
	for _, x := range c.Mappings {
		m[x.Name] = x
	}
	return m
}

func sorted[T any](m map[string]T) []string {
	var l []string
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}
