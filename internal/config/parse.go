package config

import "seamshunt/internal/resultcode"

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
		f.add(resultcode.InvalidRule, "layout", "no mapping at all")
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
	p.f.add(resultcode.InvalidRule, t.at(), text)
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
	t := p.next()
	for t.kind != 0 && t.kind != '}' {
		t = p.next()
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
	said := map[string]token{}
	for p.peek().kind != '}' {
		if !p.clause(m, said) {
			return false
		}
	}
	p.next()
	p.check(m, name, said)
	if len(m.Split) == 1 {
		m.Split = nil
	}
	p.c.Mappings = append(p.c.Mappings, m)
	return true
}
