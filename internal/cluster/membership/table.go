package membership

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// invalidate is called after every change of a member except of its feed digest. The digest and the snapshot are computed
// again only when they are next used: at 400 nodes a process reads the table about 170 times a second
// (docs/CAPACITY.md).
func (m *Gossip) invalidate() { m.snapshot, m.digestValid, m.version = nil, false, m.version+1 }

// Version returns a number that changes whenever a member is added, removed or changed, except for its feed digest.
func (m *Gossip) Version() uint64 { return m.version }

// ProbePending reports whether a probe is still unacknowledged after the tick in which it was sent.
func (m *Gossip) ProbePending(now units.Time) bool { return m.probeTarget != 0 && now > m.probedAt }

// invalidateSnapshot is called after a change of a member's feed digest only, which the table digest doesn't cover.
func (m *Gossip) invalidateSnapshot() { m.snapshot = nil }

// nodeIDs returns the ids of all members in order.
func (m *Gossip) nodeIDs() []units.NodeID {
	if m.sortedIDs == nil {
		m.sortedIDs = message.SortedKeys(m.members)
	}
	return m.sortedIDs
}

// All returns every member that isn't removed yet, in order of id. Calls return the same slice until something changes;
// callers must not modify it.
func (m *Gossip) All() []Member {
	if m.snapshot == nil {
		m.snapshot = make([]Member, 0, len(m.members))
		for _, n := range m.nodeIDs() {
			m.snapshot = append(m.snapshot, *m.members[n])
		}
	}
	return m.snapshot[:len(m.snapshot):len(m.snapshot)]
}

// Live returns the members of a role that are alive or suspected.
func (m *Gossip) Live(r Role) (l []Member) {
	for _, n := range m.nodeIDs() {
		if x := m.members[n]; x.Role == r && x.State <= Suspect {
			l = append(l, *x)
		}
	}
	return l
}

// digest returns a digest of the live members. Dead ones are left out, since each node removes them at a different time.
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
