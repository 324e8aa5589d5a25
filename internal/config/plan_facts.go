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
	return []fact{{"version", c.Version}, {"limits head_bytes", l.Head}, {"limits body_bytes", l.Body}, {"limits head_ms", l.HeadTime},
		{"limits idle_ms", l.Idle}}
}

func (s *Service) facts() []fact {
	return []fact{{"pool", s.Pool}, {"cap", s.Cap}, {"waitlist", s.Waitlist}, {"allow", s.Allow}, {"place", s.Place}, {"warm_ms", s.Warm},
		{"warm_rate", s.WarmRate}, {"prefix_bytes", s.Prefix}, {"spread", s.Spread}, {"adapt", s.Adapt}, {"floor", s.Floor},
		{"wait_aim_ms", s.WaitAim}, {"retry_after_ms", s.RetryAfter}, {"jitter_ms", s.Jitter}, {"first_ms", s.First}, {"memory", s.Memory},
		{"share", s.Share}, {"reads", s.Reads}, {"pairs_us", s.Pairs * 1000}, {"conns", s.Conns}, {"lax", s.Lax}}
}

func (m *Mapping) facts() []fact {
	return []fact{{"when", conditions(m.Match)}, {"to", strings.Join(m.To, " ")}, {"shares", m.Split},
		{"step", m.Step}, {"promise", m.Promise.Name}, {"once", m.Once}, {"tries", m.Tries}, {"rank", m.Rank}, {"stream", m.Stream},
		{"resume", m.Resume}, {"pause", m.Pause}, {"single", m.Single}}
}

// conditions writes them as the layout does, in one order whatever theirs.
func conditions(ms []routing.Match) string {
	var l []string
	for _, m := range ms {
		switch m.Op {
		case routing.OpPath:
			l = append(l, fmt.Sprintf("path = %q", m.Text))
		case routing.OpUnder:
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
		s.Name, s.Cap, s.Waitlist, workers, workers*s.Cap)
	if s.Cap == 0 {
		l = fmt.Sprintf("service %s: per worker as many in flight as the worker list tells; %d workers known", s.Name, workers)
	}
	if s.Memory > 0 {
		l += fmt.Sprintf("; at most %d tokens lent per worker", int(s.Share*float64(s.Memory)))
	}
	return l
}
