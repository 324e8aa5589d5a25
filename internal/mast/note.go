package mast

import (
	"math/bits"

	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

// The notes of membership (design 5).
const (
	Probe = station.Mast + iota
	Ack
	Second
	SecondAck
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
func (m *Mast) pack(seq uint64, target units.Node, whole bool) []byte {
	var items [][]byte
	for _, n := range m.ids() {
		x := m.all[n]
		if !whole && x.Node != m.Self && m.fresh[x.Node] == 0 {
			continue
		}
		if m.fresh[x.Node]--; m.fresh[x.Node] <= 0 {
			delete(m.fresh, x.Node)
		}
		h := memberHead{Node: uint64(x.Node), Inc: x.Inc, Flags: x.Flags, State: uint8(x.State), Role: uint8(x.Role)}
		items = append(items, station.Pack(h, []byte(x.Addr), []byte(x.Web), []byte(x.Zone)))
	}
	return station.Pack(probeHead{Seq: seq, News: m.News, Target: uint64(target), Sum: m.sum()}, station.PackList(items))
}

// tell has a change ride on so many notes that all hear of it, as a rule; the digests find the exceptions.
func (m *Mast) tell(n units.Node) { m.fresh[n] = bits.Len(uint(len(m.all))) + 4 }

// differs says whether the whole table is due, since the neighbour's digest is another: at most once in wholeGap.
func (m *Mast) differs(now units.Time, sum uint64) bool {
	if sum == m.sum() || now.Sub(m.wholeAt) < wholeGap {
		return false
	}
	m.wholeAt = now
	return true
}

func unpack(b []byte) (probeHead, []Member, error) {
	var h probeHead
	var list []byte
	if err := station.Unpack(b, &h, &list); err != nil {
		return h, nil, err
	}
	items, err := station.UnpackList(list)
	if err != nil {
		return h, nil, err
	}
	ms := make([]Member, 0, len(items))
	for _, t := range items {
		var mh memberHead
		var addr, web, zone []byte
		if err := station.Unpack(t, &mh, &addr, &web, &zone); err != nil {
			return h, nil, err
		}
		ms = append(ms, Member{Node: units.Node(mh.Node), Inc: mh.Inc, Flags: mh.Flags, State: State(mh.State),
			Role: Role(mh.Role), Addr: string(addr), Web: string(web), Zone: string(zone)})
	}
	return h, ms, nil
}
