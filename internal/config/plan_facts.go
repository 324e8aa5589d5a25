package config

import (
	"fmt"
	"slices"
	"strings"

	"seamshunt/internal/config/routing"
)

// fact is one thing that a plan names when it changes.
type fact struct {
	name string
	is   any
}

// changed names what differs between two lists of the same facts.
func changed(old, next []fact) string {
	var l []string
	for i, x := range next {
		if was, is := fmt.Sprint(old[i].is), fmt.Sprint(x.is); was != is {
			l = append(l, fmt.Sprintf("%s %s to %s", x.name, was, is))
		}
	}
	return strings.Join(l, ", ")
}

func (c *Config) facts() []fact {
	l := c.Limits
	return []fact{{"version", c.Version}, {"limits head_bytes", l.HeaderBytes}, {"limits body_bytes", l.BodyBytes}, {"limits head_ms", l.HeaderTimeout},
		{"limits idle_ms", l.IdleTimeout}}
}

func (s *Service) facts() []fact {
	return []fact{{"pool", s.Pool}, {"cap", s.Capacity}, {"waitlist", s.MaxWaiting}, {"allow", s.AdmissionPolicy}, {"place", s.PlacementPolicy}, {"warm_ms", s.WarmUp},
		{"warm_rate", s.WarmUpRate}, {"prefix_bytes", s.PrefixBytes}, {"spread", s.PreferredCount}, {"adapt", s.Adaptive}, {"floor", s.MinCapacity},
		{"wait_aim_ms", s.TargetWait}, {"retry_after_ms", s.RetryAfter}, {"jitter_ms", s.RetryJitter}, {"first_ms", s.FirstTokenTime}, {"memory", s.MemoryTokens},
		{"share", s.MemoryShare}, {"reads", s.PrefillRate}, {"pairs_us", s.AttentionCost * 1000}, {"conns", s.MaxConns}, {"lax", s.QuickTakeover}}
}

func (m *Mapping) facts() []fact {
	return []fact{{"when", conditions(m.Conditions)}, {"to", strings.Join(m.Services, " ")}, {"shares", m.Split},
		{"step", m.FallbackService}, {"promise", m.Promise.Name}, {"once", m.Once}, {"tries", m.MaxWorkers}, {"rank", m.Rank}, {"stream", m.Stream},
		{"resume", m.Resume}, {"pause", m.MaxEventGap}, {"single", m.Single}}
}

// conditions writes them as the layout does, in one order whatever theirs.
func conditions(ms []routing.Condition) string {
	var l []string
	for _, m := range ms {
		switch m.Op {
		case routing.OpPath:
			l = append(l, fmt.Sprintf("path = %q", m.Text))
		case routing.OpPrefix:
			l = append(l, fmt.Sprintf("under = %q", m.Text))
		case routing.OpHost:
			l = append(l, fmt.Sprintf("host = %q", m.Text))
		case routing.OpHeader:
			l = append(l, fmt.Sprintf("header %q = %q", strings.ToLower(m.Name), m.Text))
		}
	}
	slices.Sort(l)
	return strings.Join(l, " and ")
}

// ceiling says what one service may hold at once, with so many workers known.
func (s *Service) ceiling(workers int) string {
	l := fmt.Sprintf("service %s: at most %d in flight and %d waiting per worker; %d workers known, so %d in flight",
		s.Name, s.Capacity, s.MaxWaiting, workers, workers*s.Capacity)
	if s.Capacity == 0 {
		l = fmt.Sprintf("service %s: per worker as many in flight as the worker list tells; %d workers known", s.Name, workers)
	}
	if s.MemoryTokens > 0 {
		l += fmt.Sprintf("; at most %d tokens lent per worker", int(s.MemoryShare*float64(s.MemoryTokens)))
	}
	return l
}
