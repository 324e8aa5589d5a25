// Package placement is placement: which workers a prompt may be offered, in which order (design 7).
package placement

import (
	"slices"
	"sync/atomic"

	"seamshunt/internal/units"
)

// Candidate is one worker that could take the prompt.
type Candidate struct {
	Name string
	Zone string
	Load float64 // last known share of its cap in use, its waitlist counted; late and never trusted for admission
}

// Query is what a policy may look at.
type Query struct {
	Prefix         uint64
	Zone           string // the node's own
	PreferredCount int
	Candidates     []Candidate
}

// Policies by name; a new one is a new line here and nothing elsewhere.
var Policies = map[string]func(*Placer, Query) []string{
	"prefix": (*Placer).prefix,
	"least":  (*Placer).least,
	"turn":   (*Placer).turn,
	"home":   (*Placer).home,
}

// Placer holds what policies remember between prompts.
type Placer struct {
	next atomic.Uint64
}

// Fingerprint names a prompt's shared prefix: its first bytes.
func Fingerprint(prompt []byte, n int) uint64 {
	return units.Mix(string(prompt[:min(n, len(prompt))]))
}

// Rank lists workers, best first.
func (w *Placer) Rank(policy string, q Query) []string { return Policies[policy](w, q) }

func names(l []Candidate) []string {
	s := make([]string, len(l))
	for i, x := range l {
		s[i] = x.Name
	}
	return s
}

// prefix: the own zone's first few in rendezvous order hold the prefix; behind them the least loaded.
func (w *Placer) prefix(q Query) []string {
	type ranked struct {
		Candidate
		rank uint64
	}
	l := make([]ranked, len(q.Candidates))
	for i, s := range q.Candidates {
		l[i] = ranked{s, units.Mix(units.Hex(q.Prefix), s.Name)}
	}
	slices.SortFunc(l, func(a, b ranked) int {
		if near := (a.Zone == q.Zone); near != (b.Zone == q.Zone) {
			return flip(near)
		}
		return flip(a.rank > b.rank)
	})
	if len(l) > q.PreferredCount {
		slices.SortStableFunc(l[q.PreferredCount:], func(a, b ranked) int { return byLoad(a.Candidate, b.Candidate, q.Zone) })
	}
	s := make([]string, len(l))
	for i, x := range l {
		s[i] = x.Name
	}
	return s
}

// home: one order for the whole fleet, whatever the zone, so that a long shared part is read by few workers; behind
// the first few, and where nothing is shared, the least loaded.
func (w *Placer) home(q Query) []string {
	l := slices.Clone(q.Candidates)
	if q.Prefix == 0 {
		rotate(l, int(w.next.Add(1)))
		slices.SortStableFunc(l, func(a, b Candidate) int { return byLoad(a, b, "") })
		return names(l)
	}
	rank := func(s Candidate) uint64 { return units.Mix(units.Hex(q.Prefix), s.Name) }
	slices.SortFunc(l, func(a, b Candidate) int { return flip(rank(a) > rank(b)) })
	if len(l) > q.PreferredCount {
		slices.SortStableFunc(l[q.PreferredCount:], func(a, b Candidate) int { return byLoad(a, b, "") })
	}
	return names(l)
}

func flip(first bool) int {
	if first {
		return -1
	}
	return 1
}

// byLoad puts the less loaded first; a worker in another zone must be much less loaded to come before.
func byLoad(a, b Candidate, zone string) int {
	x, y := a.Load, b.Load
	if a.Zone != zone && zone != "" {
		x += 0.5
	}
	if b.Zone != zone && zone != "" {
		y += 0.5
	}
	if x < y {
		return -1
	}
	if x > y {
		return 1
	}
	return 0
}

// least: the least loaded first, the own zone preferred.
func (w *Placer) least(q Query) []string {
	l := slices.Clone(q.Candidates)
	rotate(l, int(w.next.Add(1)))
	slices.SortStableFunc(l, func(a, b Candidate) int { return byLoad(a, b, q.Zone) })
	return names(l)
}

// turn: each in its turn, whatever the zone.
func (w *Placer) turn(q Query) []string {
	l := slices.Clone(q.Candidates)
	rotate(l, int(w.next.Add(1)))
	return names(l)
}

func rotate(l []Candidate, by int) {
	if len(l) < 2 {
		return
	}
	k := by % len(l)
	t := append(slices.Clone(l[k:]), l[:k]...)
	copy(l, t)
}
