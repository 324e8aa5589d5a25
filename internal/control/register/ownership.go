package register

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// phase is the progress of an owner's acquisition or of its current operation.
type phase uint8

const (
	unacquired phase = iota
	preparing
	writing // writes an adopted value again, or a new one
	confirming
	holding
)

// ownership is this node's ownership of one key.
type ownership struct {
	key             string
	phase           phase
	epoch           units.Epoch
	acks            map[units.NodeID]bool
	current         State    // newest accepted value found while preparing; after that, the chosen value
	proposal        State    // the value being written
	proposalRequest *Request // the request that proposal belongs to; nil for an adopted value
	queue           []Request
	confirmTag      uint64
	sentAt          units.Time
	acquired        bool // has completed an acquisition in this epoch
}

// reset returns the ownership to the start, after a higher epoch or another quorum set was found.
func (o *ownership) reset() {
	o.phase, o.acquired = unacquired, false
}

// advance sends the current phase's messages to the voters that have not replied, or starts the next operation.
func (b *Replica) advance(now units.Time, o *ownership, out *message.Effects) {
	o.sentAt = now
	switch o.phase {
	case unacquired:
		if o.proposalRequest != nil {
			// It is unknown whether the write was chosen; the client finds out by resending the request.
			b.reply(*o.proposalRequest, resultcode.CommitUnknown, 0, nil, out)
			o.proposalRequest = nil
		}
		b.highestEpoch = max(b.highestEpoch, b.state(o.key).Promised.Number) + 1
		o.epoch = units.Epoch{Number: b.highestEpoch, Node: b.runID}
		o.phase, o.acks, o.current = preparing, map[units.NodeID]bool{}, State{}
		b.broadcast(o, Prepare, header{}, nil, out)
	case preparing:
		b.broadcast(o, Prepare, header{}, nil, out)
	case writing:
		b.broadcast(o, Accept, header{Seq: o.proposal.Seq, Version: uint64(o.proposal.Version)}, o.proposal.Body, out)
	case confirming:
		b.broadcast(o, Confirm, header{Tag: o.confirmTag}, nil, out)
	case holding:
		b.serveNext(now, o, out)
	}
}

func (b *Replica) broadcast(o *ownership, kind message.Kind, h header, body []byte, out *message.Effects) {
	h.EpochNumber, h.EpochNode = o.epoch.Number, uint64(o.epoch.Node)
	for _, n := range b.targets(o) {
		if !o.acks[n] {
			out.Send(n, kind, b.pack(h, o.key, body))
		}
	}
}

// targets returns the replicas of the quorum set and, while a new set is being written, those of the new set as well.
func (b *Replica) targets(o *ownership) []units.NodeID {
	nodes := b.quorum.All()
	if next, ok := b.pendingQuorum(o); ok {
		for _, n := range next.All() {
			if !slices.Contains(nodes, n) {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes
}

// pendingQuorum returns the next quorum set if o is writing one.
func (b *Replica) pendingQuorum(o *ownership) (QuorumSet, bool) {
	if o.key != KeyQuorum || o.phase != writing || o.proposal.Version <= b.quorum.Version {
		return QuorumSet{}, false
	}
	set, err := UnpackQuorumSet(Data(o.proposal.Body))
	set.Version = o.proposal.Version
	return set, err == nil
}

func (b *Replica) hasMajority(o *ownership) bool {
	if !b.quorum.HasMajority(o.acks) {
		return false
	}
	next, ok := b.pendingQuorum(o)
	return !ok || next.HasMajority(o.acks)
}

// handleVote processes a voter's reply.
func (b *Replica) handleVote(now units.Time, o *ownership, msg message.Message, h header, body []byte, out *message.Effects) {
	if o.phase == holding {
		if h.OK == 0 && o.epoch.Less(h.higher()) && msg.Kind != Stale {
			o.reset() // a member promised a higher epoch: it refuses copies of this one, so repair could never update it
		}
		return
	}
	if h.epoch() != o.epoch || o.phase == unacquired {
		return
	}
	if !slices.Contains(b.targets(o), msg.From) {
		out.AddError(errNotMember)
		return
	}
	if msg.Kind == Stale {
		return // the message carried the newer set, if there is one; a pending set is waited for
	}
	if h.OK == 0 {
		o.reset() // fenced by a higher epoch; the next tick starts again if this node still owns the key
		return
	}
	switch msg.Kind {
	case Promise:
		if o.phase != preparing {
			return
		}
		if err := checkBody(o.key, units.Version(h.Version), body); err != nil {
			out.AddError(err) // the promise must not count, since its accepted value would be lost
			return
		}
		accepted := State{Accepted: h.higher(), Seq: h.Seq, Version: units.Version(h.Version), Body: body}
		if accepted.newer(&o.current) {
			o.current = accepted
		}
	case Accepted:
		if o.phase != writing || h.Seq != o.proposal.Seq {
			return
		}
	case Confirmed:
		if o.phase != confirming || h.Tag != o.confirmTag {
			return
		}
	}
	o.acks[msg.From] = true
	if b.hasMajority(o) {
		b.majorityReached(now, o, out)
	}
}

// majorityReached starts the next phase after a majority has replied.
func (b *Replica) majorityReached(now units.Time, o *ownership, out *message.Effects) {
	switch o.phase {
	case preparing:
		// The value found is written again under the new epoch before any request is answered.
		value := State{Seq: 1, Version: o.current.Version, Body: o.current.Body}
		if o.key == KeyQuorum && value.Version < b.quorum.Version {
			value.Version, value.Body = b.quorum.Version, packBody(nil, b.quorum.Pack()) // the bootstrap set, or one learned since
		}
		b.propose(now, o, value, nil, out)
	case writing:
		b.valueChosen(now, o, out)
	case confirming:
		o.phase = holding
		if request := o.queue[0]; !request.Write {
			o.queue = o.queue[1:]
			b.reply(request, resultcode.OK, o.current.Version, Data(o.current.Body), out)
		} // a write stays queued: the round only confirmed that this node still owns the key
		b.advance(now, o, out)
	}
}

func (b *Replica) propose(now units.Time, o *ownership, value State, request *Request, out *message.Effects) {
	o.phase, o.proposal, o.proposalRequest, o.acks = writing, value, request, map[units.NodeID]bool{}
	b.advance(now, o, out)
}

func (b *Replica) valueChosen(now units.Time, o *ownership, out *message.Effects) {
	nextQuorum, changed := b.pendingQuorum(o)
	o.current, o.phase, o.acquired = o.proposal, holding, true
	request := o.proposalRequest
	o.proposalRequest = nil
	if changed {
		b.adoptQuorum(nextQuorum, out) // resets every ownership, including this one: all are acquired again under the new set
		for _, n := range b.eligible {
			out.Send(n, Reply, b.pack(header{}, "", nil)) // carries the new set
		}
	}
	if o.current.Version > 0 {
		b.Chosen = append(b.Chosen, ChosenValue{Key: o.key, Version: o.current.Version, Data: Data(o.current.Body)})
	}
	if request != nil {
		b.reply(*request, resultcode.OK, o.current.Version, nil, out)
	}
	if o.phase == holding {
		b.serveNext(now, o, out)
	}
}
