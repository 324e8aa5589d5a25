package membership

import (
	"math/bits"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The notes of membership (design 5).
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

// encode lays out what the neighbour should hear: this node itself and what changed lately, or the whole table.
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

// encodeIntro lays out a first word to an address: this node itself, and what whoever lived there is taken for, so that
// it can refute that. The answer is the whole table, and the digest in it says whether this one's is due in return. The
// whole table itself would mostly go where nobody hears it: into a cut, four times a second (docs/CAPACITY.md).
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
	return message.Pack(probeHeader{Seq: seq, FeedDigest: m.FeedDigest, Target: uint64(target), TableDigest: m.digest()}, message.PackList(items))
}

func (x *Member) encode() []byte {
	h := memberHeader{Node: uint64(x.Node), Incarnation: x.Incarnation, Flags: x.Flags, State: uint8(x.State), Role: uint8(x.Role)}
	return message.Pack(h, []byte(x.Addr), []byte(x.HTTPAddr), []byte(x.Zone))
}

// broadcast has a change ride on so many notes that all hear of it, as a rule; the digests find the exceptions.
func (m *Gossip) broadcast(n units.NodeID) { m.broadcastsLeft[n] = bits.Len(uint(len(m.members))) + 4 }

// fullTableDue says whether the whole table is due, since the neighbour's digest is another: at most once in wholeGap.
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
	ms := make([]Member, 0, len(items))
	for _, t := range items {
		var item memberHeader
		var addr, web, zone []byte
		if err := message.Unpack(t, &item, &addr, &web, &zone); err != nil {
			return h, nil, err
		}
		ms = append(ms, Member{Node: units.NodeID(item.Node), Incarnation: item.Incarnation, Flags: item.Flags, State: State(item.State),
			Role: Role(item.Role), Addr: string(addr), HTTPAddr: string(web), Zone: string(zone)})
	}
	return h, ms, nil
}
