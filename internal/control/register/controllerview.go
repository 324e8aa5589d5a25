package register

import (
	"slices"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// ControllerView is the state of the controllers according to membership, as owner selection, bootstrap and the
// planner use it. A voting disk is a controller's disk that may hold a voting seat.
type ControllerView struct {
	// Eligible controllers may own keys. Suspects are excluded: to change owners takes one round, to wait takes seconds.
	Eligible      []units.NodeID
	Draining      []units.NodeID        // would be eligible but are draining
	Uninitialized []units.NodeID        // live controllers that are not voters
	FleetExists   bool                  // a voter or a live, ready router is known
	Controllers   []membership.Member   // the live controllers
	Replaced      map[units.NodeID]bool // controllers whose address a newer one uses: their disks are lost
	left          map[units.NodeID]bool // controllers that have announced their departure
	diskless      bool                  // no controller has a voting disk; then all of them may vote (docs/design.md, section 13)
}

// NewControllerView derives the view from the members that this node knows of.
func NewControllerView(members []membership.Member) (view ControllerView) {
	view.Replaced, view.left, view.diskless = findReplaced(members), map[units.NodeID]bool{}, true
	for _, m := range members {
		live := m.State <= membership.Suspect && !view.Replaced[m.Node]
		if m.Role != membership.Controller {
			view.FleetExists = view.FleetExists || live && m.Flags&membership.Ready != 0
			continue
		}
		view.diskless = view.diskless && m.Flags&membership.MayVote == 0
		view.left[m.Node] = m.State == membership.Left
		if live {
			view.Controllers = append(view.Controllers, m)
		}
		if usable(m) && live {
			view.Eligible = append(view.Eligible, m.Node)
		} else if live && m.State == membership.Alive && m.Flags&(membership.Draining|membership.DiskUnfit) == membership.Draining {
			view.Draining = append(view.Draining, m.Node)
		}
		if m.Flags&membership.Voter != 0 {
			view.FleetExists = true
		} else if live {
			view.Uninitialized = append(view.Uninitialized, m.Node)
		}
	}
	return view
}

func usable(m membership.Member) bool {
	return m.State == membership.Alive && m.Flags&(membership.Draining|membership.DiskUnfit) == 0
}

// findReplaced returns the controllers whose address now belongs to a newer controller. One address runs one process,
// and a newer process starts with a higher incarnation.
func findReplaced(members []membership.Member) map[units.NodeID]bool {
	newestAt := map[string]membership.Member{}
	for _, m := range members {
		if newest, ok := newestAt[m.Addr]; m.Role == membership.Controller && m.State == membership.Alive &&
			(!ok || newest.Incarnation < m.Incarnation) {
			newestAt[m.Addr] = m
		}
	}
	replaced := map[units.NodeID]bool{}
	for _, m := range members {
		newest, ok := newestAt[m.Addr]
		if ok && m.Role == membership.Controller && newest.Node != m.Node &&
			(m.State > membership.Suspect || m.Incarnation < newest.Incarnation) {
			replaced[m.Node] = true
		}
	}
	return replaced
}

// nonMembers returns the usable controllers with a voting disk that are not in the quorum set.
func (v ControllerView) nonMembers(q QuorumSet) []membership.Member {
	return slices.DeleteFunc(slices.Clone(v.Controllers), func(m membership.Member) bool {
		return q.Has(m.Node) || !v.diskMayVote(m) || !usable(m)
	})
}

// diskMayVote reports whether a controller has a voting disk, or counts as having one because no controller has one.
func (v ControllerView) diskMayVote(m membership.Member) bool {
	return v.diskless || m.Flags&membership.MayVote != 0
}

// zoneOf returns the zone of a live controller, or an empty string if it is unknown.
func (v ControllerView) zoneOf(n units.NodeID) string {
	for _, m := range v.Controllers {
		if m.Node == n {
			return m.Zone
		}
	}
	return ""
}

// isLeaving reports whether a controller is draining or has left.
func (v ControllerView) isLeaving(n units.NodeID) bool {
	if v.left[n] {
		return true
	}
	for _, m := range v.Controllers {
		if m.Node == n {
			return m.Flags&membership.Draining != 0
		}
	}
	return false
}
