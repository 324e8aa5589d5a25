package register

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// What the model needs of the package's interface for changes of the quorum set stands here alone.

// firstQuorumSet gives the set that a founding makes of members.
func firstQuorumSet(members []units.Node) QuorumSet {
	return QuorumSet{Version: 1, Size: len(members), Members: members}
}

// wantMembers asks a replica for another set.
func wantMembers(r *Replica, now units.Time, members []units.Node) { r.Want(now, members) }

// incoming gives the members that a joint set is on its way to.
func incoming(QuorumSet) []units.Node { return nil }

// expectedError says whether a replica may meet an error on messages that are well formed.
func expectedError(error) bool { return false }

// keysToRead gives the keys that a change of the set is to have read back before it is decided.
func keysToRead(r *Replica) []string {
	if r.change == nil {
		return nil
	}
	return message.Keys(r.change.keys)
}
