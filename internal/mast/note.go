package mast

import (
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
}

type memberHead struct {
	Node  uint64
	Inc   uint64
	Flags uint16
	State uint8
	Role  uint8
}

func (m *Mast) pack(seq uint64, target units.Node) []byte {
	items := make([][]byte, 0, len(m.all))
	for _, x := range m.All() {
		h := memberHead{Node: uint64(x.Node), Inc: x.Inc, Flags: x.Flags, State: uint8(x.State), Role: uint8(x.Role)}
		items = append(items, station.Pack(h, []byte(x.Addr), []byte(x.Web), []byte(x.Zone)))
	}
	return station.Pack(probeHead{Seq: seq, News: m.News, Target: uint64(target)}, station.PackList(items))
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
