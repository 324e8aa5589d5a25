package simulator

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Disk keeps synced records; it can be slow, stalled, full or lost.
type Disk struct {
	ID      units.Node // zero while blank
	Born    []string   // the seeds of the very first start, on a disk that was blank then
	Delay   time.Duration
	Stalled bool
	Full    bool // lives from the reserve
	used    int  // records written to the reserve
	live    map[string]message.Record
	wait    []message.Effects
	busy    bool
	life    int
	since   units.Time
}

// NewDisk gives a blank one.
func NewDisk() *Disk { return &Disk{Delay: 2 * time.Millisecond, live: map[string]message.Record{}} }

// Records gives what is synced.
func (d *Disk) Records() []message.Record {
	l := make([]message.Record, 0, len(d.live))
	for _, k := range message.Keys(d.live) {
		l = append(l, d.live[k])
	}
	return l
}

func (d *Disk) crash() {
	d.wait, d.busy = nil, false
	d.life++
}

// Wipe loses everything, the identity too.
func (d *Disk) Wipe() {
	d.crash()
	d.ID, d.Born, d.live, d.Stalled, d.Full = 0, nil, map[string]message.Record{}, false, false
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
				if d.live[string(rune(r.Kind))+r.Key] = r; len(r.Data) == 0 {
					delete(d.live, string(rune(r.Kind))+r.Key)
				}
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
