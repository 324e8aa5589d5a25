package forecast

import (
	"fmt"

	"seamshunt/internal/synop"
	"seamshunt/internal/vernier"
)

// parser reads the layout's mappings (docs/configuration.md has the grammar).
type parser struct {
	c    *Config
	f    *faults
	toks []token
	at   int
}

func (c *Config) parse(s string, f *faults) {
	p := &parser{c: c, f: f}
	p.toks = lex(s, f)
	for p.peek().kind != 0 && len(f.list) < 20 {
		if !p.mapping() {
			p.skip()
		}
	}
	if len(c.Mappings) == 0 && len(f.list) == 0 {
		f.add(synop.BadRule, "layout", "no mapping at all")
	}
}

func (p *parser) peek() token { return p.toks[p.at] }

func (p *parser) next() token {
	t := p.toks[p.at]
	if t.kind != 0 {
		p.at++
	}
	return t
}

func (p *parser) bad(t token, text string) bool {
	p.f.add(synop.BadRule, t.at(), text)
	return false
}

func (p *parser) want(kind byte, text string) (token, bool) {
	t := p.next()
	if t.kind != kind {
		return t, p.bad(t, text+" is wanted")
	}
	return t, true
}

// skip goes on behind the next closing brace, so that one run names several faults.
func (p *parser) skip() {
	for t := p.next(); t.kind != 0 && t.kind != '}'; t = p.next() {
	}
}

func (p *parser) mapping() bool {
	t, ok := p.want('n', "mapping")
	if !ok || t.text != "mapping" {
		return ok && p.bad(t, "mapping is wanted")
	}
	name, ok := p.want('n', "a name")
	if !ok {
		return false
	}
	if _, ok := p.want('{', "{"); !ok {
		return false
	}
	m := &Mapping{Name: name.text, line: name.line, col: name.col}
	runs := false
	for p.peek().kind != '}' {
		if !p.clause(m, &runs) {
			return false
		}
	}
	p.next()
	p.check(m, name, runs)
	p.c.Mappings = append(p.c.Mappings, m)
	return true
}

func (p *parser) clause(m *Mapping, runs *bool) bool {
	t, ok := p.want('n', "when, to, step, promise, once or repeat")
	if !ok {
		return false
	}
	switch t.text {
	case "when":
		return p.when(m)
	case "to":
		return p.services(m)
	case "step":
		s, ok := p.want('n', "a service")
		if ok && m.Step != "" {
			return p.bad(s, "a second step")
		}
		m.Step = s.text
		return ok
	case "promise":
		s, ok := p.want('n', "a promise")
		if !ok {
			return false
		}
		if m.Promise = p.c.Promises[s.text]; m.Promise == nil {
			p.bad(s, "no promise "+s.text)
		}
		return true
	case "once", "repeat":
		if *runs {
			return p.bad(t, "once or repeat is said already")
		}
		*runs, m.Once = true, t.text == "once"
		return true
	}
	return p.bad(t, t.text+" is no clause of a mapping")
}

func (p *parser) when(m *Mapping) bool {
	for {
		t, ok := p.want('n', "path, under or header")
		if !ok {
			return false
		}
		x := vernier.Match{}
		switch t.text {
		case "path":
			x.Op = vernier.OpPath
		case "under":
			x.Op = vernier.OpUnder
		case "header":
			x.Op = vernier.OpHeader
			h, ok := p.want('s', "the header's name in quotes")
			if !ok {
				return false
			}
			x.Name = h.text
		default:
			return p.bad(t, "path, under or header is wanted")
		}
		if _, ok := p.want('=', "="); !ok {
			return false
		}
		v, ok := p.want('s', "a text in quotes")
		if !ok {
			return false
		}
		x.Text = v.text
		if x.Op != vernier.OpHeader && (x.Text == "" || x.Text[0] != '/') {
			p.bad(v, "a path begins with /")
		}
		m.Match = append(m.Match, x)
		if t := p.peek(); t.kind != 'n' || t.text != "and" {
			return true
		}
		p.next()
	}
}

func (p *parser) services(m *Mapping) bool {
	for {
		s, ok := p.want('n', "a service")
		if !ok {
			return false
		}
		if p.c.Services[s.text] == nil {
			p.f.add(synop.NoService, s.at(), "no service "+s.text)
		}
		m.To = append(m.To, s.text)
		if p.peek().kind != ',' {
			return true
		}
		p.next()
	}
}

// check looks at a mapping as a whole.
func (p *parser) check(m *Mapping, t token, runs bool) {
	if len(m.Match) == 0 {
		p.bad(t, "mapping "+m.Name+" has no when")
	}
	if len(m.To) == 0 {
		p.bad(t, "mapping "+m.Name+" leads nowhere: to is missing")
	}
	if m.Promise == nil {
		p.bad(t, "mapping "+m.Name+" keeps no promise")
	}
	if !runs {
		p.bad(t, "mapping "+m.Name+" does not say once or repeat")
	}
	if m.Step == "" {
		return
	}
	ok := false
	for _, s := range m.To {
		ok = ok || s == m.Step
	}
	if !ok {
		p.f.add(synop.StepNotOpen, t.at(), fmt.Sprintf("mapping %s steps to %s, which it may not reach", m.Name, m.Step))
	}
	if len(m.To) > 0 && m.To[0] == m.Step {
		p.f.add(synop.StepNotOpen, t.at(), fmt.Sprintf("mapping %s steps to its own first service", m.Name))
	}
	if m.Promise != nil && !m.Promise.Smaller {
		p.f.add(synop.StepNotOpen, t.at(), fmt.Sprintf("promise %s lets no smaller model stand in", m.Promise.Name))
	}
}
