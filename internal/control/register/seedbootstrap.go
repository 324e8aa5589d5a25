package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// stableViewAfter is how long a view must be unchanged before it is proposed if no seed has a voting disk.
const stableViewAfter = 1500 * time.Millisecond

// SeedBootstrap bootstraps controllers that know only seed addresses. It decides which quorum set is proposed and which
// node collects the votes (docs/design.md, section 13).
type SeedBootstrap struct {
	Addr         string   // address of this node
	SeedAddrs    []string // seed addresses in the settings of the system's first start
	Participates bool     // this node takes part, according to its settings file or its disk
	lastView     []units.NodeID
	viewSince    units.Time
}

// Proposal returns the members of the first quorum set according to view (none if it is incomplete), and whether this
// node should propose them.
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
		requiredAge *= 2 // a controller with a voting disk may not be known yet
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
