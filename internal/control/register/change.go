package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// change is one step of the voters: one disk more or one fewer (design 2). Before the step, every key that
// a majority of the disks knows of must have been confirmed under the present set; only then does any
// majority of the next set meet each key's newest write.
type change struct {
	want  QuorumSet
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
func (b *Replica) Want(now units.Time, ids []units.Node) {
	if diff(b.quorum.Members, ids) == 1 {
		b.ChangeMembers(now, QuorumSet{Size: b.quorum.Size, Members: ids})
	}
}

// WantSet asks for a next set that differs by one disk, or by the size that it is to have.
func (b *Replica) ChangeMembers(now units.Time, v QuorumSet) {
	if b.quorum.Version == 0 || b.Owner(KeyQuorum) != b.self || b.change != nil || len(v.Members) == 0 {
		return
	}
	if k := diff(b.quorum.Members, v.Members); k > 1 || k == 0 && v.Size == b.quorum.Size {
		return
	}
	l := slices.Clone(v.Members)
	slices.Sort(l)
	b.change = &change{want: QuorumSet{Version: b.quorum.Version + 1, Size: v.Size, Members: l}, since: now, seen: map[units.Node]bool{},
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

func (b *Replica) changeTick(now units.Time, out *message.Effects) {
	c := b.change
	if c == nil {
		return
	}
	o := b.owned[KeyQuorum]
	if b.quorum.Version >= c.want.Version || now.Sub(c.since) > 10*time.Second || o == nil || b.Owner(KeyQuorum) != b.self {
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
	if !b.quorum.Majority(c.seen) {
		if now.Sub(c.asked) >= resend {
			c.asked = now
			for _, n := range b.quorum.Members {
				out.Send(n, ListKeys, b.pack(head{}, "", nil))
			}
		}
		return
	}
	if now.Sub(c.read) >= resend {
		c.read = now
		for _, k := range message.Keys(c.keys) {
			tag := c.keys[k]
			if !c.done[tag] {
				out.Join(b.Submit(now, Request{Tag: tag, Key: k}))
			}
		}
	}
	if len(c.done) < len(c.keys) {
		return
	}
	c.sent = true
	b.write(now, o, State{Seq: o.best.Seq + 1, Num: c.want.Version, Body: packBody(nil, c.want.Pack())}, nil, out)
}

// listKeys answers with the keys on this disk, behind the disk's queue.
func (b *Replica) listKeys(n message.Message, out *message.Effects) {
	var l [][]byte
	for _, k := range message.Keys(b.states) {
		l = append(l, []byte(k))
	}
	out.SendAfterSync(n.From, KeyList, b.pack(head{}, "", message.PackList(l)))
}

func (b *Replica) keysAre(n message.Message, ver units.Num, body []byte) {
	c := b.change
	if c == nil || ver != b.quorum.Version {
		return
	}
	l, err := message.UnpackList(body)
	if err != nil {
		return
	}
	c.seen[n.From] = true
	for _, k := range l {
		if _, ok := c.keys[string(k)]; !ok && string(k) != KeyQuorum {
			b.tag++
			c.keys[string(k)] = changeTag | b.tag
		}
	}
}

// result keeps the change's own reads apart from operators' calls.
func (b *Replica) result(r Result) {
	if r.Tag&changeTag == 0 {
		b.Results = append(b.Results, r)
		return
	}
	if c := b.change; c != nil && r.Code == synop.OK {
		c.done[r.Tag] = true
	}
}
