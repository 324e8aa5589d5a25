package controller

import (
	"errors"
	"sync"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/storage/wal"
	"seamshunt/internal/units"
)

// stallThreshold is how long one sync may take before this node gives up the ownership of its keys.
const stallThreshold = 500 * time.Millisecond

// disk is the log file with the queue of its only writer, diskLoop.
type disk struct {
	mu             sync.Mutex
	file           *wal.Log
	queue          []message.Effects
	wake           chan struct{}
	writeStartedAt units.Time // of the write in progress; zero when idle
	failed         bool
	// damage is why the log was set aside; nil if it was intact
	damage            error
	full              bool // a write found no space, not even in the reserve
	onReserve         bool // the disk has no free space: the reserve is kept for operators' changes
	lastProbeAt       units.Time
	lastWriteDuration time.Duration
	injectedFault     func() error // set by tests; called instead of appending to the file
}

// queueEffects queues writes and the messages that must wait until they are synced. It never blocks.
func (c *Controller) queueEffects(effects message.Effects) {
	d := &c.disk
	d.mu.Lock()
	d.queue = append(d.queue, message.Effects{Writes: effects.Writes, AfterSync: effects.AfterSync})
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// diskLoop is the only user of the file. It takes the whole queue, syncs once, and sends the messages that waited for it.
func (c *Controller) diskLoop() {
	d := &c.disk
	for {
		select {
		case <-c.Tasks.Stopped():
			d.file.Close()
			return
		case <-d.wake:
		}
		d.mu.Lock()
		batch := d.queue
		d.queue = nil
		d.writeStartedAt = c.Tasks.Now()
		failed, injectedFault := d.failed, d.injectedFault
		d.mu.Unlock()
		if failed {
			continue // no message is sent any more: the node must be restarted
		}
		var records []message.Record
		for _, effects := range batch {
			records = append(records, effects.Writes...)
		}
		var err error
		if injectedFault != nil && len(records) > 0 {
			err = injectedFault()
		} else {
			err = d.file.Append(records)
		}
		d.mu.Lock()
		d.onReserve = d.file.DiskFull()
		d.lastWriteDuration = c.Tasks.Now().Sub(d.writeStartedAt)
		d.writeStartedAt = 0
		d.failed = d.failed || err != nil && !errors.Is(err, wal.ErrFull)
		if len(records) > 0 {
			d.full = errors.Is(err, wal.ErrFull)
		}
		d.mu.Unlock()
		if err != nil {
			c.Log.WithError(err).Error("writing to the disk failed")
			c.recoverDisk(err)
			continue
		}
		for _, effects := range batch {
			for _, n := range effects.AfterSync {
				c.Transport.Send(n)
			}
		}
	}
}

// recoverDisk rebuilds the replica from the disk after a failed write: the state in memory is ahead of the state on disk.
func (c *Controller) recoverDisk(err error) {
	if errors.Is(err, wal.ErrFull) {
		c.reloadReplica(c.disk.file)
		return
	}
	c.disk.file.Close()
	opened, err := openDisk(c.Settings)
	if opened.damage != nil {
		c.reportDamage(opened.damage)
	}
	if err == nil && !opened.uninitialized {
		err = opened.log.Rewrite()
	}
	if err != nil || opened.uninitialized {
		c.Log.Error("the disk can't be opened again: this node stops voting")
		return
	}
	c.reloadReplica(opened.log)
	c.disk.mu.Lock()
	c.disk.file, c.disk.failed = opened.log, false
	c.disk.mu.Unlock()
}

// unfit reports whether this disk is too slow, stalled, full or failed, so that this node must not own keys.
func (d *disk) unfit(now units.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed || d.full || d.writeStartedAt > 0 && now.Sub(d.writeStartedAt) > stallThreshold || d.lastWriteDuration > stallThreshold
}

// probeDisk reports whether the disk has no free space and whether its reserve is used up too. In either case, and while
// the last write was slow, it probes the disk once a second. Where the reserve is used up or the disk was slow it writes
// a small record, since there may be no other writes: if the disks of all controllers are unfit, no key has an owner.
func (c *Controller) probeDisk(now units.Time) (onReserve, full bool) {
	d := &c.disk
	d.mu.Lock()
	onReserve, full = d.onReserve || d.full, d.full
	slow := d.lastWriteDuration > stallThreshold && d.writeStartedAt == 0
	due := (onReserve || slow) && now.Sub(d.lastProbeAt) > time.Second
	if due {
		d.lastProbeAt = now
	}
	d.mu.Unlock()
	if due && (full || slow) {
		c.queueEffects(message.Effects{Writes: []message.Record{identityRecord(c.Self, c.originalSeeds)}})
	} else if due {
		c.queueEffects(message.Effects{})
	}
	return onReserve, full
}

// majorityFull reports whether so many voters' disks are full that no write can reach a majority.
func (c *Controller) majorityFull() bool {
	quorum := c.quorumSet()
	withSpace, full := 0, 0
	for _, m := range c.Members() {
		if !quorum.Has(m.Node) || m.State > membership.Suspect {
			continue
		}
		if m.Flags&membership.DiskFull != 0 {
			full++
		} else {
			withSpace++
		}
	}
	return full > 0 && withSpace <= len(quorum.Members)/2
}
