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
	used         int  // records written to the reserve
	live         map[string]message.Record
	writing      []message.Record // written, and the sync is under way
	cache        []message.Record // written by processes that have died since, and never synced
	wait         []message.Effects
	// TrustsCache plants a fault: a process that starts takes what it reads for synced.
	TrustsCache bool
	busy        bool
	life        int
	since       units.Time
}

// NewDisk gives a blank one.
func NewDisk() *Disk { return &Disk{Delay: 2 * time.Millisecond, live: map[string]message.Record{}} }

// Records gives what a process reads: what was written, synced or not.
func (d *Disk) Records() []message.Record {
	read := maps.Clone(d.live)
	for _, r := range d.cache {
		keep(read, r)
	}
	l := make([]message.Record, 0, len(read))
	for _, k := range message.SortedKeys(read) {
		l = append(l, read[k])
	}
	return l
}

// keep has the newest record of a key live; an empty one ends its key.
func keep(live map[string]message.Record, r message.Record) {
	if live[string(rune(r.Kind))+r.Key] = r; len(r.Data) == 0 {
		delete(live, string(rune(r.Kind))+r.Key)
	}
}

// open has a process that starts sync what it reads.
func (d *Disk) open() {
	if d.TrustsCache {
		return
	}
	for _, r := range d.cache {
		keep(d.live, r)
	}
	d.cache = nil
}

// crash is the death of the process: what it has written stays, what it only meant to write is gone.
func (d *Disk) crash() {
	d.cache = append(d.cache, d.writing...)
	d.writing, d.wait, d.busy = nil, nil, false
	d.life++
}

// powerOff is the loss of power: each write that wasn't synced is there or missing, at some losses every one.
func (d *Disk) powerOff(rng *rand.Rand) {
	d.crash()
	all := rng.IntN(3) == 0
	for _, r := range d.cache {
		if !all && rng.IntN(2) == 0 {
			keep(d.live, r)
		}
	}
	d.cache = nil
}

// Wipe loses everything, the identity too.
func (d *Disk) Wipe() {
	d.crash()
	d.cache = nil
	d.ID, d.InitialSeeds, d.live, d.Stalled, d.Full = 0, nil, map[string]message.Record{}, false, false
}

// reserve is how many records the reserve bears here.
const reserve = 300

// out says whether the disk is full and its reserve used up.
func (d *Disk) out() bool { return d.Full && d.used > reserve }

// Unfit is what the daemon's own disk watch would say.
func (d *Disk) Unfit(now units.Time) bool {
	return d.out() || d.busy && now.Sub(d.since) > 500*time.Millisecond
}

func (d *Disk) queue(s *Sim, h *Host, o message.Effects) {
	d.wait = append(d.wait, o)
	if !d.busy {
		d.write(s, h)
	}
}

// write syncs all that waits at once, then lets the replies go.
func (d *Disk) write(s *Sim, h *Host) {
	batch := d.wait
	d.wait = nil
	d.busy, d.since = true, s.Now
	for _, o := range batch {
		d.writing = append(d.writing, o.Writes...)
	}
	life, disk := h.life, d.life
	var done func()
	done = func() {
		if h.life != life || d.life != disk {
			return
		}
		if d.Stalled {
			s.After(50*time.Millisecond, done)
			return
		}
		var notes []message.Message
		d.writing = nil
		for _, o := range batch {
			if d.used += len(o.Writes); !d.Full {
				d.used = 0
			}
			if d.out() && len(o.Writes) > 0 {
				// Nothing behind a refused write may be said either.
				d.wait = nil
				h.Proc.Reload()
				break
			}
			for _, r := range o.Writes {
				keep(d.live, r)
			}
			notes = append(notes, o.AfterSync...)
		}
		d.busy = false
		for _, n := range notes {
			s.send(h, n)
		}
		if len(d.wait) > 0 {
			d.write(s, h)
		}
	}
	s.After(d.Delay+time.Duration(s.Rng.Int64N(int64(d.Delay)+1)), done)
}
