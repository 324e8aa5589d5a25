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

// openedDisk is the state of the disk at a start.
type openedDisk struct {
	log           *wal.Log
	self          units.NodeID
	uninitialized bool  // self is a new identity, which has no vote
	damage        error // why the log that was there can't be trusted; it is set aside
	setAside      bool  // a damaged log was set aside at this start or before: a fleet exists, so this disk must not bootstrap one
}

// openDisk reads the log. A disk whose log is missing or damaged gets a new identity, which has no vote (docs/design.md,
// sections 2 and 3).
func openDisk(nodeSettings *settings.Settings) (opened openedDisk, err error) {
	opened.log, err = wal.Open(nodeSettings.DataDir, int64(nodeSettings.ReserveBytes))
	if errors.Is(err, wal.ErrDamaged) {
		opened.damage = err
		if err = wal.SetAside(nodeSettings.DataDir); err == nil {
			opened.log, err = wal.Open(nodeSettings.DataDir, int64(nodeSettings.ReserveBytes))
		}
	}
	if err != nil {
		return openedDisk{damage: opened.damage}, err
	}
	opened.setAside = wal.HasSetAside(nodeSettings.DataDir)
	for _, r := range opened.log.Records() {
		var head identityHead
		if r.Kind == recordIdentity && (message.Unpack(r.Data, &head, new([]byte)) == nil || message.Unpack(r.Data, &head) == nil) {
			opened.self = units.NodeID(head.ID)
			return opened, nil
		}
	}
	opened.self, opened.uninitialized = node.RandomID(), true
	var seeds []string
	if nodeSettings.GrowVoters && nodeSettings.Bootstrap && nodeSettings.MayVote && !opened.setAside {
		seeds = nodeSettings.Seeds
	}
	return opened, opened.log.Append([]message.Record{identityRecord(opened.self, seeds)})
}

// reportDamage records and logs that this node starts as a learner because its disk was damaged.
func (c *Controller) reportDamage(damage error) {
	c.disk.mu.Lock()
	c.disk.damage = damage
	c.disk.mu.Unlock()
	c.Log.WithError(damage).Error("the disk is damaged: its log is renamed to wal.damaged, and this node starts as a learner with a new identity")
}

type identityHead struct{ ID uint64 }

// identityRecord returns the record of a disk's identity. On a disk that was uninitialized at the very first start of the
// system it holds the seeds of that start, so that a process that is killed before the bootstrap still takes part in it
// after its restart (docs/design.md, section 13).
func identityRecord(id units.NodeID, seeds []string) message.Record {
	list := make([][]byte, len(seeds))
	for i, s := range seeds {
		list[i] = []byte(s)
	}
	return message.Record{Kind: recordIdentity, Data: message.Pack(identityHead{uint64(id)}, message.PackList(list))}
}

// originalSeeds returns the seeds of the system's very first start, if this disk took part in it.
func originalSeeds(records []message.Record) (seeds []string) {
	for _, r := range records {
		var head identityHead
		var list []byte
		if r.Kind != recordIdentity || message.Unpack(r.Data, &head, &list) != nil {
			continue
		}
		items, _ := message.UnpackList(list)
		for _, s := range items {
			seeds = append(seeds, string(s))
		}
	}
	return seeds
}

// bootstrapSeeds returns how this node takes part in a bootstrap from seeds. A node whose disk doesn't count has nothing
// stored of the first start: it belongs to it only if this process was started with that setting.
func bootstrapSeeds(nodeSettings *settings.Settings, records []message.Record) register.SeedBootstrap {
	seeds := register.SeedBootstrap{Addr: nodeSettings.Addr, SeedAddrs: originalSeeds(records), Participates: len(originalSeeds(records)) > 0}
	if !nodeSettings.MayVote {
		seeds.SeedAddrs, seeds.Participates = nodeSettings.Seeds, nodeSettings.Bootstrap
	}
	return seeds
}
