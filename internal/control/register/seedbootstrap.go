package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// stableViewAfter is how long a view must be unchanged before it is proposed if no seed has a voting disk.
const stableViewAfter = 1500 * time.Millisecond

// SeedBootstrap is the bootstrap of controllers that know only seed addresses. It decides which set is proposed, and
// who collects the votes (docs/design.md, section 13).
type SeedBootstrap struct {
	Addr         string   // address of this node
	SeedAddrs    []string // seed addresses of the system's very first start
	Participates bool     // this node takes part, according to its settings file or its disk
	lastView     []units.NodeID
	viewSince    units.Time
}

// Proposal returns the first quorum set that this node sees (none if its view is incomplete) and whether this node is
// to propose it.
func (s *SeedBootstrap) Proposal(now units.Time, view ControllerView) (members []units.NodeID, proposes bool) {
	if !s.Participates || view.FleetExists || len(s.SeedAddrs) == 0 {
		return nil, false
	}
	for _, addr := range s.SeedAddrs {
		i := slices.IndexFunc(view.Controllers, func(m membership.Member) bool { return m.Addr == addr && m.State == membership.Alive })
		if i < 0 {
			return nil, false
		}
		if m := view.Controllers[i]; m.Flags&membership.MayVote != 0 {
			if m.Flags&membership.Bootstrap == 0 {
				return nil, false
			}
			members = append(members, m.Node)
		}
	}
	if len(members) > 0 {
		slices.Sort(members)
		members = slices.Compact(members)
		return members, members[0] == view.nodeAt(s.Addr)
	}
	for _, m := range view.Controllers {
		if m.State == membership.Alive && view.diskMayVote(m) && m.Flags&membership.Bootstrap != 0 {
			members = append(members, m.Node)
		}
	}
	slices.Sort(members)
	if !slices.Equal(members, s.lastView) {
		s.lastView, s.viewSince = members, now
	}
	requiredAge := stableViewAfter
	if view.diskless {
		requiredAge *= 2 // a controller with a voting disk may not have been heard of yet
	}
	return members, s.Addr == slices.Min(s.SeedAddrs) && now.Sub(s.viewSince) >= requiredAge
}

// nodeAt returns the live controller at an address.
func (v ControllerView) nodeAt(addr string) units.NodeID {
	for _, m := range v.Controllers {
		if m.Addr == addr {
			return m.Node
		}
	}
	return 0
}
