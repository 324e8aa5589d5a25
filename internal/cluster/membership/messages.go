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

type probeHead struct {
	Seq    uint64
	News   uint64
	Target uint64
	Sum    uint64
}

type memberHead struct {
	Node  uint64
	Inc   uint64
	Flags uint16
	State uint8
	Role  uint8
}

// pack lays out what the neighbour should hear: this node itself and what changed lately, or the whole table.
func (m *Gossip) pack(seq uint64, target units.NodeID, whole bool) []byte {
	var items [][]byte
	for _, n := range m.ids() {
		x := m.all[n]
		if !whole && x.Node != m.Self && m.fresh[x.Node] == 0 {
			continue
		}
		if m.fresh[x.Node]--; m.fresh[x.Node] <= 0 {
			delete(m.fresh, x.Node)
		}
		items = append(items, x.pack())
	}
	return m.lay(seq, target, items)
}

// packIntro lays out a first word to an address: this node itself, and what whoever lived there is taken for, so that
// it can refute that. The answer is the whole table, and the digest in it says whether this one's is due in return. The
// whole table itself would mostly go where nobody hears it: into a cut, four times a second (docs/CAPACITY.md).
func (m *Gossip) packIntro(addr string) []byte {
	items := [][]byte{m.all[m.Self].pack()}
	for _, n := range m.ids() {
		if x := m.all[n]; n != m.Self && x.Addr == addr {
			items = append(items, x.pack())
		}
	}
	return m.lay(0, 0, items)
}

func (m *Gossip) lay(seq uint64, target units.NodeID, items [][]byte) []byte {
	return message.Pack(probeHead{Seq: seq, News: m.FeedDigest, Target: uint64(target), Sum: m.sum()}, message.PackList(items))
}

func (x *Member) pack() []byte {
	h := memberHead{Node: uint64(x.Node), Inc: x.Incarnation, Flags: x.Flags, State: uint8(x.State), Role: uint8(x.Role)}
	return message.Pack(h, []byte(x.Addr), []byte(x.HTTPAddr), []byte(x.Zone))
}

// tell has a change ride on so many notes that all hear of it, as a rule; the digests find the exceptions.
func (m *Gossip) tell(n units.NodeID) { m.fresh[n] = bits.Len(uint(len(m.all))) + 4 }

// differs says whether the whole table is due, since the neighbour's digest is another: at most once in wholeGap.
func (m *Gossip) differs(now units.Time, sum uint64) bool {
	if sum == m.sum() || now.Sub(m.wholeAt) < wholeGap {
		return false
	}
	m.wholeAt = now
	return true
}

func unpack(b []byte) (probeHead, []Member, error) {
	var h probeHead
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
		var mh memberHead
		var addr, web, zone []byte
		if err := message.Unpack(t, &mh, &addr, &web, &zone); err != nil {
			return h, nil, err
		}
		ms = append(ms, Member{Node: units.NodeID(mh.Node), Incarnation: mh.Inc, Flags: mh.Flags, State: State(mh.State),
			Role: Role(mh.Role), Addr: string(addr), HTTPAddr: string(web), Zone: string(zone)})
	}
	return h, ms, nil
}
