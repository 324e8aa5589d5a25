package simulator

import (
	"maps"
	"math/rand/v2"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Disk holds synced records, and in its page cache those that were written but not synced. Faults make it slow, stalled,
// full or lost.
type Disk struct {
	ID           units.NodeID // zero until a process initializes it
	InitialSeeds []string     // seeds of the first start, if the disk was uninitialized then
	Delay        time.Duration
	Stalled      bool
	Full         bool // further writes use the reserve
	reserveUsed  int  // records in the reserve
	synced       map[string]message.Record
	writing      []message.Record // written; the sync is in progress
	unsynced     []message.Record // written by earlier processes and never synced
	waiting      []message.Effects
	// TrustsCache injects a fault: a starting process treats all that it reads as synced.
	TrustsCache   bool
	syncing       bool
	generation    int
	syncStartedAt units.Time
}

// NewDisk returns an uninitialized disk.
func NewDisk() *Disk { return &Disk{Delay: 2 * time.Millisecond, synced: map[string]message.Record{}} }

// Records returns what a process reads: all written records, synced or not.
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

// applyRecord replaces the record of a key; an empty record removes the key.
func applyRecord(records map[string]message.Record, r message.Record) {
	if records[string(rune(r.Kind))+r.Key] = r; len(r.Data) == 0 {
		delete(records, string(rune(r.Kind))+r.Key)
	}
}

// syncOnStart syncs what a starting process reads from the page cache.
func (d *Disk) syncOnStart() {
	if d.TrustsCache {
		return
	}
	for _, r := range d.unsynced {
		applyRecord(d.synced, r)
	}
	d.unsynced = nil
}

// processKilled keeps what the killed process has written and drops what it had only queued.
func (d *Disk) processKilled() {
	d.unsynced = append(d.unsynced, d.writing...)
	d.writing, d.waiting, d.syncing = nil, nil, false
	d.generation++
}

// losePower keeps a random part of the writes that weren't synced, and in a third of the cases none.
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

// Wipe removes all data including the identity.
func (d *Disk) Wipe() {
	d.processKilled()
	d.unsynced = nil
	d.ID, d.InitialSeeds, d.synced, d.Stalled, d.Full = 0, nil, map[string]message.Record{}, false, false
}

// reserveRecords is how many records fit into the reserve.
const reserveRecords = 300

// reserveExhausted reports whether the disk is full and its reserve is used up.
func (d *Disk) reserveExhausted() bool { return d.Full && d.reserveUsed > reserveRecords }

// Unfit reports what the disk check of the controller program would.
func (d *Disk) Unfit(now units.Time) bool {
	return d.reserveExhausted() || d.syncing && now.Sub(d.syncStartedAt) > 500*time.Millisecond
}

func (d *Disk) enqueue(s *Sim, h *Host, o message.Effects) {
	d.waiting = append(d.waiting, o)
	if !d.syncing {
		d.syncWaiting(s, h)
	}
}

// syncWaiting syncs everything that is queued as one batch, then sends the messages that depend on it.
func (d *Disk) syncWaiting(s *Sim, h *Host) {
	batch := d.waiting
	d.waiting = nil
	d.syncing, d.syncStartedAt = true, s.Now
	for _, effects := range batch {
		d.writing = append(d.writing, effects.Writes...)
	}
	hostGeneration, diskGeneration := h.generation, d.generation
	var finish func()
	finish = func() {
		if h.generation != hostGeneration || d.generation != diskGeneration {
			return
		}
		if d.Stalled {
			s.After(50*time.Millisecond, finish)
			return
		}
		var messages []message.Message
		d.writing = nil
		for _, effects := range batch {
			if d.reserveUsed += len(effects.Writes); !d.Full {
				d.reserveUsed = 0
			}
			if d.reserveExhausted() && len(effects.Writes) > 0 {
				// Messages that depend on later writes may not be sent either.
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
	s.After(d.Delay+time.Duration(s.Rng.Int64N(int64(d.Delay)+1)), finish)
}
