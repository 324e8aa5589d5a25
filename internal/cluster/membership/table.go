package membership

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// invalidate is told of every change of what the digest is of, or of who there is: both are worked out anew when asked
// for next. At 400 nodes a daemon asks for the table some 170 times a second (docs/CAPACITY.md).
func (m *Gossip) invalidate() { m.snapshot, m.digestValid, m.version = nil, false, m.version+1 }

// Version is another one whenever a member came, went or changed what it says of itself, its news apart.
func (m *Gossip) Version() uint64 { return m.version }

// ProbePending says whether a probe has waited for its answer for longer than usual.
func (m *Gossip) ProbePending(now units.Time) bool { return m.probeTarget != 0 && now > m.probedAt }

// invalidateSnapshot is told that only a member's news was told anew, which the digest is not of.
func (m *Gossip) invalidateSnapshot() { m.snapshot = nil }

// nodeIDs gives all nodes in order.
func (m *Gossip) nodeIDs() []units.NodeID {
	if m.sortedIDs == nil {
		m.sortedIDs = message.SortedKeys(m.members)
	}
	return m.sortedIDs
}

// All lists every member that isn't forgotten, in order of id. The list is the same one till something changes: it
// is never written to again, neither here nor by who asked.
func (m *Gossip) All() []Member {
	if m.snapshot == nil {
		m.snapshot = make([]Member, 0, len(m.members))
		for _, n := range m.nodeIDs() {
			m.snapshot = append(m.snapshot, *m.members[n])
		}
	}
	return m.snapshot[:len(m.snapshot):len(m.snapshot)]
}

// Live lists the members of a role that are alive or only suspected.
func (m *Gossip) Live(r Role) (l []Member) {
	for _, n := range m.nodeIDs() {
		if x := m.members[n]; x.Role == r && x.State <= Suspect {
			l = append(l, *x)
		}
	}
	return l
}

// digest is a digest of the live members. Those that are gone are left out: each node forgets them at its own time.
func (m *Gossip) digest() uint64 {
	if !m.digestValid {
		m.tableDigest, m.digestValid = 0, true
		for n, x := range m.members {
			if x.State <= Suspect {
				m.tableDigest += units.Mix(n.String(), units.Hex(x.Incarnation))
			}
		}
	}
	return m.tableDigest
}
