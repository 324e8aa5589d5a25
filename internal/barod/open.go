package barod

import (
	"errors"

	"seamshunt/internal/almanac"
	"seamshunt/internal/boot"
	"seamshunt/internal/station"
	"seamshunt/internal/tower"
	"seamshunt/internal/units"
)

// openDisk reads the almanac; a blank or damaged one begins a new identity, which has no vote (design 2, 3).
func openDisk(b *boot.Boot) (*almanac.Almanac, units.Node, bool, error) {
	a, err := almanac.Open(b.Data, int64(b.Reserve))
	if errors.Is(err, almanac.ErrDamaged) {
		if err = almanac.SetAside(b.Data); err == nil {
			a, err = almanac.Open(b.Data, int64(b.Reserve))
		}
	}
	if err != nil {
		return nil, 0, false, err
	}
	for _, r := range a.Live() {
		var h struct{ ID uint64 }
		if r.Kind == recSelf && station.Unpack(r.Data, &h) == nil {
			return a, units.Node(h.ID), false, nil
		}
	}
	id := tower.Random()
	err = a.Append([]station.Record{self(id)})
	return a, id, true, err
}

// self is the record of a disk's identity.
func self(id units.Node) station.Record {
	return station.Record{Kind: recSelf, Data: station.Pack(struct{ ID uint64 }{uint64(id)})}
}
