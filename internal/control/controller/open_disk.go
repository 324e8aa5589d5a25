package controller

import (
	"errors"

	"seamshunt/internal/boot"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/storage/wal"
	"seamshunt/internal/tower"
	"seamshunt/internal/units"
)

// openDisk reads the wal; a blank or damaged one begins a new identity, which has no vote (design 2, 3).
func openDisk(b *boot.Boot) (*wal.Log, units.Node, bool, error) {
	a, err := wal.Open(b.Data, int64(b.Reserve))
	damaged := errors.Is(err, wal.ErrDamaged)
	if damaged {
		if err = wal.SetAside(b.Data); err == nil {
			a, err = wal.Open(b.Data, int64(b.Reserve))
		}
	}
	if err != nil {
		return nil, 0, false, err
	}
	for _, r := range a.Live() {
		var h idHead
		if r.Kind == recSelf && (message.Unpack(r.Data, &h, new([]byte)) == nil || message.Unpack(r.Data, &h) == nil) {
			return a, units.Node(h.ID), false, nil
		}
	}
	id := tower.Random()
	var seeds []string
	if b.Grow && b.First && b.Counts && !damaged {
		seeds = b.Seeds
	}
	err = a.Append([]message.Record{self(id, seeds)})
	return a, id, true, err
}

type idHead struct{ ID uint64 }

// self is the record of a disk's identity. One that was blank at the system's very first start bears the seeds of that
// start, so that a process which is killed before the founding still takes part in it (design 13).
func self(id units.Node, seeds []string) message.Record {
	l := make([][]byte, len(seeds))
	for i, s := range seeds {
		l[i] = []byte(s)
	}
	return message.Record{Kind: recSelf, Data: message.Pack(idHead{uint64(id)}, message.PackList(l))}
}

// born gives the seeds of the very first start, if this disk was there.
func born(rs []message.Record) (seeds []string) {
	for _, r := range rs {
		var h idHead
		var list []byte
		if r.Kind != recSelf || message.Unpack(r.Data, &h, &list) != nil {
			continue
		}
		l, _ := message.UnpackList(list)
		for _, s := range l {
			seeds = append(seeds, string(s))
		}
	}
	return seeds
}

// founding says how this node takes part in a founding from seeds. Without a disk that counts only this very process
// can be of the first start.
func founding(b *boot.Boot, rs []message.Record) register.Seeds {
	s := register.Seeds{Addr: b.Addr, Addrs: born(rs), First: len(born(rs)) > 0}
	if !b.Counts {
		s.Addrs, s.First = b.Seeds, b.First
	}
	return s
}
