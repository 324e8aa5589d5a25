package barograph

import (
	"slices"
	"time"

	"seamshunt/internal/station"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// change is one step of the voters: one disk more or one fewer (design 2). Before the step, every key that
// a majority of the disks knows of must have been confirmed under the present set; only then does any
// majority of the next set meet each key's newest write.
type change struct {
	want  Voters
	since units.Time
	seen  map[units.Node]bool
	keys  map[string]uint64 // key to the tag of its confirmed read
	done  map[uint64]bool
	asked units.Time // the disks for their keys
	read  units.Time // the keys for their values
	sent  bool
}

// changeTag marks the reads that a change asks for itself.
const changeTag = 1 << 63

// Want asks the owner of the voters' key for a next set that differs by one disk. Only the owner minds.
func (b *Barograph) Want(now units.Time, ids []units.Node) {
	if diff(b.cfg.IDs, ids) == 1 {
		b.WantSet(now, Voters{Size: b.cfg.Size, IDs: ids})
	}
}

// WantSet asks for a next set that differs by one disk, or by the size that it is to have.
func (b *Barograph) WantSet(now units.Time, v Voters) {
	if b.cfg.Ver == 0 || b.Owner(KeyVoters) != b.self || b.change != nil || len(v.IDs) == 0 {
		return
	}
	if k := diff(b.cfg.IDs, v.IDs); k > 1 || k == 0 && v.Size == b.cfg.Size {
		return
	}
	l := slices.Clone(v.IDs)
	slices.Sort(l)
	b.change = &change{want: Voters{Ver: b.cfg.Ver + 1, Size: v.Size, IDs: l}, since: now, seen: map[units.Node]bool{},
		keys: map[string]uint64{}, done: map[uint64]bool{}, asked: now.Add(-time.Second), read: now.Add(-time.Second)}
}

func diff(a, b []units.Node) int {
	k := 0
	for _, n := range a {
		if !slices.Contains(b, n) {
			k++
		}
	}
	for _, n := range b {
		if !slices.Contains(a, n) {
			k++
		}
	}
	return k
}

func (b *Barograph) changeTick(now units.Time, out *station.Out) {
	c := b.change
	if c == nil {
		return
	}
	o := b.owns[KeyVoters]
	if b.cfg.Ver >= c.want.Ver || now.Sub(c.since) > 10*time.Second || o == nil || b.Owner(KeyVoters) != b.self {
		b.change = nil
		return
	}
	if o.phase != holding || !o.fresh {
		return
	}
	if c.sent {
		b.change = nil // its write was fenced off, and what stands is the old set: begin again
		return
	}
	if !b.cfg.Most(c.seen) {
		if now.Sub(c.asked) >= resend {
			c.asked = now
			for _, n := range b.cfg.IDs {
				out.Send(n, Keys, b.pack(head{}, "", nil))
			}
		}
		return
	}
	if now.Sub(c.read) >= resend {
		c.read = now
		for _, k := range station.Keys(c.keys) {
			tag := c.keys[k]
			if !c.done[tag] {
				out.Join(b.Ask(now, Ask{Tag: tag, Key: k}))
			}
		}
	}
	if len(c.done) < len(c.keys) {
		return
	}
	c.sent = true
	b.write(now, o, Slot{Seq: o.best.Seq + 1, Num: c.want.Ver, Body: packBody(nil, c.want.Pack())}, nil, out)
}

// listKeys answers with the keys on this disk, behind the disk's queue.
func (b *Barograph) listKeys(n station.Note, out *station.Out) {
	var l [][]byte
	for _, k := range station.Keys(b.slots) {
		l = append(l, []byte(k))
	}
	out.Later(n.From, KeysAre, b.pack(head{}, "", station.PackList(l)))
}

func (b *Barograph) keysAre(n station.Note, ver units.Num, body []byte) {
	c := b.change
	if c == nil || ver != b.cfg.Ver {
		return
	}
	l, err := station.UnpackList(body)
	if err != nil {
		return
	}
	c.seen[n.From] = true
	for _, k := range l {
		if _, ok := c.keys[string(k)]; !ok && string(k) != KeyVoters {
			b.tag++
			c.keys[string(k)] = changeTag | b.tag
		}
	}
}

// result keeps the change's own reads apart from operators' calls.
func (b *Barograph) result(r Result) {
	if r.Tag&changeTag == 0 {
		b.Results = append(b.Results, r)
		return
	}
	if c := b.change; c != nil && r.Code == synop.OK {
		c.done[r.Tag] = true
	}
}
