package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Spans of growing (start values). A voter that has been away for so long makes place for the learner that stands in for
// it, one whose disk is known to be lost at once; a set that all are there of for so long has grown.
const (
	goneVoter = 1500 * time.Millisecond
	calmFor   = 3 * time.Second
)

// Grower lets the voters grow to every disk that counts and replaces lost ones, one step at a time (design 13).
type Grower struct {
	away map[units.Node]units.Time
	ver  units.Num
	calm units.Time // since when every voter of that version was there
}

// Next gives the set of voters that should come next; false when none should.
func (g *Grower) Next(now units.Time, v QuorumSet, l CoreView) (QuorumSet, bool) {
	if g.away == nil {
		g.away = map[units.Node]units.Time{}
	}
	if g.ver != v.Version {
		g.ver, g.calm = v.Version, now
	}
	if v.Version == 0 {
		return QuorumSet{}, false
	}
	var drop units.Node
	all := true
	for _, n := range v.Members {
		if slices.Contains(l.Eligible, n) {
			delete(g.away, n)
			continue
		}
		all, g.calm = false, now
		if _, ok := g.away[n]; !ok {
			g.away[n] = now
		}
		if l.Lost[n] && !l.Lost[drop] || drop == 0 && now.Sub(g.away[n]) >= goneVoter {
			drop = n
		}
	}
	size, learner := v.Size, l.learner(v)
	if size == 0 {
		size = len(v.Members)
	}
	switch {
	case drop != 0 && len(v.Members) > size: // another disk stands in for it already
		ids := slices.DeleteFunc(slices.Clone(v.Members), func(n units.Node) bool { return n == drop })
		return QuorumSet{Size: size, Members: ids}, true
	case learner != 0 && (all || len(v.Members) <= size):
		return QuorumSet{Size: size, Members: append(slices.Clone(v.Members), learner)}, true
	case all && len(v.Members) > size && now.Sub(g.calm) >= calmFor:
		return QuorumSet{Size: len(v.Members), Members: v.Members}, true // nobody is gone: it has grown
	}
	return QuorumSet{}, false
}

// counts says whether a barometer's disk counts, or stands in for one where nobody's does.
func (l CoreView) counts(m membership.Member) bool {
	return l.diskless || m.Flags&membership.Counts != 0
}

// learner picks the disk that is to vote next: one that came in place of a lost voter's, or the lowest.
func (l CoreView) learner(v QuorumSet) (best units.Node) {
	place := false
	for _, m := range l.Controllers {
		if v.Has(m.Node) || !l.counts(m) || !usable(m) {
			continue
		}
		in := slices.ContainsFunc(l.replaced, func(x membership.Member) bool { return v.Has(x.Node) && x.Addr == m.Addr })
		if best == 0 || in && !place || in == place && m.Node < best {
			best, place = m.Node, in
		}
	}
	return best
}
