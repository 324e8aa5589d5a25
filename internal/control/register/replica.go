// Package register stores the replicated control state. Each key has one owner at a time, under a rising epoch
// (docs/design.md, section 2).
package register

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// ChosenValue is a value that a majority has accepted, to be pushed to all nodes.
type ChosenValue struct {
	Key     string
	Version units.Version
	Data    []byte
}

// resendInterval is the delay before unanswered messages are sent again.
const resendInterval = 300 * time.Millisecond

// idleConfirmInterval is how long an owner may send no requests to the voters before it confirms its epoch. Another node
// may have raised the epoch and then disappeared. In that case this node acquires the key again, which also lets repair bring
// all copies to one epoch (docs/design.md, section 2).
const idleConfirmInterval = 3 * time.Second

// Replica is the state machine of one node: acceptor, owner of keys, and forwarder of requests to other owners.
type Replica struct {
	self            units.NodeID
	runID           units.NodeID // random id of this process start, so that no epoch is ever used twice
	quorum          QuorumSet
	states          map[string]*State
	ownerships      map[string]*ownership
	pendingRequests map[uint64]*pendingRequest
	eligible        []units.NodeID // live controllers that may own keys, according to membership
	draining        []units.NodeID // controllers that are draining; they own keys only if no eligible controller can
	highestEpoch    uint64
	lastTag         uint64
	bootstrapVote   []byte
	bootstrap       *bootstrapState
	Chosen          []ChosenValue
	Results         []Result
	targetMembers   []units.NodeID // requested members of the quorum set; none: keep the current ones
	keyTransfer     *keyTransfer
	reachability    reachability
}

// New returns the replica of the node self, whose id is stored on its disk. runID is a random id of this process start.
func New(self, runID units.NodeID) *Replica {
	return &Replica{
		self: self, runID: runID, states: map[string]*State{KeyQuorum: {}}, ownerships: map[string]*ownership{},
		pendingRequests: map[uint64]*pendingRequest{}, reachability: reachability{lastPong: map[units.NodeID]units.Time{}},
	}
}

// Quorum returns the newest quorum set that this node has adopted; its version is 0 before bootstrap.
func (b *Replica) Quorum() QuorumSet { return b.quorum }

// SetEligible sets the nodes that may own keys according to membership: the eligible ones or, if none of those is a
// member of the quorum set, the draining ones.
func (b *Replica) SetEligible(eligible []units.NodeID, draining ...units.NodeID) {
	b.eligible, b.draining = eligible, draining
}

// Owner returns the node that should own a key. All nodes with the same view return the same one.
func (b *Replica) Owner(key string) units.NodeID {
	if n := b.highestHashMember(key, b.eligible); n != 0 {
		return n
	}
	return b.highestHashMember(key, b.draining) // no eligible controller could take the key over
}

// highestHashMember returns the node with the highest hash for the key among those given that are members of the
// quorum set, or zero if none is a member (rendezvous hashing).
func (b *Replica) highestHashMember(key string, nodes []units.NodeID) units.NodeID {
	var best units.NodeID
	var highestHash uint64
	for _, n := range nodes {
		if !b.quorum.Has(n) {
			continue
		}
		if hash := units.Mix(key, n.String()); best == 0 || hash > highestHash {
			best, highestHash = n, hash
		}
	}
	return best
}

func (b *Replica) pack(h header, key string, body []byte) []byte {
	return message.Pack(h, b.quorum.Pack(), []byte(key), body)
}

// Step processes one message.
func (b *Replica) Step(now units.Time, msg message.Message) (out message.Effects) {
	if msg.Kind == Ping || msg.Kind == Pong {
		b.handlePing(now, msg, &out)
		return out
	}
	var h header
	var packedQuorum, packedKey, body []byte
	if err := message.Unpack(msg.Body, &h, &packedQuorum, &packedKey, &body); err != nil {
		out.AddError(err)
		return out
	}
	set, err := UnpackQuorumSet(packedQuorum)
	if err != nil {
		out.AddError(err)
		return out
	}
	if !b.adoptQuorum(set, &out) {
		return out
	}
	if b.quorum.Has(msg.From) { // a non-member must not raise the epoch: it could exhaust the members' epochs
		b.highestEpoch = max(b.highestEpoch, h.EpochNumber, h.HigherNumber)
	}
	key := string(packedKey)
	switch msg.Kind {
	case Prepare, Accept, Confirm:
		b.handleVoterRequest(msg, h, key, set.Version, body, &out)
	case Promise, Accepted, Confirmed, Stale:
		if o := b.ownerships[key]; o != nil {
			b.handleVote(now, o, msg, h, body, &out)
		}
	case Forward:
		b.handleForward(now, msg, h, key, body, &out)
	case Reply:
		b.handleReply(now, h, key, set.Version, body, &out)
	case ListKeys:
		b.handleListKeys(msg, &out)
	case KeyList:
		if b.quorum.Has(msg.From) {
			b.handleKeyList(now, msg, set.Version, body, &out)
		}
	case BootstrapVoteRequest:
		b.handleBootstrapVoteRequest(msg, body, &out)
	case BootstrapVote:
		b.handleBootstrapVote(msg, body, &out)
	}
	return out
}

// Tick acquires the keys that this node should own, releases those that it should not, and resends unanswered
// messages.
func (b *Replica) Tick(now units.Time) (out message.Effects) {
	if b.quorum.Version == 0 {
		b.tickBootstrap(now, &out)
		return out
	}
	b.tickReachability(now, &out)
	for key := range b.states {
		if b.ownerships[key] == nil && b.Owner(key) == b.self {
			b.ensureOwnership(key)
		}
	}
	for _, o := range b.sortedOwnerships() {
		if b.Owner(o.key) != b.self {
			if o.proposalRequest != nil {
				b.reply(*o.proposalRequest, resultcode.CommitUnknown, 0, nil, &out)
			}
			for _, request := range o.queue {
				b.reply(request, resultcode.CommitUnknown, 0, nil, &out)
			}
			delete(b.ownerships, o.key)
			continue
		}
		if o.phase == holding && now.Sub(o.sentAt) >= idleConfirmInterval {
			// A read without a client confirms that this node still owns the key.
			o.queue = append(o.queue, Request{From: b.self, Key: o.key})
			b.advance(now, o, &out)
			continue
		}
		if o.phase != holding && now.Sub(o.sentAt) >= resendInterval || o.phase == unacquired {
			b.advance(now, o, &out)
		}
	}
	b.tickRequests(now, &out)
	b.tickMemberChange(now, &out)
	return out
}

func (b *Replica) sortedOwnerships() []*ownership {
	list := make([]*ownership, 0, len(b.ownerships))
	for _, o := range b.ownerships {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y *ownership) int {
		if x.key < y.key {
			return -1
		}
		return 1
	})
	return list
}

func (b *Replica) ensureOwnership(key string) *ownership {
	o := b.ownerships[key]
	if o == nil {
		o = &ownership{key: key}
		b.ownerships[key] = o
	}
	return o
}

func (b *Replica) handleForward(now units.Time, msg message.Message, h header, key string, body []byte, out *message.Effects) {
	request := Request{
		Tag: h.Tag, From: msg.From, Key: key, Write: h.Operation != opRead, Lookup: h.Operation == opLookup,
		ExpectedVersion: units.Version(h.Version),
	}
	var requestID []byte
	if err := message.Unpack(body, &struct{}{}, &requestID, &request.Data); err != nil {
		out.AddError(err)
		return
	}
	request.RequestID = string(requestID)
	if b.Owner(key) != b.self {
		b.reply(request, resultcode.NoMajority, 0, nil, out)
		return
	}
	o := b.ensureOwnership(key)
	if len(o.queue) >= 256 {
		b.reply(request, resultcode.NoMajority, 0, nil, out)
		return
	}
	o.queue = append(o.queue, request)
	if o.phase == holding || o.phase == unacquired {
		b.advance(now, o, out)
	}
}

func (b *Replica) reply(request Request, code resultcode.Code, version units.Version, data []byte, out *message.Effects) {
	out.Send(request.From, Reply, b.pack(header{Tag: request.Tag, Code: uint16(code), Version: uint64(version)}, request.Key, data))
}
