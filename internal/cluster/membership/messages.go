package membership

import (
	"math/bits"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The messages of membership (docs/design.md, section 5).
const (
	Probe = message.KindMembership + iota
	Ack
	IndirectProbe
	IndirectAck
)

type probeHeader struct {
	Seq         uint64
	FeedDigest  uint64
	Target      uint64
	TableDigest uint64
}

type memberHeader struct {
	Node        uint64
	Incarnation uint64
	Flags       uint16
	State       uint8
	Role        uint8
}

// encode returns the body of a message that carries this node and the recently changed members, or the full table.
func (m *Gossip) encode(seq uint64, target units.NodeID, fullTable bool) []byte {
	var items [][]byte
	for _, n := range m.nodeIDs() {
		x := m.members[n]
		if !fullTable && x.Node != m.Self && m.broadcastsLeft[x.Node] == 0 {
			continue
		}
		if m.broadcastsLeft[x.Node]--; m.broadcastsLeft[x.Node] <= 0 {
			delete(m.broadcastsLeft, x.Node)
		}
		items = append(items, x.encode())
	}
	return m.encodeItems(seq, target, items)
}

// encodeIntro returns the body of a first message to an address. It carries this node and the members known at that
// address, so that the process there can refute a wrong state. The reply carries the full table, and its digest shows
// whether this node's full table has to be sent in return. Sending the full table here would mostly be wasted: during a
// network partition it would be sent four times a second to addresses that can't receive it (docs/CAPACITY.md).
func (m *Gossip) encodeIntro(addr string) []byte {
	items := [][]byte{m.members[m.Self].encode()}
	for _, n := range m.nodeIDs() {
		if x := m.members[n]; n != m.Self && x.Addr == addr {
			items = append(items, x.encode())
		}
	}
	return m.encodeItems(0, 0, items)
}

func (m *Gossip) encodeItems(seq uint64, target units.NodeID, items [][]byte) []byte {
	return message.Pack(probeHeader{Seq: seq, FeedDigest: m.FeedDigest, Target: uint64(target), TableDigest: m.digest()},
		message.PackList(items))
}

func (x *Member) encode() []byte {
	h := memberHeader{Node: uint64(x.Node), Incarnation: x.Incarnation, Flags: x.Flags, State: uint8(x.State), Role: uint8(x.Role)}
	return message.Pack(h, []byte(x.Addr), []byte(x.HTTPAddr), []byte(x.Zone))
}

// broadcast adds a changed member to the next messages, enough of them that usually all nodes receive it. If a node
// doesn't, its digest differs and it receives the full table.
func (m *Gossip) broadcast(n units.NodeID) { m.broadcastsLeft[n] = bits.Len(uint(len(m.members))) + 4 }

// fullTableDue reports whether to send the full table because the peer's digest differs: at most once per
// fullTableInterval.
func (m *Gossip) fullTableDue(now units.Time, peerDigest uint64) bool {
	if peerDigest == m.digest() || now.Sub(m.fullTableSentAt) < fullTableInterval {
		return false
	}
	m.fullTableSentAt = now
	return true
}

func decode(b []byte) (probeHeader, []Member, error) {
	var h probeHeader
	var list []byte
	if err := message.Unpack(b, &h, &list); err != nil {
		return h, nil, err
	}
	items, err := message.UnpackList(list)
	if err != nil {
		return h, nil, err
	}
	members := make([]Member, 0, len(items))
	for _, t := range items {
		var item memberHeader
		var addr, httpAddr, zone []byte
		if err := message.Unpack(t, &item, &addr, &httpAddr, &zone); err != nil {
			return h, nil, err
		}
		members = append(members, Member{Node: units.NodeID(item.Node), Incarnation: item.Incarnation, Flags: item.Flags,
			State: State(item.State), Role: Role(item.Role), Addr: string(addr), HTTPAddr: string(httpAddr), Zone: string(zone)})
	}
	return h, members, nil
}
