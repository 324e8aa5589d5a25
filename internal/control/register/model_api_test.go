package register

import (
	"errors"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// What the model needs of the package's interface for changes of the quorum set stands here alone.

// firstQuorumSet gives the set that a founding makes of members.
func firstQuorumSet(members []units.NodeID) QuorumSet { return foundingSet(members) }

// wantMembers asks a replica for another set.
func wantMembers(r *Replica, _ units.Time, members []units.NodeID) { r.ChangeMembers(members) }

// incoming gives the members that a joint set is on its way to.
func incoming(q QuorumSet) []units.NodeID { return q.Incoming }

// expectedError says whether a replica may meet an error on messages that are well formed.
func expectedError(err error) bool { return errors.Is(err, errNotMember) }

// keysToRead gives the keys that a change of the set is to have read back before it is decided.
func keysToRead(r *Replica) []string {
	if r.transfer == nil {
		return nil
	}
	return message.SortedKeys(r.transfer.readTags)
}
