package controller

import (
	"errors"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/settings"
	"seamshunt/internal/storage/wal"
	"seamshunt/internal/units"
)

// openedDisk is what a start found on the disk.
type openedDisk struct {
	log    *wal.Log
	self   units.NodeID
	blank  bool  // self is new: it has no vote
	damage error // why what was there is not trusted; it is set aside
	heir   bool  // a damaged file was set aside here, at this start or before: a fleet stood, and this disk founds none
}

// openDisk reads the wal; a blank or damaged one begins a new identity, which has no vote (design 2, 3).
func openDisk(b *settings.Settings) (o openedDisk, err error) {
	o.log, err = wal.Open(b.DataDir, int64(b.ReserveBytes))
	if errors.Is(err, wal.ErrDamaged) {
		o.damage = err
		if err = wal.SetAside(b.DataDir); err == nil {
			o.log, err = wal.Open(b.DataDir, int64(b.ReserveBytes))
		}
	}
	if err != nil {
		return openedDisk{damage: o.damage}, err
	}
	o.heir = wal.HasSetAside(b.DataDir)
	for _, r := range o.log.Records() {
		var h idHead
		if r.Kind == recSelf && (message.Unpack(r.Data, &h, new([]byte)) == nil || message.Unpack(r.Data, &h) == nil) {
			o.self = units.NodeID(h.ID)
			return o, nil
		}
	}
	o.self, o.blank = node.RandomID(), true
	var seeds []string
	if b.GrowVoters && b.Bootstrap && b.MayVote && !o.heir {
		seeds = b.Seeds
	}
	return o, o.log.Append([]message.Record{self(o.self, seeds)})
}

// sayDamage tells operators that this disk begins anew as a learner.
func (c *Controller) sayDamage(damage error) {
	c.disk.mu.Lock()
	c.disk.damage = damage
	c.disk.mu.Unlock()
	c.Log.WithError(damage).Error("the disk is damaged: it is set aside as wal.damaged, and this disk begins anew as a learner under a new identity")
}

type idHead struct{ ID uint64 }

// self is the record of a disk's identity. One that was blank at the system's very first start bears the seeds of that
// start, so that a process which is killed before the founding still takes part in it (design 13).
func self(id units.NodeID, seeds []string) message.Record {
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
func founding(b *settings.Settings, rs []message.Record) register.SeedBootstrap {
	s := register.SeedBootstrap{Addr: b.Addr, SeedAddrs: born(rs), Participates: len(born(rs)) > 0}
	if !b.MayVote {
		s.SeedAddrs, s.Participates = b.Seeds, b.Bootstrap
	}
	return s
}
