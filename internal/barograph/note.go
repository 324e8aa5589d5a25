package barograph

import (
	"slices"

	"seamshunt/internal/station"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// The notes of control state (design 2).
const (
	Prepare = station.Barograph + iota
	Promise
	Accept
	Accepted
	Confirm
	Confirmed
	Stale
	Call
	Done
	Found
	Founded
	Keys
	KeysAre
	Here
	HereToo
)

type head struct {
	N, By   uint64
	Seq     uint64
	Num     uint64
	Tag     uint64
	HN, HBy uint64 // the higher epoch that a refusal names
	Code    uint16
	Ok      uint8
	Write   uint8
}

func (h head) epoch() units.Epoch  { return units.Epoch{N: h.N, By: units.Node(h.By)} }
func (h head) higher() units.Epoch { return units.Epoch{N: h.HN, By: units.Node(h.HBy)} }

// Voters is the set of disks that vote, with its version.
type Voters struct {
	Ver  units.Num
	Size int // how many it is to hold, where voters grow: what it has above that stands in for one that is gone (design 13)
	IDs  []units.Node
}

type (
	verHead  struct{ Ver uint64 }
	sizeHead struct{ Ver, Size uint64 }
)

// Pack lays the set out.
func (v Voters) Pack() []byte {
	items := make([][]byte, len(v.IDs))
	for i, n := range v.IDs {
		items[i] = station.Pack(verHead{uint64(n)})
	}
	return station.Pack(sizeHead{uint64(v.Ver), uint64(v.Size)}, station.PackList(items))
}

// UnpackVoters is the inverse.
func UnpackVoters(b []byte) (Voters, error) {
	var h sizeHead
	var list []byte
	if err := station.Unpack(b, &h, &list); err != nil {
		return Voters{}, err
	}
	items, err := station.UnpackList(list)
	v := Voters{Ver: units.Num(h.Ver), Size: int(h.Size)}
	for _, t := range items {
		var x verHead
		if err == nil {
			err = station.Unpack(t, &x)
		}
		v.IDs = append(v.IDs, units.Node(x.Ver))
	}
	return v, err
}

// Has says whether n votes.
func (v Voters) Has(n units.Node) bool { return slices.Contains(v.IDs, n) }

// Most says whether got holds a majority of the set.
func (v Voters) Most(got map[units.Node]bool) bool {
	k := 0
	for _, n := range v.IDs {
		if got[n] {
			k++
		}
	}
	return len(v.IDs) > 0 && k > len(v.IDs)/2
}

// Slot is a voter's state of one key.
type Slot struct {
	Prom units.Epoch
	Acc  units.Epoch
	Seq  uint64
	Num  units.Num
	Body []byte // as laid out by packBody; empty before the first write
}

func (s *Slot) newer(o *Slot) bool {
	return o.Acc.Less(s.Acc) || s.Acc == o.Acc && s.Seq > o.Seq
}

// Records of the almanac that belong to control state.
const (
	RecPromise uint8 = 2 + iota
	RecAccept
	RecVoters
	RecFound
)

type slotHead struct{ N, By, Seq, Num uint64 }

func (b *Barograph) savePromise(key string, s *Slot) station.Record {
	return station.Record{Kind: RecPromise, Key: key, Data: station.Pack(slotHead{N: s.Prom.N, By: uint64(s.Prom.By)})}
}

func (b *Barograph) saveAccept(key string, s *Slot) station.Record {
	h := slotHead{N: s.Acc.N, By: uint64(s.Acc.By), Seq: s.Seq, Num: uint64(s.Num)}
	return station.Record{Kind: RecAccept, Key: key, Data: station.Pack(h, s.Body)}
}

// Load takes the records read back from the disk.
func (b *Barograph) Load(rs []station.Record) error {
	for _, r := range rs {
		var h slotHead
		var err error
		switch r.Kind {
		case RecPromise:
			err = station.Unpack(r.Data, &h)
			b.slot(r.Key).Prom = maxEpoch(b.slot(r.Key).Prom, units.Epoch{N: h.N, By: units.Node(h.By)})
		case RecAccept:
			s := b.slot(r.Key)
			err = station.Unpack(r.Data, &h, &s.Body)
			s.Acc, s.Seq, s.Num = units.Epoch{N: h.N, By: units.Node(h.By)}, h.Seq, units.Num(h.Num)
			s.Prom = maxEpoch(s.Prom, s.Acc)
		case RecVoters:
			b.cfg, err = UnpackVoters(r.Data)
		case RecFound:
			b.vote = r.Data
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func maxEpoch(a, b units.Epoch) units.Epoch {
	if a.Less(b) {
		return b
	}
	return a
}

// Ask is an operator's or a duty's wish on one key.
type Ask struct {
	Tag    uint64
	From   units.Node
	Key    string
	Write  bool
	Expect units.Num // the number it builds on; Any for whatever stands
	Plan   string
	Data   []byte
	sure   bool // the owner has confirmed its epoch since this came
}

// Any stands for whatever number there is.
const Any = ^units.Num(0)

// Result answers an Ask.
type Result struct {
	Tag  uint64
	Code synop.Code
	Num  units.Num
	Data []byte
}

type planHead struct{ Num uint64 }

// packBody keeps the data with the last plans and the numbers they got, so that a resend finds its outcome.
func packBody(plans [][]byte, data []byte) []byte {
	return station.Pack(planHead{}, station.PackList(plans), data)
}

func unpackBody(b []byte) (plans [][]byte, data []byte) {
	if len(b) == 0 {
		return nil, nil
	}
	var h planHead
	var list []byte
	if station.Unpack(b, &h, &list, &data) != nil {
		return nil, nil
	}
	plans, _ = station.UnpackList(list)
	return plans, data
}

// Data gives the operator's bytes out of a stored body.
func Data(body []byte) []byte {
	_, d := unpackBody(body)
	return d
}

func planOf(plans [][]byte, id string) (units.Num, bool) {
	for _, p := range plans {
		var h planHead
		var name []byte
		if station.Unpack(p, &h, &name) == nil && string(name) == id {
			return units.Num(h.Num), true
		}
	}
	return 0, false
}
