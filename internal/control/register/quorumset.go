package register

import (
	"errors"
	"fmt"
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// QuorumSet names the replicas whose disks decide, and numbers each change of them. While Incoming is not empty the set
// is joint: it is on its way from Members to Incoming, and every decision needs a majority of both.
type QuorumSet struct {
	Version  units.Version
	SystemID uint64 // told apart by their founders; zero before the first set stands
	Members  []units.NodeID
	Incoming []units.NodeID
}

// errBadQuorumSet is a set that no replica of this system ever wrote.
var errBadQuorumSet = errors.New("register: malformed quorum set")

type quorumSetHead struct{ Version, System uint64 }

type nodeItem struct{ Node uint64 }

// foundingSet gives the first set of a system. Its random disk ids tell the system from any other.
func foundingSet(members []units.NodeID) QuorumSet {
	names := make([]string, len(members))
	for i, n := range members {
		names[i] = n.String()
	}
	return QuorumSet{Version: 1, SystemID: units.Mix(names...), Members: members}
}

// joint gives the set in which both the present and the wanted members decide.
func (q QuorumSet) joint(incoming []units.NodeID) QuorumSet {
	return QuorumSet{Version: q.Version + 1, SystemID: q.SystemID, Members: q.Members, Incoming: incoming}
}

// completed gives the set that ends a joint one.
func (q QuorumSet) completed() QuorumSet {
	return QuorumSet{Version: q.Version + 1, SystemID: q.SystemID, Members: q.Incoming}
}

// Joint says whether the set is on its way to another.
func (q QuorumSet) Joint() bool { return len(q.Incoming) > 0 }

// All lists every replica of the set, those that are coming in too.
func (q QuorumSet) All() []units.NodeID {
	all := slices.Clone(q.Members)
	for _, n := range q.Incoming {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// Has says whether n decides with others.
func (q QuorumSet) Has(n units.NodeID) bool {
	return slices.Contains(q.Members, n) || slices.Contains(q.Incoming, n)
}

// HasMajority says whether got can decide: it holds a majority of the members and, in a joint set, of the incoming ones.
func (q QuorumSet) HasMajority(got map[units.NodeID]bool) bool {
	return majority(q.Members, got) && (!q.Joint() || majority(q.Incoming, got))
}

func majority(members []units.NodeID, got map[units.NodeID]bool) bool {
	count := 0
	for _, n := range members {
		if got[n] {
			count++
		}
	}
	return count > len(members)/2
}

// Pack lays the set out for messages and the disk.
func (q QuorumSet) Pack() []byte {
	head := quorumSetHead{uint64(q.Version), q.SystemID}
	return message.Pack(head, packNodes(q.Members), packNodes(q.Incoming))
}

// UnpackQuorumSet is the inverse of Pack; a set that no replica writes is an error.
func UnpackQuorumSet(b []byte) (QuorumSet, error) {
	var head quorumSetHead
	var members, incoming []byte
	if err := message.Unpack(b, &head, &members, &incoming); err != nil {
		return QuorumSet{}, err
	}
	q := QuorumSet{Version: units.Version(head.Version), SystemID: head.System}
	var err error
	if q.Members, err = unpackNodes(members); err != nil {
		return QuorumSet{}, err
	}
	if q.Incoming, err = unpackNodes(incoming); err != nil {
		return QuorumSet{}, err
	}
	if (q.Version == 0) != (len(q.Members) == 0) || q.Version == 0 && q.Joint() {
		return QuorumSet{}, fmt.Errorf("%w: version %d with %d members", errBadQuorumSet, q.Version, len(q.Members))
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

func unpackNodes(b []byte) ([]units.NodeID, error) {
	items, err := message.UnpackList(b)
	if err != nil {
		return nil, err
	}
	var nodes []units.NodeID
	for _, item := range items {
		var x nodeItem
		if err := message.Unpack(item, &x); err != nil {
			return nil, err
		}
		n := units.NodeID(x.Node)
		if n == 0 || slices.Contains(nodes, n) {
			return nil, fmt.Errorf("%w: member %v is none or twice in it", errBadQuorumSet, n)
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
