package config

import (
	"fmt"
	"slices"
)

// Plan lists what a configuration would change, for an operator to confirm (docs/design.md, section 9).
type Plan struct {
	Changes  []string
	Ceilings []string
	Promises []string // measurements of each promise, compared with what is promised
	Warnings []string
}

// Compare returns the plan for replacing the current configuration, which may be nil, by the next. The function workers
// returns how many workers of a pool are known.
func Compare(old, next *Config, workers func(pool string) int) Plan {
	var p Plan
	if old == nil {
		old = &Config{}
	}
	if l := describeChanges(old.attributes(), next.attributes()); l != "" {
		p.Changes = append(p.Changes, l)
	}
	for _, n := range sortedKeys(next.Services) {
		s, before := next.Services[n], old.Services[n]
		workerCount := workers(s.Pool)
		p.Ceilings = append(p.Ceilings, s.capacityText(workerCount))
		switch {
		case before == nil:
			p.Changes = append(p.Changes, "service "+n+" is new")
		case *before != *s:
			p.Changes = append(p.Changes, "service "+n+": "+describeChanges(before.attributes(), s.attributes()))
		}
		if workerCount == 0 {
			p.Warnings = append(p.Warnings, "pool "+s.Pool+" has no worker known: its prompts would be refused")
		}
		if s.AdmissionPolicy == "open" {
			p.Warnings = append(p.Warnings, "service "+n+" admits without a cap: for comparisons only")
		}
	}
	for _, n := range sortedKeys(old.Services) {
		if next.Services[n] == nil {
			p.Changes = append(p.Changes, "service "+n+" goes; streams under way end as they began")
		}
	}
	compareMappings(old, next, &p)
	for _, n := range sortedKeys(next.Promises) {
		before := old.Promises[n]
		if x := next.Promises[n]; before == nil || *before != *x {
			p.Changes = append(p.Changes,
				fmt.Sprintf("promise %s: first words in %v, longest wait %v, smaller model %v, worth %d", n,
					x.MaxFirstTokenTime, x.Deadline, x.AllowSmaller, x.Worth))
		}
	}
	return p
}

// compareMappings adds the changes of mappings to the plan: 20 of each kind in detail, and the counts of all.
func compareMappings(old, next *Config, p *Plan) {
	oldMappings, newMappings := mappingsByName(old), mappingsByName(next)
	added, removed, changes := 0, 0, 0
	for _, n := range sortedKeys(newMappings) {
		m, before := newMappings[n], oldMappings[n]
		if before == nil {
			added++
			if added <= 20 {
				p.Changes = append(p.Changes, "mapping "+n+" is new")
			}
			continue
		}
		if l := describeChanges(before.attributes(), m.attributes()); l != "" {
			changes++
			if changes <= 20 {
				p.Changes = append(p.Changes, "mapping "+n+" changes: "+l)
			}
		}
		if before.Once && !m.Once {
			p.Warnings = append(p.Warnings, "mapping "+n+" could not repeat and now may")
		}
		if m.Once && m.Single && !before.Single {
			p.Warnings = append(p.Warnings, "mapping "+n+" claims nothing any more: a caller's second copy may run too")
		}
	}
	for _, n := range sortedKeys(oldMappings) {
		if newMappings[n] == nil {
			removed++
			if removed <= 20 {
				p.Changes = append(p.Changes, "mapping "+n+" goes")
			}
		}
	}
	if added+removed+changes > 0 {
		p.Changes = append(p.Changes, fmt.Sprintf("mappings: %d new, %d changed, %d gone", added, changes, removed))
	}
}

func mappingsByName(c *Config) map[string]*Mapping {
	m := map[string]*Mapping{}
	for _, x := range c.Mappings {
		m[x.Name] = x
	}
	return m
}

func sortedKeys[T any](m map[string]T) []string {
	var l []string
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}
