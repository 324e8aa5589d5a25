package simulator

import (
	"maps"
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Disk keeps synced records, and in its page cache those that were written and not synced; it can be slow, stalled, full or lost.
type Disk struct {
	ID           units.NodeID // zero while blank
	InitialSeeds []string     // the seeds of the very first start, on a disk that was blank then
	Delay        time.Duration
	Stalled      bool
	Full         bool // lives from the reserve
	reserveUsed  int  // records written to the reserve
	synced       map[string]message.Record
	writing      []message.Record // written, and the sync is under way
	unsynced     []message.Record // written by processes that have died since, and never synced
	waiting      []message.Effects
	// TrustsCache plants a fault: a process that starts takes what it reads for synced.
	TrustsCache   bool
	syncing       bool
	generation    int
	syncStartedAt units.Time
}

// NewDisk gives a blank one.
func NewDisk() *Disk { return &Disk{Delay: 2 * time.Millisecond, synced: map[string]message.Record{}} }

// Records gives what a process reads: what was written, synced or not.
func (d *Disk) Records() []message.Record {
	records := maps.Clone(d.synced)
	for _, r := range d.unsynced {
		applyRecord(records, r)
	}
	list := make([]message.Record, 0, len(records))
	for _, k := range message.SortedKeys(records) {
		list = append(list, records[k])
	}
	return list
}

// applyRecord has the newest record of a key live; an empty one ends its key.
func applyRecord(records map[string]message.Record, r message.Record) {
	if records[string(rune(r.Kind))+r.Key] = r; len(r.Data) == 0 {
		delete(records, string(rune(r.Kind))+r.Key)
	}
}

// syncOnStart has a process that starts sync what it reads.
func (d *Disk) syncOnStart() {
	if d.TrustsCache {
		return
	}
	for _, r := range d.unsynced {
		applyRecord(d.synced, r)
	}
	d.unsynced = nil
}

// processKilled is the death of the process: what it has written stays, what it only meant to write is gone.
func (d *Disk) processKilled() {
	d.unsynced = append(d.unsynced, d.writing...)
	d.writing, d.waiting, d.syncing = nil, nil, false
	d.generation++
}

// losePower is the loss of power: each write that wasn't synced is there or missing, at some losses every one.
func (d *Disk) losePower(rng *rand.Rand) {
	d.processKilled()
	allWritten := rng.IntN(3) == 0
	for _, r := range d.unsynced {
		if !allWritten && rng.IntN(2) == 0 {
			applyRecord(d.synced, r)
		}
	}
	d.unsynced = nil
}

// Wipe loses everything, the identity too.
func (d *Disk) Wipe() {
	d.processKilled()
	d.unsynced = nil
	d.ID, d.InitialSeeds, d.synced, d.Stalled, d.Full = 0, nil, map[string]message.Record{}, false, false
}

// reserveRecords is how many records the reserve bears here.
const reserveRecords = 300

// reserveExhausted says whether the disk is full and its reserve used up.
func (d *Disk) reserveExhausted() bool { return d.Full && d.reserveUsed > reserveRecords }

// Unfit is what the daemon's own disk watch would say.
func (d *Disk) Unfit(now units.Time) bool {
	return d.reserveExhausted() || d.syncing && now.Sub(d.syncStartedAt) > 500*time.Millisecond
}

func (d *Disk) enqueue(s *Sim, h *Host, o message.Effects) {
	d.waiting = append(d.waiting, o)
	if !d.syncing {
		d.syncWaiting(s, h)
	}
}

// syncWaiting syncs all that waits at once, then lets the replies go.
func (d *Disk) syncWaiting(s *Sim, h *Host) {
	batch := d.waiting
	d.waiting = nil
	d.syncing, d.syncStartedAt = true, s.Now
	for _, effects := range batch {
		d.writing = append(d.writing, effects.Writes...)
	}
	hostGeneration, diskGeneration := h.generation, d.generation
	var done func()
	done = func() {
		if h.generation != hostGeneration || d.generation != diskGeneration {
			return
		}
		if d.Stalled {
			s.After(50*time.Millisecond, done)
			return
		}
		var messages []message.Message
		d.writing = nil
		for _, effects := range batch {
			if d.reserveUsed += len(effects.Writes); !d.Full {
				d.reserveUsed = 0
			}
			if d.reserveExhausted() && len(effects.Writes) > 0 {
				// Nothing behind a refused write may be said either.
				d.waiting = nil
				h.Proc.Reload()
				break
			}
			for _, r := range effects.Writes {
				applyRecord(d.synced, r)
			}
			messages = append(messages, effects.AfterSync...)
		}
		d.syncing = false
		for _, n := range messages {
			s.send(h, n)
		}
		if len(d.waiting) > 0 {
			d.syncWaiting(s, h)
		}
	}
	s.After(d.Delay+time.Duration(s.Rng.Int64N(int64(d.Delay)+1)), done)
}
