package register

import (
	"bytes"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// bootstrapState is the state of the one-time bootstrap, in which uninitialized disks agree on the first quorum set
// (docs/design.md, section 2).
type bootstrapState struct {
	set           QuorumSet
	collectsVotes bool // this node requests and counts the votes
	votes         map[units.NodeID]bool
	sentAt        units.Time
}

// BootstrapFixed proposes the first quorum set from the uninitialized disks in view. It does nothing unless there are
// exactly size of them, including this one, and no running fleet is known.
func (b *Replica) BootstrapFixed(size int, view ControllerView) {
	if b.quorum.Version > 0 {
		return
	}
	if b.bootstrap == nil {
		b.bootstrap = &bootstrapState{}
	}
	boot := b.bootstrap
	nodes := slices.Clone(view.Uninitialized)
	slices.Sort(nodes)
	if view.FleetExists || len(nodes) != size || !slices.Contains(nodes, b.self) {
		boot.set = QuorumSet{}
		return
	}
	if !slices.Equal(nodes, boot.set.Members) {
		boot.set, boot.votes = bootstrapSet(nodes), map[units.NodeID]bool{}
	}
	boot.collectsVotes = nodes[0] == b.self
}

// BootstrapFromSeeds sets the first quorum set that this node would vote for (none if nodes is empty) and whether
// this node collects the votes. A disk that has voted keeps its vote, whatever nodes contains (docs/design.md,
// section 13).
func (b *Replica) BootstrapFromSeeds(nodes []units.NodeID, collectsVotes bool) {
	if b.quorum.Version > 0 {
		return
	}
	if b.bootstrap == nil {
		b.bootstrap = &bootstrapState{}
	}
	boot, set := b.bootstrap, QuorumSet{}
	if voted, err := UnpackQuorumSet(b.bootstrapVote); b.bootstrapVote != nil && err == nil {
		set, collectsVotes = voted, voted.Members[0] == b.self
	} else if len(nodes) > 0 {
		set = bootstrapSet(nodes)
	}
	if boot.collectsVotes = collectsVotes; !slices.Equal(set.Members, boot.set.Members) {
		boot.set, boot.votes = set, map[units.NodeID]bool{}
	}
}

func (b *Replica) tickBootstrap(now units.Time, out *message.Effects) {
	boot := b.bootstrap
	if boot == nil || boot.set.Version == 0 || !boot.collectsVotes || now.Sub(boot.sentAt) < 300*time.Millisecond {
		return
	}
	boot.sentAt = now
	for _, n := range boot.set.Members {
		if !boot.votes[n] {
			out.Send(n, BootstrapVoteRequest, b.pack(header{}, "", boot.set.Pack()))
		}
	}
}

// handleBootstrapVoteRequest votes for a proposed first set. An uninitialized disk votes for at most one set in its
// lifetime, and only for the one that its own node would bootstrap.
func (b *Replica) handleBootstrapVoteRequest(msg message.Message, body []byte, out *message.Effects) {
	if b.quorum.Version > 0 || b.bootstrap == nil || !b.bootstrap.set.Has(b.self) || !bytes.Equal(b.bootstrap.set.Pack(), body) {
		return
	}
	if b.bootstrapVote != nil && !bytes.Equal(b.bootstrapVote, body) {
		return
	}
	if b.bootstrapVote == nil {
		b.bootstrapVote = bytes.Clone(body)
		out.Writes = append(out.Writes, message.Record{Kind: RecordBootstrapVote, Data: b.bootstrapVote})
	}
	out.SendAfterSync(msg.From, BootstrapVote, b.pack(header{}, "", body))
}

// handleBootstrapVote counts a vote. The first set takes effect only when all its members have voted for it.
func (b *Replica) handleBootstrapVote(msg message.Message, body []byte, out *message.Effects) {
	boot := b.bootstrap
	if b.quorum.Version > 0 || boot == nil || boot.set.Version == 0 || !bytes.Equal(boot.set.Pack(), body) {
		return
	}
	boot.votes[msg.From] = true
	for _, member := range boot.set.Members {
		if !boot.votes[member] {
			return
		}
	}
	set := boot.set
	b.adoptQuorum(set, out) // cannot be refused: no other system is known before the first set
	for _, member := range set.Members {
		if member != b.self {
			out.SendAfterSync(member, Reply, b.pack(header{}, "", nil))
		}
	}
}
