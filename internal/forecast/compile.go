package forecast

import (
	"fmt"
	"sort"
	"strings"

	"seamshunt/internal/synop"
	"seamshunt/internal/vernier"
)

// compile lays the mappings out as one program; the first that matches a request serves it.
func (c *Config) compile(f *faults) {
	names, routes := map[string]bool{}, map[string]string{}
	var ways []vernier.Way
	for i, m := range c.Mappings {
		at := fmt.Sprintf("layout line %d column %d", m.line, m.col)
		if names[m.Name] {
			f.add(synop.Duplicate, at, "mapping "+m.Name+" given twice")
		}
		names[m.Name] = true
		sig := signature(m.Match)
		if o, ok := routes[sig]; ok {
			f.add(synop.Duplicate, at, "mapping "+m.Name+" matches just what "+o+" does")
		}
		routes[sig] = m.Name
		w := vernier.Way{Match: m.Match}
		w.Do = append(w.Do, vernier.Instr{Op: vernier.OpLimit, Arg: int(m.Promise.Longest.Milliseconds()), Mapping: i})
		if m.Once {
			w.Do = append(w.Do, vernier.Instr{Op: vernier.OpClaim, Mapping: i})
		}
		w.Do = append(w.Do, vernier.Instr{Op: vernier.OpTry, Text: m.To[0], Mapping: i})
		if m.Step != "" {
			w.Do = append(w.Do, vernier.Instr{Op: vernier.OpTry, Text: m.Step, Mapping: i})
		}
		w.Do = append(w.Do, vernier.Instr{Op: vernier.OpRefuse, Mapping: i})
		ways = append(ways, w)
	}
	c.Program = vernier.Build(ways)
}

func signature(ms []vernier.Match) string {
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
