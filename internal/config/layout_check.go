package config

import (
	"fmt"

	"seamshunt/internal/resultcode"
)

// checkMapping checks what concerns several clauses of a mapping.
func (p *parser) checkMapping(m *Mapping, t token, clauses map[string]token) {
	if len(m.Conditions) == 0 {
		p.addFault(t, "mapping "+m.Name+" has no when")
	}
	if len(m.Services) == 0 {
		p.addFault(t, "mapping "+m.Name+" leads nowhere: to is missing")
	}
	if m.Promise == nil {
		p.addFault(t, "mapping "+m.Name+" keeps no promise")
	}
	if _, reachable := clauses["runs"]; !reachable {
		p.addFault(t, "mapping "+m.Name+" does not say once or repeat")
	}
	p.checkStream(m, clauses)
	p.checkShares(m, clauses["to"])
	if m.FallbackService == "" {
		return
	}
	reachable := false
	for _, s := range m.Services {
		reachable = reachable || s == m.FallbackService
	}
	if !reachable {
		p.faults.add(resultcode.StepNotAllowed, t.position(),
			fmt.Sprintf("mapping %s steps to %s, which it may not reach", m.Name, m.FallbackService))
	}
	if len(m.Split) < 2 && len(m.Services) > 0 && m.Services[0] == m.FallbackService {
		p.faults.add(resultcode.StepNotAllowed, t.position(), fmt.Sprintf("mapping %s steps to its own first service", m.Name))
	}
	for _, s := range m.Split {
		if len(m.Split) > 1 && s.Service == m.FallbackService && s.Share > 0 {
			p.faults.add(resultcode.StepNotAllowed, t.position(),
				fmt.Sprintf("mapping %s steps to %s, which shares its requests", m.Name, m.FallbackService))
		}
	}
	if m.Promise != nil && !m.Promise.AllowSmaller {
		p.faults.add(resultcode.StepNotAllowed, t.position(), fmt.Sprintf("promise %s lets no smaller model stand in",
			m.Promise.Name))
	}
}

// checkStream checks the clauses that need a stream of events.
func (p *parser) checkStream(m *Mapping, clauses map[string]token) {
	if m.Resume && !m.Stream {
		p.addFault(clauses["resume"], "resume needs stream")
	}
	if m.Resume && m.Once {
		p.addFault(clauses["resume"], "resume sends the request again, which once forbids")
	}
	if m.MaxEventGap > 0 && !m.Stream {
		p.addFault(clauses["pause"], "a pause needs stream")
	}
}

// checkShares checks that either every service of a mapping has a share or none has, and that they aren't all 0.
func (p *parser) checkShares(m *Mapping, to token) {
	sum := 0
	for _, s := range m.Split {
		sum += s.Share
	}
	switch {
	case len(m.Split) == 0:
	case len(m.Split) < len(m.Services):
		p.addFault(to, "some services have a share and some have none")
	case sum == 0:
		p.addFault(to, "the shares sum to 0")
	}
}
