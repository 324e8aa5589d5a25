package register

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// A change of members takes two agreed steps (docs/design.md, section 2). First the joint set of the current and the
// target members is written, on majorities of both. It resets every ownership, so each key is acquired again and
// written again on majorities of both. Once every key known to a majority has been read back this way, the target
// members are written as the new set.

// keyTransfer tracks whether every key has been read back under a joint set.
type keyTransfer struct {
	version    units.Version
	listed     map[units.NodeID]bool // replicas that have listed their keys
	readTags   map[string]uint64     // key to the tag of its read
	readDone   map[uint64]bool       // tags of the completed reads
	listSentAt units.Time
	readSentAt units.Time
}

// transferTagBit marks the tags of reads that a key transfer makes itself.
const transferTagBit = 1 << 63

// ChangeMembers sets the target members of the quorum set; nil keeps the current ones. Only the owner of KeyQuorum
// acts on it, and only while no other change is in progress.
func (b *Replica) ChangeMembers(members []units.NodeID) {
	b.targetMembers = slices.Clone(members)
	slices.Sort(b.targetMembers)
}

// IsBeingRemoved reports whether this replica is still a member but the quorum set is to continue without it.
func (b *Replica) IsBeingRemoved() bool {
	if !b.quorum.Has(b.self) {
		return false
	}
	return b.quorum.Joint() || len(b.targetMembers) > 0 && !slices.Contains(b.targetMembers, b.self)
}

// tickMemberChange starts the requested change, or completes the one in progress, whichever node started it.
func (b *Replica) tickMemberChange(now units.Time, out *message.Effects) {
	o := b.ownerships[KeyQuorum]
	if o == nil || b.Owner(KeyQuorum) != b.self || o.phase != holding || !o.acquired {
		return
	}
	if b.quorum.Joint() {
		b.completeChange(now, o, out)
		return
	}
	b.keyTransfer = nil
	if len(b.targetMembers) > 0 && !slices.Equal(b.targetMembers, b.quorum.Members) {
		b.writeQuorum(now, o, b.quorum.jointWith(b.targetMembers), out)
	}
}

func (b *Replica) writeQuorum(now units.Time, o *ownership, next QuorumSet, out *message.Effects) {
	value := State{Seq: o.current.Seq + 1, Version: next.Version, Body: packBody(nil, next.Pack())}
	b.propose(now, o, value, nil, out)
}

// completeChange replaces a joint set by its incoming members once all keys have been written under it.
func (b *Replica) completeChange(now units.Time, o *ownership, out *message.Effects) {
	t := b.keyTransfer
	if t == nil || t.version != b.quorum.Version {
		before := now.Add(-resendInterval)
		t = &keyTransfer{
			version: b.quorum.Version, listed: map[units.NodeID]bool{}, readTags: map[string]uint64{},
			readDone: map[uint64]bool{}, listSentAt: before, readSentAt: before,
		}
		b.keyTransfer = t
	}
	if !b.quorum.HasMajority(t.listed) {
		b.requestKeyLists(now, t, out)
		return
	}
	if len(t.readDone) < len(t.readTags) {
		b.readKeys(now, t, out)
		return
	}
	b.writeQuorum(now, o, b.quorum.completed(), out)
}

func (b *Replica) requestKeyLists(now units.Time, t *keyTransfer, out *message.Effects) {
	if now.Sub(t.listSentAt) < resendInterval {
		return
	}
	t.listSentAt = now
	for _, n := range b.quorum.All() {
		if !t.listed[n] {
			out.Send(n, ListKeys, b.pack(header{}, "", nil))
		}
	}
}

func (b *Replica) readKeys(now units.Time, t *keyTransfer, out *message.Effects) {
	if now.Sub(t.readSentAt) < resendInterval {
		return
	}
	t.readSentAt = now
	for _, key := range message.SortedKeys(t.readTags) {
		if tag := t.readTags[key]; !t.readDone[tag] {
			out.Append(b.Submit(now, Request{Tag: tag, Key: key}))
		}
	}
}

// handleListKeys answers with the keys on this disk, after the pending disk writes are synced.
func (b *Replica) handleListKeys(msg message.Message, out *message.Effects) {
	var keys [][]byte
	for _, key := range message.SortedKeys(b.states) {
		keys = append(keys, []byte(key))
	}
	out.SendAfterSync(msg.From, KeyList, b.pack(header{}, "", message.PackList(keys)))
}

// handleKeyList records a replica's list of keys if it was made under the current joint set.
func (b *Replica) handleKeyList(now units.Time, msg message.Message, version units.Version, body []byte, out *message.Effects) {
	t := b.keyTransfer
	if t == nil || version != t.version || version != b.quorum.Version {
		return
	}
	keys, err := message.UnpackList(body)
	if err != nil {
		out.AddError(err)
		return
	}
	t.listed[msg.From] = true
	for _, key := range keys {
		if _, known := t.readTags[string(key)]; !known && string(key) != KeyQuorum {
			b.lastTag++
			t.readTags[string(key)] = transferTagBit | b.lastTag
		}
	}
	b.tickMemberChange(now, out)
}

// handleOwnerResult processes an owner's answer. A read of a key transfer counts only if it was served under the
// current set.
func (b *Replica) handleOwnerResult(now units.Time, version units.Version, r Result, out *message.Effects) {
	if r.Tag&transferTagBit != 0 && version != b.quorum.Version {
		return
	}
	b.deliverResult(now, r, out)
}

// deliverResult records results of the key transfer's own reads, and appends all others to Results.
func (b *Replica) deliverResult(now units.Time, r Result, out *message.Effects) {
	if r.Tag&transferTagBit == 0 {
		b.Results = append(b.Results, r)
		return
	}
	if t := b.keyTransfer; t != nil && r.Code == resultcode.OK && t.awaits(r.Tag) {
		t.readDone[r.Tag] = true
		b.tickMemberChange(now, out)
	}
}

// awaits reports whether a tag belongs to a read of this transfer rather than of an older one.
func (t *keyTransfer) awaits(tag uint64) bool {
	for _, readTag := range t.readTags {
		if readTag == tag {
			return true
		}
	}
	return false
}
