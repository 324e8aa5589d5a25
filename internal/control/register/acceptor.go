package register

import (
	"errors"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// KeyQuorum is the key whose value is the set of voters itself.
const KeyQuorum = "voters"

func (b *Replica) state(key string) *State {
	s := b.states[key]
	if s == nil {
		s = &State{}
		b.states[key] = s
	}
	return s
}

// errOtherSystem is a message of replicas that were founded apart from this one's.
var errOtherSystem = errors.New("register: a message of another system")

// errNotMember is a message that only a member of the quorum set may send.
var errNotMember = errors.New("register: the sender is not a member of the quorum set")

// adopt takes a newer quorum set from any message and keeps it on disk. It says whether the message is one of this
// system; what is not changes nothing.
func (b *Replica) adopt(q QuorumSet, out *message.Effects) bool {
	if b.quorum.Version > 0 && q.Version > 0 && q.SystemID != b.quorum.SystemID {
		out.AddError(errOtherSystem)
		return false
	}
	if q.Version <= b.quorum.Version {
		return true
	}
	b.quorum = q
	b.reach.born, b.reach.sent = 0, 0 // whether it reaches these is to be seen
	out.Writes = append(out.Writes, message.Record{Kind: RecordQuorum, Data: q.Pack()})
	for _, o := range b.owned {
		o.drop()
	}
	return true
}

// LearnQuorum adopts a set of voters that was spread to all nodes, if it is newer; body is a packed QuorumSet.
func (b *Replica) LearnQuorum(body []byte) (out message.Effects) {
	v, err := UnpackQuorumSet(body)
	out.AddError(err)
	if err == nil {
		b.adopt(v, &out) // what is of another system is counted and changes nothing
	}
	return out
}

// barred says whether a message under an older set of voters must not be served (design 2).
func (b *Replica) barred(key string, ver units.Version) bool {
	if ver < b.quorum.Version {
		return true
	}
	return key != KeyQuorum && ver < b.state(KeyQuorum).Version
}

// QuorumVersion returns the version of the newest set of voters that this node knows of, adopted or only accepted.
func (b *Replica) QuorumVersion() units.Version {
	return max(b.quorum.Version, b.state(KeyQuorum).Version)
}

// voter serves Prepare, Accept and Confirm; every reply goes through the disk's queue, in order.
func (b *Replica) voter(n message.Message, h head, key string, ver units.Version, body []byte, out *message.Effects) {
	r := h
	r.Ok = 0
	if b.barred(key, ver) {
		out.SendAfterSync(n.From, Stale, b.pack(r, key, nil))
		return
	}
	if !b.mayVote(key, n.Kind) {
		return
	}
	if b.quorum.Version > 0 && !b.quorum.Has(n.From) {
		out.AddError(errNotMember)
		return
	}
	if n.Kind == Accept {
		if err := checkBody(key, units.Version(h.Num), body); err != nil {
			out.AddError(err)
			return
		}
	}
	s := b.state(key)
	e := h.epoch()
	if e.Less(s.Promised) {
		r.HN, r.HBy = s.Promised.Number, uint64(s.Promised.Node)
		out.SendAfterSync(n.From, n.Kind+1, b.pack(r, key, nil))
		return
	}
	r.Ok = 1
	switch n.Kind {
	case Prepare:
		if s.Promised != e {
			s.Promised = e
			out.Writes = append(out.Writes, b.savePromise(key, s))
		}
		r.HN, r.HBy, r.Seq, r.Num = s.Accepted.Number, uint64(s.Accepted.Node), s.Seq, uint64(s.Version)
		out.SendAfterSync(n.From, Promise, b.pack(r, key, s.Body))
	case Accept:
		x := State{Promised: e, Accepted: e, Seq: h.Seq, Version: units.Version(h.Num), Body: body}
		if x.newer(s) {
			*s = x
			out.Writes = append(out.Writes, b.saveAccept(key, s))
		} else if s.Accepted != e || s.Seq != h.Seq {
			return // an older one of the same epoch, late: its write has long been answered or overtaken
		}
		out.SendAfterSync(n.From, Accepted, b.pack(r, key, nil))
	case Confirm:
		if s.Promised != e {
			r.Ok = 0
		}
		out.SendAfterSync(n.From, Confirmed, b.pack(r, key, nil))
	}
}

// mayVote: a member of the set votes; a learner only accepts the change of voters that takes it in.
func (b *Replica) mayVote(key string, k message.Kind) bool {
	return b.quorum.Has(b.self) || key == KeyQuorum && k == Accept
}

// StoredVersions gives this disk's accepted numbers, for a starting router's vouching (design 4).
func (b *Replica) StoredVersions() map[string]units.Version {
	m := map[string]units.Version{}
	for k, s := range b.states {
		if s.Version > 0 {
			m[k] = s.Version
		}
	}
	return m
}

// KnownVersions gives what a vouching disk answers with: its stored numbers and, for the quorum's key, the newest quorum set
// that this node knows of, which may have come with a message before its value was accepted here.
func (b *Replica) KnownVersions() map[string]units.Version {
	numbers := b.StoredVersions()
	if v := b.QuorumVersion(); v > 0 {
		numbers[KeyQuorum] = v
	}
	return numbers
}

// Resend sends a key's accepted value to another voter as its owner's Accept once more: a voter that has since promised a
// higher epoch refuses it, as it would a late one.
func (b *Replica) Resend(to units.NodeID, key string) (out message.Effects) {
	s := b.states[key]
	if s == nil || s.Accepted == (units.Epoch{}) {
		return out
	}
	h := head{N: s.Accepted.Number, By: uint64(s.Accepted.Node), Seq: s.Seq, Num: uint64(s.Version)}
	out.SendAfterSync(to, Accept, b.pack(h, key, s.Body))
	return out
}

// States returns the acceptor's state of each key, for repair and status; the caller must not change it.
func (b *Replica) States() map[string]*State { return b.states }
