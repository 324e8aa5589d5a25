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

// stallAt is how long one sync may last before this node hands its keys over.
const stallAt = 500 * time.Millisecond

// disk is the queue before the one writer of the file.
type disk struct {
	mu    sync.Mutex
	file  *wal.Log
	queue []message.Effects
	wake  chan struct{}
	since units.Time // when the write under way began; zero when idle
	sick  bool
	// damage is why the disk was set aside; nil for one that was whole
	damage error
	full   bool // a write found no room, not even in the reserve
	low    bool // the disk gives no more room: the reserve is for operators' changes
	tried  units.Time
	slow   time.Duration
	fault  func() error // planted by tests in place of the file's own
}

// later queues writes and what must wait for them. It never blocks.
func (c *Controller) later(out message.Effects) {
	d := &c.disk
	d.mu.Lock()
	d.queue = append(d.queue, message.Effects{Writes: out.Writes, AfterSync: out.AfterSync})
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// writer is the file's only user. It takes all that is queued, syncs once, and lets the replies go.
func (c *Controller) writer() {
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
		d.since = c.Tasks.Now()
		sick, fault := d.sick, d.fault
		d.mu.Unlock()
		if sick {
			continue // no reply ever leaves again: the node must be restarted
		}
		var rs []message.Record
		for _, o := range batch {
			rs = append(rs, o.Writes...)
		}
		var err error
		if fault != nil && len(rs) > 0 {
			err = fault()
		} else {
			err = d.file.Append(rs)
		}
		d.mu.Lock()
		d.low = d.file.DiskFull()
		d.slow = c.Tasks.Now().Sub(d.since)
		d.since = 0
		d.sick = d.sick || err != nil && !errors.Is(err, wal.ErrFull)
		if len(rs) > 0 {
			d.full = errors.Is(err, wal.ErrFull)
		}
		d.mu.Unlock()
		if err != nil {
			c.Log.WithError(err).Error("the disk failed")
			c.diskFailed(err)
			continue
		}
		for _, o := range batch {
			for _, n := range o.AfterSync {
				c.Transport.Send(n)
			}
		}
	}
}

// diskFailed: what the machine believes is not what the disk holds. It is rebuilt from the disk alone.
func (c *Controller) diskFailed(err error) {
	if errors.Is(err, wal.ErrFull) {
		c.reload(c.disk.file)
		return
	}
	c.disk.file.Close()
	o, err := openDisk(c.Settings)
	if o.damage != nil {
		c.sayDamage(o.damage)
	}
	if err == nil && !o.blank {
		err = o.log.Rewrite()
	}
	if err != nil || o.blank {
		c.Log.Error("the disk can't be opened again: this node stops voting")
		return
	}
	c.reload(o.log)
	c.disk.mu.Lock()
	c.disk.file, c.disk.sick = o.log, false
	c.disk.mu.Unlock()
}

// unfit says whether this disk is too slow, stalled, full or sick for owning keys.
func (d *disk) unfit(now units.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sick || d.full || d.since > 0 && now.Sub(d.since) > stallAt || d.slow > stallAt
}

// tryDisk says whether the disk gives no more room, and whether its reserve is used up too. While it is so, or while the
// last write was slow, the disk is tried once a second: by a small record where the reserve is used up or the disk was
// slow, since nothing else may come (a core whose disks are all unfit has no owners, and so no writes).
func (c *Controller) tryDisk(now units.Time) (low, full bool) {
	d := &c.disk
	d.mu.Lock()
	low, full = d.low || d.full, d.full
	slow := d.slow > stallAt && d.since == 0
	try := (low || slow) && now.Sub(d.tried) > time.Second
	if try {
		d.tried = now
	}
	d.mu.Unlock()
	if try && (full || slow) {
		c.later(message.Effects{Writes: []message.Record{self(c.Self, c.born)}})
	} else if try {
		c.later(message.Effects{})
	}
	return low, full
}

// noRoom says whether so many voters' disks are full that no write can find a majority.
func (c *Controller) noRoom() bool {
	v := c.voters()
	room, full := 0, 0
	for _, m := range c.Members() {
		if !v.Has(m.Node) || m.State > membership.Suspect {
			continue
		}
		if m.Flags&membership.DiskFull != 0 {
			full++
		} else {
			room++
		}
	}
	return full > 0 && room <= len(v.Members)/2
}
