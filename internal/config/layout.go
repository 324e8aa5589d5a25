package config

import "seamshunt/internal/resultcode"

// parser parses the layout's mappings (see docs/configuration.md for the grammar).
type parser struct {
	config *Config
	faults *faultList
	tokens []token
	pos    int
}

// parseLayout parses all mappings of the layout; faults in it are added to the list.
func (c *Config) parseLayout(s string, faults *faultList) {
	p := &parser{config: c, faults: faults}
	p.tokens = lex(s, faults)
	for p.peek().kind != 0 && len(faults.list) < 20 {
		if !p.parseMapping() {
			p.skipMapping()
		}
	}
	if len(c.Mappings) == 0 && len(faults.list) == 0 {
		faults.add(resultcode.InvalidRule, "layout", "no mapping at all")
	}
}

func (p *parser) peek() token { return p.tokens[p.pos] }

// next consumes and returns the next token; at the end it keeps returning the end token.
func (p *parser) next() token {
	t := p.tokens[p.pos]
	if t.kind != 0 {
		p.pos++
	}
	return t
}

// addFault records a fault at a token, and returns false.
func (p *parser) addFault(t token, text string) bool {
	p.faults.add(resultcode.InvalidRule, t.position(), text)
	return false
}

// expect consumes the next token, and records a fault if it has another kind; text names what is expected.
func (p *parser) expect(kind byte, text string) (token, bool) {
	t := p.next()
	if t.kind != kind {
		return t, p.addFault(t, text+" is wanted")
	}
	return t, true
}

// skipMapping continues after the next closing brace, so that one pass reports several faults.
func (p *parser) skipMapping() {
	t := p.next()
	for t.kind != 0 && t.kind != '}' {
		t = p.next()
	}
}

func (p *parser) parseMapping() bool {
	t, ok := p.expect('n', "mapping")
	if !ok || t.text != "mapping" {
		return ok && p.addFault(t, "mapping is wanted")
	}
	name, ok := p.expect('n', "a name")
	if !ok {
		return false
	}
	if _, ok := p.expect('{', "{"); !ok {
		return false
	}
	m := &Mapping{Name: name.text, line: name.line, col: name.col}
	clauses := map[string]token{}
	for p.peek().kind != '}' {
		if !p.parseClause(m, clauses) {
			return false
		}
	}
	p.next()
	p.checkMapping(m, name, clauses)
	if len(m.Split) == 1 {
		m.Split = nil
	}
	p.config.Mappings = append(p.config.Mappings, m)
	return true
}
