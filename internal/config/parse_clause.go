package config

import (
	"fmt"
	"strconv"
	"strings"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
)

// clause reads one; said remembers where those stand that may be said only once.
func (p *parser) clause(m *Mapping, said map[string]token) bool {
	t, ok := p.want('n', "a clause")
	if !ok {
		return false
	}
	name := t.text
	switch name {
	case "when":
		return p.when(m)
	case "to":
		if _, ok := said[name]; !ok {
			said[name] = t
		}
		return p.services(m)
	case "step":
		s, ok := p.want('n', "a service")
		if ok && m.FallbackService != "" {
			return p.bad(s, "a second step")
		}
		m.FallbackService = s.text
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
		name = "runs"
	case "tries", "rank", "pause", "stream", "resume", "single":
	default:
		return p.bad(t, t.text+" is no clause of a mapping")
	}
	if _, ok := said[name]; ok {
		if name == "runs" {
			return p.bad(t, "once or repeat is said already")
		}
		return p.bad(t, name+" is said already")
	}
	said[name] = t
	switch t.text {
	case "once":
		m.Once = true
	case "tries":
		m.MaxWorkers = p.count(1, 9)
	case "rank":
		m.Rank = p.count(0, 9)
	case "pause":
		m.MaxEventGap = ms(p.count(1, 600000))
	case "stream":
		m.Stream = true
	case "resume":
		m.Resume = true
	case "single":
		m.Single = true
	}
	return true
}

// count reads a clause's whole number.
func (p *parser) count(least, most int) int {
	t := p.peek()
	if t.kind == 'n' {
		p.next()
	}
	n, err := strconv.Atoi(t.text)
	if err != nil || n < least || n > most {
		p.bad(t, fmt.Sprintf("a whole number from %d to %d is wanted", least, most))
		return least
	}
	return n
}

func (p *parser) when(m *Mapping) bool {
	for {
		t, ok := p.want('n', "path, under, host or header")
		if !ok {
			return false
		}
		x := routing.Condition{}
		switch t.text {
		case "path":
			x.Op = routing.OpPath
		case "under":
			x.Op = routing.OpPrefix
		case "host":
			x.Op = routing.OpHost
		case "header":
			x.Op = routing.OpHeader
			h, ok := p.want('s', "the header's name in quotes")
			if !ok {
				return false
			}
			x.Name = h.text
		default:
			return p.bad(t, "path, under, host or header is wanted")
		}
		if _, ok := p.want('=', "="); !ok {
			return false
		}
		v, ok := p.want('s', "a text in quotes")
		if !ok {
			return false
		}
		x.Text = v.text
		switch {
		case x.Op == routing.OpHost:
			if x.Text = strings.ToLower(v.text); !hostName(x.Text) {
				p.bad(v, "a host's name without a port is wanted")
			}
		case x.Op != routing.OpHeader && (x.Text == "" || x.Text[0] != '/'):
			p.bad(v, "a path begins with /")
		}
		m.Conditions = append(m.Conditions, x)
		if t := p.peek(); t.kind != 'n' || t.text != "and" {
			return true
		}
		p.next()
	}
}

// hostName says whether a request's host can be this: there it stands in lower case and without its port.
func hostName(s string) bool {
	if s == "" || strings.ContainsAny(s, "/ \t@?#") {
		return false
	}
	return !strings.Contains(s, ":") || s[0] == '[' && s[len(s)-1] == ']'
}

// services reads what a mapping may reach; a number behind a service is its share.
func (p *parser) services(m *Mapping) bool {
	for {
		s, ok := p.want('n', "a service")
		if !ok {
			return false
		}
		if p.c.Services[s.text] == nil {
			p.f.add(resultcode.UnknownService, s.at(), "no service "+s.text)
		}
		if t := p.peek(); t.kind == 'n' && t.text[0] >= '0' && t.text[0] <= '9' {
			for _, x := range m.Split {
				if x.Service == s.text {
					p.f.add(resultcode.Duplicate, s.at(), "service "+s.text+" has a share already")
				}
			}
			m.Split = append(m.Split, Target{s.text, p.count(0, 1000000)})
		}
		m.Services = append(m.Services, s.text)
		if p.peek().kind != ',' {
			return true
		}
		p.next()
	}
}
