package register

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// A change of members takes two agreed steps (design 2). First the joint set of the present and the wanted members is
// written, on majorities of both; it drops every ownership, so each key is acquired anew and written again on majorities
// of both. Once every key that a majority knows of has been read back so, the wanted members are written as the set.

// transfer watches that every key has been read back under a joint set.
type transfer struct {
	version  units.Version
	listed   map[units.NodeID]bool // replicas that have listed their keys
	readTags map[string]uint64     // by key, the tag of its read
	done     map[uint64]bool       // by tag
	listedAt units.Time
	readAt   units.Time
}

// transferTag marks the reads that a transfer asks for itself.
const transferTag = 1 << 63

// ChangeMembers names the members that the set is to have; nil leaves it as it is. Only the owner of the quorum key acts
// on it, and only while no other change is under way.
func (b *Replica) ChangeMembers(members []units.NodeID) {
	b.wanted = slices.Clone(members)
	slices.Sort(b.wanted)
}

// IsBeingRemoved says whether this replica is a member still and the set is to go on without it.
func (b *Replica) IsBeingRemoved() bool {
	if !b.quorum.Has(b.self) {
		return false
	}
	return b.quorum.Joint() || len(b.wanted) > 0 && !slices.Contains(b.wanted, b.self)
}

// changeTick begins the change that is wanted, or completes the one under way, whoever began it.
func (b *Replica) changeTick(now units.Time, out *message.Effects) {
	o := b.owned[KeyQuorum]
	if o == nil || b.Owner(KeyQuorum) != b.self || o.phase != holding || !o.fresh {
		return
	}
	if b.quorum.Joint() {
		b.completeChange(now, o, out)
		return
	}
	b.transfer = nil
	if len(b.wanted) > 0 && !slices.Equal(b.wanted, b.quorum.Members) {
		b.writeQuorum(now, o, b.quorum.joint(b.wanted), out)
	}
}

func (b *Replica) writeQuorum(now units.Time, o *ownership, next QuorumSet, out *message.Effects) {
	value := State{Seq: o.best.Seq + 1, Version: next.Version, Body: packBody(nil, next.Pack())}
	b.write(now, o, value, nil, out)
}

// completeChange ends a joint set once all keys stand under it.
func (b *Replica) completeChange(now units.Time, o *ownership, out *message.Effects) {
	t := b.transfer
	if t == nil || t.version != b.quorum.Version {
		before := now.Add(-resend)
		t = &transfer{version: b.quorum.Version, listed: map[units.NodeID]bool{}, readTags: map[string]uint64{}, done: map[uint64]bool{}, listedAt: before, readAt: before}
		b.transfer = t
	}
	if !b.quorum.HasMajority(t.listed) {
		b.askForKeys(now, t, out)
		return
	}
	if len(t.done) < len(t.readTags) {
		b.readKeys(now, t, out)
		return
	}
	b.writeQuorum(now, o, b.quorum.completed(), out)
}

func (b *Replica) askForKeys(now units.Time, t *transfer, out *message.Effects) {
	if now.Sub(t.listedAt) < resend {
		return
	}
	t.listedAt = now
	for _, n := range b.quorum.All() {
		if !t.listed[n] {
			out.Send(n, ListKeys, b.pack(head{}, "", nil))
		}
	}
}

func (b *Replica) readKeys(now units.Time, t *transfer, out *message.Effects) {
	if now.Sub(t.readAt) < resend {
		return
	}
	t.readAt = now
	for _, key := range message.SortedKeys(t.readTags) {
		if tag := t.readTags[key]; !t.done[tag] {
			out.Append(b.Submit(now, Request{Tag: tag, Key: key}))
		}
	}
}

// listKeys answers with the keys on this disk, behind the disk's queue.
func (b *Replica) listKeys(n message.Message, out *message.Effects) {
	var keys [][]byte
	for _, key := range message.SortedKeys(b.states) {
		keys = append(keys, []byte(key))
	}
	out.SendAfterSync(n.From, KeyList, b.pack(head{}, "", message.PackList(keys)))
}

// keysListed takes a replica's list of keys, if it was made under the joint set.
func (b *Replica) keysListed(now units.Time, n message.Message, version units.Version, body []byte, out *message.Effects) {
	t := b.transfer
	if t == nil || version != t.version || version != b.quorum.Version {
		return
	}
	keys, err := message.UnpackList(body)
	if err != nil {
		out.AddError(err)
		return
	}
	t.listed[n.From] = true
	for _, key := range keys {
		if _, known := t.readTags[string(key)]; !known && string(key) != KeyQuorum {
			b.tag++
			t.readTags[string(key)] = transferTag | b.tag
		}
	}
	b.changeTick(now, out)
}

// replied takes an owner's answer. A transfer's read counts only if it was served under the joint set.
func (b *Replica) replied(now units.Time, version units.Version, r Result, out *message.Effects) {
	if r.Tag&transferTag != 0 && version != b.quorum.Version {
		return
	}
	b.result(now, r, out)
}

// result keeps a transfer's own reads apart from operators' requests.
func (b *Replica) result(now units.Time, r Result, out *message.Effects) {
	if r.Tag&transferTag == 0 {
		b.Results = append(b.Results, r)
		return
	}
	if t := b.transfer; t != nil && r.Code == resultcode.OK && t.awaits(r.Tag) {
		t.done[r.Tag] = true
		b.changeTick(now, out)
	}
}

// awaits says whether a read belongs to this transfer and not to an older one.
func (t *transfer) awaits(tag uint64) bool {
	for _, x := range t.readTags {
		if x == tag {
			return true
		}
	}
	return false
}
