package register

import (
	"errors"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// KeyQuorum is the key whose value is the quorum set itself.
const KeyQuorum = "voters"

func (b *Replica) state(key string) *State {
	s := b.states[key]
	if s == nil {
		s = &State{}
		b.states[key] = s
	}
	return s
}

// errOtherSystem reports a message from replicas that were bootstrapped separately from this one.
var errOtherSystem = errors.New("register: message belongs to another system")

// errNotMember reports a message that only a member of the quorum set may send, from a node that is not one.
var errNotMember = errors.New("register: the sender is not a member of the quorum set")

// adoptQuorum adopts a newer quorum set, which any message may carry, and persists it. It reports whether the message
// belongs to this system; a message of another system changes nothing.
func (b *Replica) adoptQuorum(set QuorumSet, out *message.Effects) bool {
	if b.quorum.Version > 0 && set.Version > 0 && set.SystemID != b.quorum.SystemID {
		out.AddError(errOtherSystem)
		return false
	}
	if set.Version <= b.quorum.Version {
		return true
	}
	b.quorum = set
	b.reachability.trackedSince, b.reachability.pingedAt = 0, 0 // it is not known yet whether the new members can be reached
	out.Writes = append(out.Writes, message.Record{Kind: RecordQuorum, Data: set.Pack()})
	for _, o := range b.ownerships {
		o.reset()
	}
	return true
}

// LearnQuorum adopts a quorum set that was distributed to all nodes, if it is newer. body is a packed QuorumSet.
func (b *Replica) LearnQuorum(body []byte) (out message.Effects) {
	set, err := UnpackQuorumSet(body)
	out.AddError(err)
	if err == nil {
		b.adoptQuorum(set, &out) // a set of another system is recorded as an error and changes nothing
	}
	return out
}

// isOutdated reports whether a request must be refused because it was sent under an older quorum set (docs/design.md,
// section 2).
func (b *Replica) isOutdated(key string, version units.Version) bool {
	if version < b.quorum.Version {
		return true
	}
	return key != KeyQuorum && version < b.state(KeyQuorum).Version
}

// QuorumVersion returns the version of the newest quorum set that this node knows of, whether adopted or only
// accepted.
func (b *Replica) QuorumVersion() units.Version {
	return max(b.quorum.Version, b.state(KeyQuorum).Version)
}

// handleVoterRequest serves Prepare, Accept and Confirm. Every reply waits for the disk queue, so replies leave in
// order.
func (b *Replica) handleVoterRequest(
	msg message.Message, h header, key string, version units.Version, body []byte, out *message.Effects,
) {
	reply := h
	reply.OK = 0
	if b.isOutdated(key, version) {
		out.SendAfterSync(msg.From, Stale, b.pack(reply, key, nil))
		return
	}
	if !b.mayVote(key, msg.Kind) {
		return
	}
	if b.quorum.Version > 0 && !b.quorum.Has(msg.From) {
		out.AddError(errNotMember)
		return
	}
	if msg.Kind == Accept {
		if err := checkBody(key, units.Version(h.Version), body); err != nil {
			out.AddError(err)
			return
		}
	}
	state := b.state(key)
	epoch := h.epoch()
	if epoch.Less(state.Promised) {
		reply.HigherNumber, reply.HigherNode = state.Promised.Number, uint64(state.Promised.Node)
		out.SendAfterSync(msg.From, msg.Kind+1, b.pack(reply, key, nil))
		return
	}
	reply.OK = 1
	switch msg.Kind {
	case Prepare:
		if state.Promised != epoch {
			state.Promised = epoch
			out.Writes = append(out.Writes, b.promiseRecord(key, state))
		}
		reply.HigherNumber, reply.HigherNode, reply.Seq, reply.Version =
			state.Accepted.Number, uint64(state.Accepted.Node), state.Seq, uint64(state.Version)
		out.SendAfterSync(msg.From, Promise, b.pack(reply, key, state.Body))
	case Accept:
		accepted := State{Promised: epoch, Accepted: epoch, Seq: h.Seq, Version: units.Version(h.Version), Body: body}
		if accepted.newer(state) {
			*state = accepted
			out.Writes = append(out.Writes, b.acceptRecord(key, state))
		} else if state.Accepted != epoch || state.Seq != h.Seq {
			return // a late, older Accept of the same epoch: its write has already been answered or superseded
		}
		out.SendAfterSync(msg.From, Accepted, b.pack(reply, key, nil))
	case Confirm:
		if state.Promised != epoch {
			reply.OK = 0
		}
		out.SendAfterSync(msg.From, Confirmed, b.pack(reply, key, nil))
	}
}

// mayVote reports whether this replica may vote on a key. Members vote on every key; a non-member may only accept the
// quorum set that admits it.
func (b *Replica) mayVote(key string, kind message.Kind) bool {
	return b.quorum.Has(b.self) || key == KeyQuorum && kind == Accept
}

// StoredVersions returns the accepted version of each key on this disk. A starting router requests them to confirm
// that its own state is current (docs/design.md, section 4).
func (b *Replica) StoredVersions() map[string]units.Version {
	versions := map[string]units.Version{}
	for key, s := range b.states {
		if s.Version > 0 {
			versions[key] = s.Version
		}
	}
	return versions
}

// KnownVersions returns StoredVersions, with KeyQuorum raised to the newest quorum set that this node knows of. A
// message may have carried that set before its value was accepted here.
func (b *Replica) KnownVersions() map[string]units.Version {
	versions := b.StoredVersions()
	if version := b.QuorumVersion(); version > 0 {
		versions[KeyQuorum] = version
	}
	return versions
}

// Resend repeats a key's accepted value to another voter as the owner's Accept. A voter that has since promised a
// higher epoch refuses it, as it would refuse a delayed Accept.
func (b *Replica) Resend(to units.NodeID, key string) (out message.Effects) {
	s := b.states[key]
	if s == nil || s.Accepted == (units.Epoch{}) {
		return out
	}
	h := header{EpochNumber: s.Accepted.Number, EpochNode: uint64(s.Accepted.Node), Seq: s.Seq, Version: uint64(s.Version)}
	out.SendAfterSync(to, Accept, b.pack(h, key, s.Body))
	return out
}

// States returns the acceptor's state of each key, for repair and status; the caller must not change it.
func (b *Replica) States() map[string]*State { return b.states }
