package register

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Look is what membership shows of the core, for owners, founders and the doctor.
type CoreView struct {
	Eligible    []units.Node        // may own keys: a suspect may not, since a change of owner costs a round and waiting costs seconds
	Blank       []units.Node        // alive and without a vote
	FleetExists bool                // somebody has heard of a fleet that stands
	Controllers []membership.Member // the live barometers
	Lost        map[units.Node]bool // barometers at whose address another one lives now: their disks were lost
	replaced    []membership.Member // the same
	diskless    bool                // no barometer has a disk that counts: then each one counts (design 13)
}

// LookAt reads membership.
func ViewCore(all []membership.Member) (l CoreView) {
	l.Lost, l.diskless = replaced(all), true
	for _, m := range all {
		live := m.State <= membership.Suspect && !l.Lost[m.Node]
		if m.Role != membership.Controller {
			l.FleetExists = l.FleetExists || live && m.Flags&membership.Ready != 0
			continue
		}
		if l.diskless = l.diskless && m.Flags&membership.Counts == 0; live {
			l.Controllers = append(l.Controllers, m)
		} else if l.Lost[m.Node] {
			l.replaced = append(l.replaced, m)
		}
		if usable(m) && live {
			l.Eligible = append(l.Eligible, m.Node)
		}
		if m.Flags&membership.Voter != 0 {
			l.FleetExists = true
		} else if live {
			l.Blank = append(l.Blank, m.Node)
		}
	}
	return l
}

func usable(m membership.Member) bool {
	return m.State == membership.Alive && m.Flags&(membership.Draining|membership.Unfit) == 0
}

// replaced finds the barometers whose address a later one has: one address bears one process, and the later one began
// with the higher incarnation.
func replaced(all []membership.Member) map[units.Node]bool {
	at := map[string]membership.Member{}
	for _, m := range all {
		if o, ok := at[m.Addr]; m.Role == membership.Controller && m.State == membership.Alive && (!ok || o.Inc < m.Inc) {
			at[m.Addr] = m
		}
	}
	lost := map[units.Node]bool{}
	for _, m := range all {
		n, ok := at[m.Addr]
		if ok && m.Role == membership.Controller && n.Node != m.Node && (m.State > membership.Suspect || m.Inc < n.Inc) {
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
func (d *Doctor) Next(now units.Time, v QuorumSet, l CoreView) []units.Node {
	if d.gone == nil {
		d.gone = map[units.Node]units.Time{}
	}
	if v.Version == 0 {
		return nil
	}
	live := map[units.Node]bool{}
	var learner, gone units.Node
	for _, n := range l.Eligible {
		live[n] = true
		if !v.Has(n) && (learner == 0 || n < learner) {
			learner = n
		}
	}
	for _, n := range v.Members {
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
	case learner != 0 && (gone != 0 && len(v.Members) <= d.Founders || len(v.Members) < d.Founders):
		return append(append(ids, v.Members...), learner)
	case gone != 0 && len(v.Members) > d.Founders:
		for _, n := range v.Members {
			if n != gone {
				ids = append(ids, n)
			}
		}
	}
	return ids
}
