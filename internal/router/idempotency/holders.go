package idempotency

import (
	"cmp"
	"slices"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Holders gives the three machines that hold a key's claim: rendezvous order over all routers' addresses that are
// known, gone or not, from different zones as far as there are any. A machine that is gone stands as zero, so that
// losing machines never moves a key to others that know nothing of it.
func Holders(all []membership.Member, key string) []units.NodeID {
	type slot struct {
		addr, zone string
		node       units.NodeID
		rank       uint64
	}
	by := map[string]*slot{}
	for _, m := range all {
		if m.Role != membership.Router {
			continue
		}
		s := by[m.Addr]
		if s == nil {
			s = &slot{addr: m.Addr, zone: m.Zone, rank: units.Mix(key, m.Addr)}
			by[m.Addr] = s
		}
		if m.State <= membership.Suspect {
			s.node = m.Node
		}
	}
	l := make([]*slot, 0, len(by))
	for _, s := range by {
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b *slot) int { return cmp.Compare(b.rank, a.rank) })
	var out []units.NodeID
	zones := map[string]bool{}
	for _, fresh := range []bool{true, false} {
		for _, s := range l {
			if len(out) < slots && s.addr != "" && (!fresh || !zones[s.zone]) {
				out = append(out, s.node)
				zones[s.zone] = true
				s.addr = ""
			}
		}
	}
	return out
}
