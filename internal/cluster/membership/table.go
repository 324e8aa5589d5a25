package membership

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// changed is told of every change of what the digest is of, or of who there is: both are worked out anew when asked
// for next. At 400 nodes a daemon asks for the table some 170 times a second (docs/CAPACITY.md).
func (m *Gossip) changed() { m.kept, m.summed, m.ver = nil, false, m.ver+1 }

// Version is another one whenever a member came, went or changed what it says of itself, its news apart.
func (m *Gossip) Version() uint64 { return m.ver }

// ProbePending says whether a probe has waited for its answer for longer than usual.
func (m *Gossip) ProbePending(now units.Time) bool { return m.open != 0 && now > m.at }

// heard is told that only a member's news was told anew, which the digest is not of.
func (m *Gossip) heard() { m.kept = nil }

// ids gives all nodes in order.
func (m *Gossip) ids() []units.NodeID {
	if m.order == nil {
		m.order = message.SortedKeys(m.all)
	}
	return m.order
}

// All lists every member that isn't forgotten, in order of id. The list is the same one till something changes: it
// is never written to again, neither here nor by who asked.
func (m *Gossip) All() []Member {
	if m.kept == nil {
		m.kept = make([]Member, 0, len(m.all))
		for _, n := range m.ids() {
			m.kept = append(m.kept, *m.all[n])
		}
	}
	return m.kept[:len(m.kept):len(m.kept)]
}

// Live lists the members of a role that are alive or only suspected.
func (m *Gossip) Live(r Role) (l []Member) {
	for _, n := range m.ids() {
		if x := m.all[n]; x.Role == r && x.State <= Suspect {
			l = append(l, *x)
		}
	}
	return l
}

// sum is a digest of the live members. Those that are gone are left out: each node forgets them at its own time.
func (m *Gossip) sum() uint64 {
	if !m.summed {
		m.digest, m.summed = 0, true
		for n, x := range m.all {
			if x.State <= Suspect {
				m.digest += units.Mix(n.String(), units.Hex(x.Incarnation))
			}
		}
	}
	return m.digest
}
