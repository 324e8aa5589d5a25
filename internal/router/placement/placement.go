// Package placement ranks the workers that a request may be sent to (docs/design.md, section 7).
package placement

import (
	"slices"
	"sync/atomic"

	"seamshunt/internal/units"
)

// Candidate is one worker that could serve the request.
type Candidate struct {
	Name string
	Zone string
	Load float64 // last known share of its capacity in use, waitlist included; stale, so never used for admission
}

// Query is the input of a placement policy.
type Query struct {
	Prefix         uint64 // fingerprint of the prompt's shared prefix; 0 if there is none
	Zone           string // the router's own zone
	PreferredCount int    // how many workers should serve one prefix
	Candidates     []Candidate
}

// Policies lists the placement policies by name. A new policy needs no other registration.
var Policies = map[string]func(*Placer, Query) []string{
	"prefix": (*Placer).byZonePrefix,
	"least":  (*Placer).leastLoaded,
	"turn":   (*Placer).roundRobin,
	"home":   (*Placer).byFleetPrefix,
}

// Placer holds the state that policies keep between requests.
type Placer struct {
	rotation atomic.Uint64
}

// Fingerprint hashes the first n bytes of a prompt, which identify its shared prefix.
func Fingerprint(prompt []byte, n int) uint64 {
	return units.Mix(string(prompt[:min(n, len(prompt))]))
}

// Rank returns the workers' names, best first.
func (p *Placer) Rank(policy string, q Query) []string { return Policies[policy](p, q) }

func candidateNames(l []Candidate) []string {
	s := make([]string, len(l))
	for i, x := range l {
		s[i] = x.Name
	}
	return s
}

// byZonePrefix puts first the preferred workers of the prefix, chosen by rendezvous hashing with the router's zone first,
// and sorts the others by load.
func (p *Placer) byZonePrefix(q Query) []string {
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
			return firstIf(near)
		}
		return firstIf(a.rank > b.rank)
	})
	if len(l) > q.PreferredCount {
		slices.SortStableFunc(l[q.PreferredCount:], func(a, b ranked) int { return compareLoad(a.Candidate, b.Candidate, q.Zone) })
	}
	s := make([]string, len(l))
	for i, x := range l {
		s[i] = x.Name
	}
	return s
}

// byFleetPrefix ranks by rendezvous hashing regardless of the zone, so that only few workers in the whole fleet prefill a
// long shared prefix. Workers behind the preferred ones, and all workers if there is no shared prefix, are sorted by load.
func (p *Placer) byFleetPrefix(q Query) []string {
	l := slices.Clone(q.Candidates)
	if q.Prefix == 0 {
		rotate(l, int(p.rotation.Add(1)))
		slices.SortStableFunc(l, func(a, b Candidate) int { return compareLoad(a, b, "") })
		return candidateNames(l)
	}
	rank := func(s Candidate) uint64 { return units.Mix(units.Hex(q.Prefix), s.Name) }
	slices.SortFunc(l, func(a, b Candidate) int { return firstIf(rank(a) > rank(b)) })
	if len(l) > q.PreferredCount {
		slices.SortStableFunc(l[q.PreferredCount:], func(a, b Candidate) int { return compareLoad(a, b, "") })
	}
	return candidateNames(l)
}

// firstIf returns the result of a comparison: -1 if the first operand comes first, 1 otherwise.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// compareLoad sorts by load. With a zone given, a worker in another zone must be less loaded by 0.5 to come first.
func compareLoad(a, b Candidate, zone string) int {
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

// leastLoaded sorts by load and prefers the router's zone.
func (p *Placer) leastLoaded(q Query) []string {
	l := slices.Clone(q.Candidates)
	rotate(l, int(p.rotation.Add(1)))
	slices.SortStableFunc(l, func(a, b Candidate) int { return compareLoad(a, b, q.Zone) })
	return candidateNames(l)
}

// roundRobin rotates through the workers regardless of the zone.
func (p *Placer) roundRobin(q Query) []string {
	l := slices.Clone(q.Candidates)
	rotate(l, int(p.rotation.Add(1)))
	return candidateNames(l)
}

func rotate(l []Candidate, by int) {
	if len(l) < 2 {
		return
	}
	k := by % len(l)
	t := append(slices.Clone(l[k:]), l[:k]...)
	copy(l, t)
}
