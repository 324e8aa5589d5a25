package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// steady is how long a view must stand before it is proposed where no seed counts (start).
const steady = 1500 * time.Millisecond

// SeedBootstrap is the founding by those who know only seeds: which set is founded, and who asks for the votes (design 13).
type SeedBootstrap struct {
	Addr         string   // this node's own
	SeedAddrs    []string // those of the very first start
	Participates bool     // this node takes part: by its boot file, or by what its disk bears
	view         []units.NodeID
	since        units.Time
}

// Proposal gives the set that this node sees, nothing while it sees none, and whether this node is to propose it.
func (s *SeedBootstrap) Proposal(now units.Time, l ControllerView) (ids []units.NodeID, lead bool) {
	if !s.Participates || l.FleetExists || len(s.SeedAddrs) == 0 {
		return nil, false
	}
	for _, a := range s.SeedAddrs {
		i := slices.IndexFunc(l.Controllers, func(m membership.Member) bool { return m.Addr == a && m.State == membership.Alive })
		if i < 0 {
			return nil, false
		}
		if m := l.Controllers[i]; m.Flags&membership.MayVote != 0 {
			if m.Flags&membership.Bootstrap == 0 {
				return nil, false
			}
			ids = append(ids, m.Node)
		}
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		ids = slices.Compact(ids)
		return ids, ids[0] == l.at(s.Addr)
	}
	for _, m := range l.Controllers {
		if m.State == membership.Alive && l.counts(m) && m.Flags&membership.Bootstrap != 0 {
			ids = append(ids, m.Node)
		}
	}
	slices.Sort(ids)
	if !slices.Equal(ids, s.view) {
		s.view, s.since = ids, now
	}
	span := steady
	if l.diskless {
		span *= 2 // one that counts may not have been heard of yet
	}
	return ids, s.Addr == slices.Min(s.SeedAddrs) && now.Sub(s.since) >= span
}

// at gives the controller that lives at an address.
func (l ControllerView) at(addr string) units.NodeID {
	for _, m := range l.Controllers {
		if m.Addr == addr {
			return m.Node
		}
	}
	return 0
}
