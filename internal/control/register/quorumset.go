package register

import (
	"errors"
	"fmt"
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// QuorumSet is a version of the set of replicas that vote. While Incoming is not empty the set is joint: it is in
// transition from Members to Incoming, and every decision needs a majority of both.
type QuorumSet struct {
	Version  units.Version
	SystemID uint64 // derived from the members of the bootstrap set; zero before bootstrap
	Members  []units.NodeID
	Incoming []units.NodeID
}

// errMalformedQuorumSet reports a set that no correct replica writes.
var errMalformedQuorumSet = errors.New("register: malformed quorum set")

type quorumSetHeader struct{ Version, SystemID uint64 }

type nodeItem struct{ Node uint64 }

// bootstrapSet returns the first set of a system. The members' disk ids are random, so their hash distinguishes the
// system from any other.
func bootstrapSet(members []units.NodeID) QuorumSet {
	names := make([]string, len(members))
	for i, n := range members {
		names[i] = n.String()
	}
	return QuorumSet{Version: 1, SystemID: units.Mix(names...), Members: members}
}

// jointWith returns the joint set of the current and the incoming members.
func (q QuorumSet) jointWith(incoming []units.NodeID) QuorumSet {
	return QuorumSet{Version: q.Version + 1, SystemID: q.SystemID, Members: q.Members, Incoming: incoming}
}

// completed returns the set that follows a joint one.
func (q QuorumSet) completed() QuorumSet {
	return QuorumSet{Version: q.Version + 1, SystemID: q.SystemID, Members: q.Incoming}
}

// Joint reports whether the set is in transition to another.
func (q QuorumSet) Joint() bool { return len(q.Incoming) > 0 }

// All returns every replica of the set, including the incoming ones.
func (q QuorumSet) All() []units.NodeID {
	all := slices.Clone(q.Members)
	for _, n := range q.Incoming {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// Has reports whether n is a member or an incoming member.
func (q QuorumSet) Has(n units.NodeID) bool {
	return slices.Contains(q.Members, n) || slices.Contains(q.Incoming, n)
}

// HasMajority reports whether nodes contains a majority of the members and, in a joint set, also of the incoming
// members.
func (q QuorumSet) HasMajority(nodes map[units.NodeID]bool) bool {
	return hasMajority(q.Members, nodes) && (!q.Joint() || hasMajority(q.Incoming, nodes))
}

func hasMajority(members []units.NodeID, nodes map[units.NodeID]bool) bool {
	count := 0
	for _, n := range members {
		if nodes[n] {
			count++
		}
	}
	return count > len(members)/2
}

// Pack encodes the set for messages and the disk.
func (q QuorumSet) Pack() []byte {
	head := quorumSetHeader{uint64(q.Version), q.SystemID}
	return message.Pack(head, packNodes(q.Members), packNodes(q.Incoming))
}

// UnpackQuorumSet is the inverse of Pack. It returns an error for a set that no correct replica writes.
func UnpackQuorumSet(packed []byte) (QuorumSet, error) {
	var head quorumSetHeader
	var members, incoming []byte
	if err := message.Unpack(packed, &head, &members, &incoming); err != nil {
		return QuorumSet{}, err
	}
	q := QuorumSet{Version: units.Version(head.Version), SystemID: head.SystemID}
	var err error
	if q.Members, err = unpackNodes(members); err != nil {
		return QuorumSet{}, err
	}
	if q.Incoming, err = unpackNodes(incoming); err != nil {
		return QuorumSet{}, err
	}
	if (q.Version == 0) != (len(q.Members) == 0) || q.Version == 0 && q.Joint() {
		return QuorumSet{}, fmt.Errorf("%w: version %d with %d members", errMalformedQuorumSet, q.Version, len(q.Members))
	}
	return q, nil
}

func packNodes(nodes []units.NodeID) []byte {
	items := make([][]byte, len(nodes))
	for i, n := range nodes {
		items[i] = message.Pack(nodeItem{uint64(n)})
	}
	return message.PackList(items)
}

func unpackNodes(packed []byte) ([]units.NodeID, error) {
	items, err := message.UnpackList(packed)
	if err != nil {
		return nil, err
	}
	var nodes []units.NodeID
	for _, item := range items {
		var decoded nodeItem
		if err := message.Unpack(item, &decoded); err != nil {
			return nil, err
		}
		n := units.NodeID(decoded.Node)
		if n == 0 || slices.Contains(nodes, n) {
			return nil, fmt.Errorf("%w: member %v is zero or a duplicate", errMalformedQuorumSet, n)
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
