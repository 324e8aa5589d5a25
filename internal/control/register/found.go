package register

import (
	"bytes"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// founding is the one time that blank disks write the first set of voters (design 2).
type founding struct {
	set  QuorumSet
	lead bool // it is this node that asks for the votes
	got  map[units.NodeID]bool
	sent units.Time
}

// BootstrapFixed founds the first set from the blank disks that membership shows. It does nothing unless there are exactly
// want of them, this one included, and nobody has heard of a running fleet.
func (b *Replica) BootstrapFixed(want int, l ControllerView) {
	if b.quorum.Version > 0 {
		return
	}
	if b.found == nil {
		b.found = &founding{}
	}
	f := b.found
	ids := slices.Clone(l.Uninitialized)
	slices.Sort(ids)
	if l.FleetExists || len(ids) != want || !slices.Contains(ids, b.self) {
		f.set = QuorumSet{}
		return
	}
	if !slices.Equal(ids, f.set.Members) {
		f.set, f.got = foundingSet(ids), map[units.NodeID]bool{}
	}
	f.lead = ids[0] == b.self
}

// BootstrapFromSeeds sets the first set that this node would found, none if ids is empty, and whether this node collects the
// votes. A disk that has voted keeps to its vote, whatever ids says (design 13).
func (b *Replica) BootstrapFromSeeds(ids []units.NodeID, lead bool) {
	if b.quorum.Version > 0 {
		return
	}
	if b.found == nil {
		b.found = &founding{}
	}
	f, set := b.found, QuorumSet{}
	if v, err := UnpackQuorumSet(b.vote); b.vote != nil && err == nil {
		set, lead = v, v.Members[0] == b.self
	} else if len(ids) > 0 {
		set = foundingSet(ids)
	}
	if f.lead = lead; !slices.Equal(set.Members, f.set.Members) {
		f.set, f.got = set, map[units.NodeID]bool{}
	}
}

func (b *Replica) foundTick(now units.Time, out *message.Effects) {
	f := b.found
	if f == nil || f.set.Version == 0 || !f.lead || now.Sub(f.sent) < 300*time.Millisecond {
		return
	}
	f.sent = now
	for _, n := range f.set.Members {
		if !f.got[n] {
			out.Send(n, BootstrapVoteRequest, b.pack(head{}, "", f.set.Pack()))
		}
	}
}

// foundVote: a blank disk votes for one set in its life, the one it sees itself.
func (b *Replica) foundVote(n message.Message, body []byte, out *message.Effects) {
	if b.quorum.Version > 0 || b.found == nil || !b.found.set.Has(b.self) || !bytes.Equal(b.found.set.Pack(), body) {
		return
	}
	if b.vote != nil && !bytes.Equal(b.vote, body) {
		return
	}
	if b.vote == nil {
		b.vote = bytes.Clone(body)
		out.Writes = append(out.Writes, message.Record{Kind: RecordBootstrapVote, Data: b.vote})
	}
	out.SendAfterSync(n.From, BootstrapVote, b.pack(head{}, "", body))
}

// foundCount: only when all have voted does the set stand.
func (b *Replica) foundCount(n message.Message, body []byte, out *message.Effects) {
	f := b.found
	if b.quorum.Version > 0 || f == nil || f.set.Version == 0 || !bytes.Equal(f.set.Pack(), body) {
		return
	}
	f.got[n.From] = true
	for _, x := range f.set.Members {
		if !f.got[x] {
			return
		}
	}
	v := f.set
	b.adopt(v, out) // the first set: no other system is known yet
	for _, x := range v.Members {
		if x != b.self {
			out.SendAfterSync(x, Reply, b.pack(head{}, "", nil))
		}
	}
}
