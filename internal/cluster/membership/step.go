package membership

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Step handles one message.
func (m *Gossip) Step(now units.Time, msg message.Message) (out message.Effects) {
	h, list, err := decode(msg.Body)
	if err != nil {
		out.AddError(err)
		return out
	}
	known := m.members[msg.From] != nil
	for i := range list {
		m.merge(now, &list[i])
	}
	if x := m.members[msg.From]; x != nil {
		x.FeedDigest, x.FeedDigestAt = h.FeedDigest, now
		m.invalidateSnapshot()
	}
	switch msg.Kind {
	case Probe:
		// A newcomer needs the full table immediately.
		out.Send(msg.From, Ack, m.encode(h.Seq, 0, !known || h.Seq == 0 || m.fullTableDue(now, h.TableDigest)))
	case Ack:
		m.handleAck(now, msg.From, h.Seq, &out)
		if m.fullTableDue(now, h.TableDigest) {
			out.Send(msg.From, Probe, m.encode(0, 0, true))
		}
	case IndirectProbe:
		m.lastSeq++
		m.relayed[m.lastSeq] = relayedProbe{requester: msg.From, seq: h.Seq, sentAt: now}
		out.Send(units.NodeID(h.Target), Probe, m.encode(m.lastSeq, 0, false))
	case IndirectAck:
		if h.Seq == m.probeSeq && units.NodeID(h.Target) == m.probeTarget {
			m.clearSuspicion(now, m.probeTarget)
			m.probeTarget = 0
		}
	}
	return out
}

func (m *Gossip) handleAck(now units.Time, from units.NodeID, seq uint64, out *message.Effects) {
	if r, ok := m.relayed[seq]; ok {
		delete(m.relayed, seq)
		out.Send(r.requester, IndirectAck, m.encode(r.seq, from, false))
	}
	if seq != 0 && seq == m.probeSeq && from == m.probeTarget {
		m.probeTarget = 0
	}
	m.clearSuspicion(now, from)
}

// clearSuspicion marks a suspected member as alive after a message from it or from a node that reached it.
func (m *Gossip) clearSuspicion(now units.Time, n units.NodeID) {
	if x := m.members[n]; x != nil && x.State == Suspect {
		m.setState(x, Alive, now)
	}
}

// merge applies another node's view of one member: the higher incarnation wins, then the higher state. A wrong view of
// this node itself is refuted with a higher incarnation.
func (m *Gossip) merge(now units.Time, update *Member) {
	if update.Node == m.Self {
		self := m.members[m.Self]
		if update.Incarnation > self.Incarnation || update.Incarnation == self.Incarnation && update.State > self.State {
			self.Incarnation = update.Incarnation + 1
			m.invalidate()
			m.broadcast(m.Self)
		}
		return
	}
	known := m.members[update.Node]
	if known == nil {
		added := *update
		added.stateSince, added.FeedDigest, added.FeedDigestAt = now, 0, 0
		m.members[update.Node] = &added
		m.sortedIDs = nil
		m.invalidate()
		m.broadcast(update.Node)
		return
	}
	if update.Incarnation > known.Incarnation || update.Incarnation == known.Incarnation && update.State > known.State {
		previous := *known
		*known = *update
		known.FeedDigest, known.FeedDigestAt, known.stateSince = previous.FeedDigest, previous.FeedDigestAt, previous.stateSince
		previousState := previous.State
		m.invalidate()
		m.broadcast(update.Node)
		if known.State != previousState {
			known.stateSince = now
		}
	}
}

// ConnectionRefused handles a refused connection to addr, which proves that the process there has ended. It marks the
// members at that address as dead and returns them, including those already dead for lack of acknowledgements
// (docs/design.md, section 6).
func (m *Gossip) ConnectionRefused(now units.Time, addr string) []units.NodeID {
	var l []units.NodeID
	for _, x := range m.All() {
		if x.Addr != addr || x.Node == m.Self || x.State == Left {
			continue
		}
		if x.State <= Suspect {
			m.setState(m.members[x.Node], Dead, now)
		}
		l = append(l, x.Node)
	}
	return l
}

// Leave announces to all live peers that this node leaves.
func (m *Gossip) Leave() (out message.Effects) {
	self := m.members[m.Self]
	self.Incarnation++
	self.State = Left
	m.invalidate()
	for _, n := range m.livePeers(0) {
		out.Send(n, Probe, m.encode(0, 0, false))
	}
	return out
}
