package idempotency

import (
	"cmp"
	"slices"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Holders returns the three routers that hold a key's claim: the first ones in rendezvous order of all known router
// addresses, live or not, from different zones if possible. A router that isn't live is returned as 0, so that the loss of
// machines never moves a key to routers that have no record of it.
func Holders(all []membership.Member, key string) []units.NodeID {
	type machine struct {
		addr, zone string
		node       units.NodeID
		rank       uint64
	}
	byAddr := map[string]*machine{}
	for _, m := range all {
		if m.Role != membership.Router {
			continue
		}
		s := byAddr[m.Addr]
		if s == nil {
			s = &machine{addr: m.Addr, zone: m.Zone, rank: units.Mix(key, m.Addr)}
			byAddr[m.Addr] = s
		}
		if m.State <= membership.Suspect {
			s.node = m.Node
		}
	}
	machines := make([]*machine, 0, len(byAddr))
	for _, s := range byAddr {
		machines = append(machines, s)
	}
	slices.SortFunc(machines, func(a, b *machine) int { return cmp.Compare(b.rank, a.rank) })
	var out []units.NodeID
	zones := map[string]bool{}
	for _, newZonesOnly := range []bool{true, false} {
		for _, s := range machines {
			if len(out) < holderCount && s.addr != "" && (!newZonesOnly || !zones[s.zone]) {
				out = append(out, s.node)
				zones[s.zone] = true
				s.addr = ""
			}
		}
	}
	return out
}
