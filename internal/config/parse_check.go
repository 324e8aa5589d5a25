package config

import (
	"fmt"

	"seamshunt/internal/resultcode"
)

// check looks at a mapping as a whole.
func (p *parser) check(m *Mapping, t token, said map[string]token) {
	if len(m.Conditions) == 0 {
		p.bad(t, "mapping "+m.Name+" has no when")
	}
	if len(m.Services) == 0 {
		p.bad(t, "mapping "+m.Name+" leads nowhere: to is missing")
	}
	if m.Promise == nil {
		p.bad(t, "mapping "+m.Name+" keeps no promise")
	}
	if _, ok := said["runs"]; !ok {
		p.bad(t, "mapping "+m.Name+" does not say once or repeat")
	}
	p.stream(m, said)
	p.shares(m, said["to"])
	if m.FallbackService == "" {
		return
	}
	ok := false
	for _, s := range m.Services {
		ok = ok || s == m.FallbackService
	}
	if !ok {
		p.f.add(resultcode.StepNotAllowed, t.at(), fmt.Sprintf("mapping %s steps to %s, which it may not reach", m.Name, m.FallbackService))
	}
	if len(m.Split) < 2 && len(m.Services) > 0 && m.Services[0] == m.FallbackService {
		p.f.add(resultcode.StepNotAllowed, t.at(), fmt.Sprintf("mapping %s steps to its own first service", m.Name))
	}
	for _, s := range m.Split {
		if len(m.Split) > 1 && s.Service == m.FallbackService && s.Share > 0 {
			p.f.add(resultcode.StepNotAllowed, t.at(), fmt.Sprintf("mapping %s steps to %s, which shares its requests", m.Name, m.FallbackService))
		}
	}
	if m.Promise != nil && !m.Promise.AllowSmaller {
		p.f.add(resultcode.StepNotAllowed, t.at(), fmt.Sprintf("promise %s lets no smaller model stand in", m.Promise.Name))
	}
}

// stream looks at what only a series of events can do.
func (p *parser) stream(m *Mapping, said map[string]token) {
	if m.Resume && !m.Stream {
		p.bad(said["resume"], "resume needs stream")
	}
	if m.Resume && m.Once {
		p.bad(said["resume"], "resume sends the request again, which once forbids")
	}
	if m.MaxEventGap > 0 && !m.Stream {
		p.bad(said["pause"], "a pause needs stream")
	}
}

// shares looks at how the requests are shared out: each service has a share, or none has.
func (p *parser) shares(m *Mapping, to token) {
	sum := 0
	for _, s := range m.Split {
		sum += s.Share
	}
	switch {
	case len(m.Split) == 0:
	case len(m.Split) < len(m.Services):
		p.bad(to, "some services have a share and some have none")
	case sum == 0:
		p.bad(to, "the shares sum to 0")
	}
}
