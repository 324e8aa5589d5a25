package barograph

import (
	"slices"
	"time"

	"seamshunt/internal/mast"
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
func (g *Grower) Next(now units.Time, v Voters, l Look) (Voters, bool) {
	if g.away == nil {
		g.away = map[units.Node]units.Time{}
	}
	if g.ver != v.Ver {
		g.ver, g.calm = v.Ver, now
	}
	if v.Ver == 0 {
		return Voters{}, false
	}
	var drop units.Node
	all := true
	for _, n := range v.IDs {
		if slices.Contains(l.Fit, n) {
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
		size = len(v.IDs)
	}
	switch {
	case drop != 0 && len(v.IDs) > size: // another disk stands in for it already
		ids := slices.DeleteFunc(slices.Clone(v.IDs), func(n units.Node) bool { return n == drop })
		return Voters{Size: size, IDs: ids}, true
	case learner != 0 && (all || len(v.IDs) <= size):
		return Voters{Size: size, IDs: append(slices.Clone(v.IDs), learner)}, true
	case all && len(v.IDs) > size && now.Sub(g.calm) >= calmFor:
		return Voters{Size: len(v.IDs), IDs: v.IDs}, true // nobody is gone: it has grown
	}
	return Voters{}, false
}

// counts says whether a barometer's disk counts, or stands in for one where nobody's does.
func (l Look) counts(m mast.Member) bool { return l.bare || m.Flags&mast.Counts != 0 }

// learner picks the disk that is to vote next: one that came in place of a lost voter's, or the lowest.
func (l Look) learner(v Voters) (best units.Node) {
	place := false
	for _, m := range l.Cores {
		if v.Has(m.Node) || !l.counts(m) || !usable(m) {
			continue
		}
		in := slices.ContainsFunc(l.gone, func(x mast.Member) bool { return v.Has(x.Node) && x.Addr == m.Addr })
		if best == 0 || in && !place || in == place && m.Node < best {
			best, place = m.Node, in
		}
	}
	return best
}
