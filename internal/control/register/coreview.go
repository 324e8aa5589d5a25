package register

import (
	"slices"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// ControllerView is what membership shows of the controllers, for owners, founders and the planner.
type ControllerView struct {
	Eligible      []units.NodeID        // may own keys: a suspect may not, since a change of owner costs a round and waiting costs seconds
	Draining      []units.NodeID        // could own keys but for being about to end
	Uninitialized []units.NodeID        // alive and without a vote
	FleetExists   bool                  // somebody has heard of a fleet that stands
	Controllers   []membership.Member   // the live controllers
	Replaced      map[units.NodeID]bool // controllers at whose address another one lives now: their disks were lost
	departed      map[units.NodeID]bool // controllers that have said goodbye
	diskless      bool                  // no controller has a disk that counts: then each one counts (design 13)
}

// NewControllerView reads membership.
func NewControllerView(all []membership.Member) (l ControllerView) {
	l.Replaced, l.departed, l.diskless = replaced(all), map[units.NodeID]bool{}, true
	for _, m := range all {
		live := m.State <= membership.Suspect && !l.Replaced[m.Node]
		if m.Role != membership.Controller {
			l.FleetExists = l.FleetExists || live && m.Flags&membership.Ready != 0
			continue
		}
		l.diskless = l.diskless && m.Flags&membership.MayVote == 0
		l.departed[m.Node] = m.State == membership.Left
		if live {
			l.Controllers = append(l.Controllers, m)
		}
		if usable(m) && live {
			l.Eligible = append(l.Eligible, m.Node)
		} else if live && m.State == membership.Alive && m.Flags&(membership.Draining|membership.DiskUnfit) == membership.Draining {
			l.Draining = append(l.Draining, m.Node)
		}
		if m.Flags&membership.Voter != 0 {
			l.FleetExists = true
		} else if live {
			l.Uninitialized = append(l.Uninitialized, m.Node)
		}
	}
	return l
}

func usable(m membership.Member) bool {
	return m.State == membership.Alive && m.Flags&(membership.Draining|membership.DiskUnfit) == 0
}

// replaced finds the controllers whose address a later one has: one address bears one process, and the later one began
// with the higher incarnation.
func replaced(all []membership.Member) map[units.NodeID]bool {
	at := map[string]membership.Member{}
	for _, m := range all {
		if o, ok := at[m.Addr]; m.Role == membership.Controller && m.State == membership.Alive && (!ok || o.Incarnation < m.Incarnation) {
			at[m.Addr] = m
		}
	}
	lost := map[units.NodeID]bool{}
	for _, m := range all {
		n, ok := at[m.Addr]
		if ok && m.Role == membership.Controller && n.Node != m.Node && (m.State > membership.Suspect || m.Incarnation < n.Incarnation) {
			lost[m.Node] = true
		}
	}
	return lost
}

// others lists the replicas that are not of the set, whose disks count and can be used.
func (l ControllerView) others(q QuorumSet) []membership.Member {
	return slices.DeleteFunc(slices.Clone(l.Controllers), func(m membership.Member) bool {
		return q.Has(m.Node) || !l.counts(m) || !usable(m)
	})
}

// counts says whether a controller's disk counts, or stands in for one where nobody's does.
func (l ControllerView) counts(m membership.Member) bool {
	return l.diskless || m.Flags&membership.MayVote != 0
}

// zone is where a controller is, as far as is known.
func (l ControllerView) zone(n units.NodeID) string {
	for _, m := range l.Controllers {
		if m.Node == n {
			return m.Zone
		}
	}
	return ""
}

// leaving says whether a controller has said that it will end, or has ended.
func (l ControllerView) leaving(n units.NodeID) bool {
	if l.departed[n] {
		return true
	}
	for _, m := range l.Controllers {
		if m.Node == n {
			return m.Flags&membership.Draining != 0
		}
	}
	return false
}
