package membership

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Step takes one note.
func (m *Gossip) Step(now units.Time, n message.Message) (out message.Effects) {
	h, list, err := unpack(n.Body)
	if err != nil {
		out.AddError(err)
		return out
	}
	known := m.all[n.From] != nil
	for i := range list {
		m.merge(now, &list[i])
	}
	if x := m.all[n.From]; x != nil {
		x.FeedDigest, x.FeedDigestAt = h.News, now
		m.heard()
	}
	switch n.Kind {
	case Probe:
		out.Send(n.From, Ack, m.pack(h.Seq, 0, !known || h.Seq == 0 || m.differs(now, h.Sum))) // a newcomer must hear of all at once
	case Ack:
		m.acked(now, n.From, h.Seq, &out)
		if m.differs(now, h.Sum) {
			out.Send(n.From, Probe, m.pack(0, 0, true))
		}
	case IndirectProbe:
		m.seq++
		m.relay[m.seq] = relay{to: n.From, seq: h.Seq, at: now}
		out.Send(units.NodeID(h.Target), Probe, m.pack(m.seq, 0, false))
	case IndirectAck:
		if h.Seq == m.seqOf && units.NodeID(h.Target) == m.open {
			m.hold(now, m.open)
			m.open = 0
		}
	}
	return out
}

func (m *Gossip) acked(now units.Time, from units.NodeID, seq uint64, out *message.Effects) {
	if r, ok := m.relay[seq]; ok {
		delete(m.relay, seq)
		out.Send(r.to, IndirectAck, m.pack(r.seq, from, false))
	}
	if seq != 0 && seq == m.seqOf && from == m.open {
		m.open = 0
	}
	m.hold(now, from)
}

// hold takes back one's own suspicion after word from the node itself or from a witness.
func (m *Gossip) hold(now units.Time, n units.NodeID) {
	if x := m.all[n]; x != nil && x.State == Suspect {
		m.set(x, Alive, now)
	}
}

// merge takes another's view of one member: higher incarnation first, then the graver state.
func (m *Gossip) merge(now units.Time, y *Member) {
	if y.Node == m.Self {
		s := m.all[m.Self]
		if y.Incarnation > s.Incarnation || y.Incarnation == s.Incarnation && y.State > s.State {
			s.Incarnation = y.Incarnation + 1
			m.changed()
			m.tell(m.Self)
		}
		return
	}
	x := m.all[y.Node]
	if x == nil {
		c := *y
		c.since, c.FeedDigest, c.FeedDigestAt = now, 0, 0
		m.all[y.Node] = &c
		m.order = nil
		m.changed()
		m.tell(y.Node)
		return
	}
	if y.Incarnation > x.Incarnation || y.Incarnation == x.Incarnation && y.State > x.State {
		was := *x
		*x = *y
		x.FeedDigest, x.FeedDigestAt, x.since = was.FeedDigest, was.FeedDigestAt, was.since
		old := was.State
		m.changed()
		m.tell(y.Node)
		if x.State != old {
			x.since = now
		}
	}
}

// ConnectionRefused takes evidence that nobody listens at addr: whoever lived there has ended, even where membership
// had given it up before for its silence (design 6).
func (m *Gossip) ConnectionRefused(now units.Time, addr string) []units.NodeID {
	var l []units.NodeID
	for _, x := range m.All() {
		if x.Addr != addr || x.Node == m.Self || x.State == Left {
			continue
		}
		if x.State <= Suspect {
			m.set(m.all[x.Node], Dead, now)
		}
		l = append(l, x.Node)
	}
	return l
}

// Leave says goodbye to everybody.
func (m *Gossip) Leave() (out message.Effects) {
	s := m.all[m.Self]
	s.Incarnation++
	s.State = Left
	m.changed()
	for _, n := range m.others(0) {
		out.Send(n, Probe, m.pack(0, 0, false))
	}
	return out
}
