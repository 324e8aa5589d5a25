package config

import (
	"fmt"
	"strconv"
	"strings"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
)

// parseClause parses one clause of a mapping; clauses records the position of those that may be given only once.
func (p *parser) parseClause(m *Mapping, clauses map[string]token) bool {
	t, ok := p.expect('n', "a clause")
	if !ok {
		return false
	}
	name := t.text
	switch name {
	case "when":
		return p.parseConditions(m)
	case "to":
		if _, ok := clauses[name]; !ok {
			clauses[name] = t
		}
		return p.parseServices(m)
	case "step":
		s, ok := p.expect('n', "a service")
		if ok && m.FallbackService != "" {
			return p.addFault(s, "a second step")
		}
		m.FallbackService = s.text
		return ok
	case "promise":
		s, ok := p.expect('n', "a promise")
		if !ok {
			return false
		}
		if m.Promise = p.config.Promises[s.text]; m.Promise == nil {
			p.addFault(s, "no promise "+s.text)
		}
		return true
	case "once", "repeat":
		name = "runs"
	case "tries", "rank", "pause", "stream", "resume", "single":
	default:
		return p.addFault(t, t.text+" is no clause of a mapping")
	}
	if _, ok := clauses[name]; ok {
		if name == "runs" {
			return p.addFault(t, "once or repeat is said already")
		}
		return p.addFault(t, name+" is said already")
	}
	clauses[name] = t
	switch t.text {
	case "once":
		m.Once = true
	case "tries":
		m.MaxWorkers = p.parseCount(1, 9)
	case "rank":
		m.Rank = p.parseCount(0, 9)
	case "pause":
		m.MaxEventGap = millis(p.parseCount(1, 600000))
	case "stream":
		m.Stream = true
	case "resume":
		m.Resume = true
	case "single":
		m.Single = true
	}
	return true
}

// parseCount parses the whole number of a clause.
func (p *parser) parseCount(minValue, maxValue int) int {
	t := p.peek()
	if t.kind == 'n' {
		p.next()
	}
	n, err := strconv.Atoi(t.text)
	if err != nil || n < minValue || n > maxValue {
		p.addFault(t, fmt.Sprintf("a whole number from %d to %d is wanted", minValue, maxValue))
		return minValue
	}
	return n
}

// parseConditions parses the conditions of a when clause.
func (p *parser) parseConditions(m *Mapping) bool {
	for {
		t, ok := p.expect('n', "path, under, host or header")
		if !ok {
			return false
		}
		condition := routing.Condition{}
		switch t.text {
		case "path":
			condition.Op = routing.OpPath
		case "under":
			condition.Op = routing.OpPrefix
		case "host":
			condition.Op = routing.OpHost
		case "header":
			condition.Op = routing.OpHeader
			header, ok := p.expect('s', "the header's name in quotes")
			if !ok {
				return false
			}
			condition.Name = header.text
		default:
			return p.addFault(t, "path, under, host or header is wanted")
		}
		if _, ok := p.expect('=', "="); !ok {
			return false
		}
		value, ok := p.expect('s', "a text in quotes")
		if !ok {
			return false
		}
		condition.Text = value.text
		switch {
		case condition.Op == routing.OpHost:
			if condition.Text = strings.ToLower(value.text); !validHost(condition.Text) {
				p.addFault(value, "a host's name without a port is wanted")
			}
		case condition.Op != routing.OpHeader && (condition.Text == "" || condition.Text[0] != '/'):
			p.addFault(value, "a path begins with /")
		}
		m.Conditions = append(m.Conditions, condition)
		if t := p.peek(); t.kind != 'n' || t.text != "and" {
			return true
		}
		p.next()
	}
}

// validHost reports whether s can match the host of a request, which is compared in lower case and without its port.
func validHost(s string) bool {
	if s == "" || strings.ContainsAny(s, "/ \t@?#") {
		return false
	}
	return !strings.Contains(s, ":") || s[0] == '[' && s[len(s)-1] == ']'
}

// parseServices parses the services that a mapping may use; a number after a service is its share of the requests.
func (p *parser) parseServices(m *Mapping) bool {
	for {
		s, ok := p.expect('n', "a service")
		if !ok {
			return false
		}
		if p.config.Services[s.text] == nil {
			p.faults.add(resultcode.UnknownService, s.position(), "no service "+s.text)
		}
		if t := p.peek(); t.kind == 'n' && t.text[0] >= '0' && t.text[0] <= '9' {
			for _, x := range m.Split {
				if x.Service == s.text {
					p.faults.add(resultcode.Duplicate, s.position(), "service "+s.text+" has a share already")
				}
			}
			m.Split = append(m.Split, Target{s.text, p.parseCount(0, 1000000)})
		}
		m.Services = append(m.Services, s.text)
		if p.peek().kind != ',' {
			return true
		}
		p.next()
	}
}
