package barograph

import (
	"time"

	"seamshunt/internal/mast"
	"seamshunt/internal/units"
)

// Look is what membership shows of the core, for owners, founders and the doctor.
type Look struct {
	Fit    []units.Node        // may own keys: a suspect may not, since a change of owner costs a round and waiting costs seconds
	Blanks []units.Node        // alive and without a vote
	Fleet  bool                // somebody has heard of a fleet that stands
	Cores  []mast.Member       // the live barometers
	Lost   map[units.Node]bool // barometers at whose address another one lives now: their disks were lost
	gone   []mast.Member       // the same
	bare   bool                // no barometer has a disk that counts: then each one counts (design 13)
}

// LookAt reads membership.
func LookAt(all []mast.Member) (l Look) {
	l.Lost, l.bare = replaced(all), true
	for _, m := range all {
		live := m.State <= mast.Suspect && !l.Lost[m.Node]
		if m.Role != mast.Barometer {
			l.Fleet = l.Fleet || live && m.Flags&mast.Ready != 0
			continue
		}
		if l.bare = l.bare && m.Flags&mast.Counts == 0; live {
			l.Cores = append(l.Cores, m)
		} else if l.Lost[m.Node] {
			l.gone = append(l.gone, m)
		}
		if usable(m) && live {
			l.Fit = append(l.Fit, m.Node)
		}
		if m.Flags&mast.Voter != 0 {
			l.Fleet = true
		} else if live {
			l.Blanks = append(l.Blanks, m.Node)
		}
	}
	return l
}

func usable(m mast.Member) bool {
	return m.State == mast.Alive && m.Flags&(mast.Draining|mast.Unfit) == 0
}

// replaced finds the barometers whose address a later one has: one address bears one process, and the later one began
// with the higher incarnation.
func replaced(all []mast.Member) map[units.Node]bool {
	at := map[string]mast.Member{}
	for _, m := range all {
		if o, ok := at[m.Addr]; m.Role == mast.Barometer && m.State == mast.Alive && (!ok || o.Inc < m.Inc) {
			at[m.Addr] = m
		}
	}
	lost := map[units.Node]bool{}
	for _, m := range all {
		n, ok := at[m.Addr]
		if ok && m.Role == mast.Barometer && n.Node != m.Node && (m.State > mast.Suspect || m.Inc < n.Inc) {
			lost[m.Node] = true
		}
	}
	return lost
}

// lostVoter is how long a voter must be gone before a learner takes its place (start).
const lostVoter = 5 * time.Second

// Doctor replaces lost voters by learners, one step at a time (design 2).
type Doctor struct {
	Founders int
	gone     map[units.Node]units.Time
}

// Next gives the set of voters that should come next, or nothing.
func (d *Doctor) Next(now units.Time, v Voters, l Look) []units.Node {
	if d.gone == nil {
		d.gone = map[units.Node]units.Time{}
	}
	if v.Ver == 0 {
		return nil
	}
	live := map[units.Node]bool{}
	var learner, gone units.Node
	for _, n := range l.Fit {
		live[n] = true
		if !v.Has(n) && (learner == 0 || n < learner) {
			learner = n
		}
	}
	for _, n := range v.IDs {
		if live[n] {
			delete(d.gone, n)
			continue
		}
		if _, ok := d.gone[n]; !ok {
			d.gone[n] = now
		}
		if now.Sub(d.gone[n]) >= lostVoter && (gone == 0 || n < gone) {
			gone = n
		}
	}
	var ids []units.Node
	switch {
	case learner != 0 && (gone != 0 && len(v.IDs) <= d.Founders || len(v.IDs) < d.Founders):
		return append(append(ids, v.IDs...), learner)
	case gone != 0 && len(v.IDs) > d.Founders:
		for _, n := range v.IDs {
			if n != gone {
				ids = append(ids, n)
			}
		}
	}
	return ids
}
