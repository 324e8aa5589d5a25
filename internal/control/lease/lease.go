// Package lease assigns a duty to one node at a time, for a term that a majority of the voters grants
// (docs/design.md, section 5).
package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Kinds of lease messages.
const (
	VoteRequest = message.KindLease + iota
	Vote
	ReleaseVote
)

// Timing of leases. The holder counts a term from before it requests the votes, the voters count it from after they
// grant them. So clocks need not agree; they only need to run at similar rates.
const (
	Term            = 1200 * time.Millisecond
	renewInterval   = 300 * time.Millisecond
	clockRateMargin = 100 * time.Millisecond // by which the holder's term is shorter, for clocks of different rates
	yieldDuration   = 2 * time.Second        // how long a node that can't perform the duty leaves it to others
	roundTimeout    = 300 * time.Millisecond // a round that is not won by then is abandoned, and its votes are released
)

type header struct {
	Round uint64
	OK    uint8
}

// grant is the vote of this node.
type grant struct {
	candidate units.NodeID
	expiresAt units.Time
}

// Lease is the state machine of one node for one duty: it votes, and it can be a candidate.
type Lease struct {
	self           units.NodeID
	Duty           string
	Voters         func() []units.NodeID
	abstainSince   units.Time // the node abstains for a Term from then on: it may have cast a vote that it does not remember
	wasVoter       bool       // it was one of the voters when last checked
	grant          grant
	round          uint64
	roundStartedAt units.Time
	votes          map[units.NodeID]bool
	heldUntil      units.Time // until when this node holds the lease
	nextRoundAt    units.Time
	rng            *rand.Rand
	RoundsWon      int                         // number of times that this node acquired the lease, for the status
	lentUntil      map[units.NodeID]units.Time // until when each voter leaves its share of the duty's rate to this node
	seatExpiry     units.Time                  // until when this node certainly has its voting seat; zero: without limit
}

// New returns the state machine of a node that remembers no vote. The node abstains for a term, since it may have
// voted before it started.
func New(self units.NodeID, duty string, voters func() []units.NodeID, now units.Time, rng *rand.Rand) *Lease {
	return &Lease{
		self: self, Duty: duty, Voters: voters, wasVoter: slices.Contains(voters(), self), abstainSince: now, rng: rng,
		nextRoundAt: now.Add(Term), lentUntil: map[units.NodeID]units.Time{},
	}
}

// Holds reports whether this node holds the lease now.
func (b *Lease) Holds(now units.Time) bool { return now < b.heldUntil }

// Holder returns the node that this node has voted for, or zero if the vote has expired.
func (b *Lease) Holder(now units.Time) units.NodeID {
	if now < b.grant.expiresAt {
		return b.grant.candidate
	}
	return 0
}

// abandonRound releases the votes of a lost round and ignores any that arrive later. Without this, two candidates
// with half the votes each would renew them for ever.
func (b *Lease) abandonRound(now units.Time, out *message.Effects) {
	for _, n := range b.Voters() {
		out.Send(n, ReleaseVote, message.Pack(header{Round: b.round}, []byte(b.Duty)))
	}
	b.round++
	b.votes = nil
	clear(b.lentUntil)
	b.nextRoundAt = now.Add(time.Duration(b.rng.Int64N(int64(renewInterval))))
}

// updateVoterStatus detects that this node has become a voter. It then abstains for a term, as after a start: until
// then a lease may be held that was granted by a majority of the voters without it.
func (b *Lease) updateVoterStatus(now units.Time) {
	isVoter := slices.Contains(b.Voters(), b.self)
	if isVoter && !b.wasVoter {
		b.abstainSince = max(b.abstainSince, now)
	}
	b.wasVoter = isVoter
}

// Tick requests votes for the lease if it is vacant, and renews it if this node holds it. A draining node is not a
// candidate.
func (b *Lease) Tick(now units.Time, candidate bool) (out message.Effects) {
	b.updateVoterStatus(now)
	if b.votes != nil && !b.Holds(now) && now.Sub(b.roundStartedAt) >= roundTimeout {
		b.abandonRound(now, &out)
	}
	if !candidate || now < b.nextRoundAt {
		return out
	}
	if !b.Holds(now) && now < b.grant.expiresAt && b.grant.candidate != b.self {
		return out
	}
	b.nextRoundAt = now.Add(renewInterval)
	b.round++
	b.roundStartedAt, b.votes = now, map[units.NodeID]bool{}
	for _, n := range b.Voters() {
		out.Send(n, VoteRequest, message.Pack(header{Round: b.round}, []byte(b.Duty)))
	}
	return out
}

// Step processes one message. Messages for another duty are ignored.
func (b *Lease) Step(now units.Time, msg message.Message) (out message.Effects) {
	var h header
	var duty []byte
	if err := message.Unpack(msg.Body, &h, &duty); err != nil {
		out.AddError(err)
		return out
	}
	if string(duty) != b.Duty {
		return out
	}
	switch msg.Kind {
	case VoteRequest:
		b.updateVoterStatus(now)
		ok := now >= b.abstainSince.Add(Term) && (now >= b.grant.expiresAt || b.grant.candidate == msg.From)
		reply := header{Round: h.Round}
		if ok {
			b.grant = grant{msg.From, now.Add(Term)}
			reply.OK = 1
		}
		out.Send(msg.From, Vote, message.Pack(reply, duty))
	case ReleaseVote:
		if b.grant.candidate == msg.From {
			b.grant.expiresAt = min(b.grant.expiresAt, now)
		}
	case Vote:
		if b.votes == nil || h.Round != b.round || h.OK == 0 {
			return out
		}
		b.votes[msg.From] = true
		b.lentUntil[msg.From] = b.roundStartedAt.Add(Term - clockRateMargin)
		voteCount, voters := 0, b.Voters()
		for _, v := range voters {
			if b.votes[v] {
				voteCount++
			}
		}
		if voteCount > len(voters)/2 {
			if !b.Holds(now) {
				b.RoundsWon++
			}
			b.heldUntil = max(b.heldUntil, b.roundStartedAt.Add(Term-clockRateMargin))
		}
	}
	return out
}

// SetSeatExpiry sets until when this node certainly has its voting seat; zero means without limit. A partitioned
// voter can't know when another node takes its seat, and its share with it.
func (b *Lease) SetSeatExpiry(expiry units.Time) { b.seatExpiry = expiry }

// HolderStopped frees this node's vote for a holder whose process is known to have ended.
func (b *Lease) HolderStopped(now units.Time, holder units.NodeID) {
	if b.grant.candidate == holder {
		b.grant.expiresAt = min(b.grant.expiresAt, now)
	}
}

// Resign gives up the lease.
func (b *Lease) Resign() { b.heldUntil = 0 }

// Yield gives up the lease for yieldDuration, because this node can't do the holder's work now, and releases its votes at
// once.
func (b *Lease) Yield(now units.Time) (out message.Effects) {
	b.heldUntil = 0
	b.abandonRound(now, &out)
	b.nextRoundAt = now.Add(yieldDuration)
	return out
}

// Share returns this node's fraction of a rate that all voters share: its own share, unless it has voted for another
// node, and the shares of the nodes that voted for it, which leave theirs unused while their votes are valid. So the
// fractions never add up to more than one, however the voters are partitioned (docs/design.md, section 5).
func (b *Lease) Share(now units.Time) float64 {
	voters := b.Voters()
	backsAnother := now < b.grant.expiresAt && b.grant.candidate != b.self
	seatPassed := b.seatExpiry != 0 && now >= b.seatExpiry
	if !slices.Contains(voters, b.self) || now < b.abstainSince.Add(Term) || backsAnother || seatPassed {
		return 0
	}
	shares := 1
	for _, v := range voters {
		if v != b.self && now < b.lentUntil[v] {
			shares++
		}
	}
	return float64(shares) / float64(len(voters))
}
