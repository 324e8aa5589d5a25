package register

import (
	"errors"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The model uses the package's API for changes of the quorum set only through the functions of this file.

// initialQuorumSet returns the set that a bootstrap with these members writes.
func initialQuorumSet(members []units.NodeID) QuorumSet { return bootstrapSet(members) }

// requestMembers requests a change of members from a replica.
func requestMembers(r *Replica, _ units.Time, members []units.NodeID) { r.ChangeMembers(members) }

// incoming returns the incoming members of a joint set.
func incoming(q QuorumSet) []units.NodeID { return q.Incoming }

// expectedError reports whether a replica may return this error for well-formed messages.
func expectedError(err error) bool { return errors.Is(err, errNotMember) }

// keysToRead returns the keys that have to be read back before a change of the set is completed.
func keysToRead(r *Replica) []string {
	if r.keyTransfer == nil {
		return nil
	}
	return message.SortedKeys(r.keyTransfer.readTags)
}
