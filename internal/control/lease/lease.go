// Package lease gives a duty to one node at a time, by the votes of a majority for a term (design 5).
package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The messages of leases.
const (
	VoteRequest = message.KindLease + iota
	Vote
	ReleaseVote
)

// Spans (start values). A term is counted from before the asking by the holder and from after it by the
// voters, so that clocks need only run at like rates.
const (
	Term     = 1200 * time.Millisecond
	renew    = 300 * time.Millisecond
	slack    = 100 * time.Millisecond
	yieldFor = 2 * time.Second        // how long one that can't do the duty's work leaves it to others
	count    = 300 * time.Millisecond // a round not won by then is lost, and its votes are given back
)

type head struct {
	Round uint64
	Ok    uint8
}

type grant struct {
	to    units.NodeID
	until units.Time
}

// Lease is the step machine for one duty.
type Lease struct {
	self      units.NodeID
	Duty      string
	Voters    func() []units.NodeID
	born      units.Time // since when this node may have voted for somebody it doesn't remember
	voter     bool       // it was one of the voters when last asked
	grant     grant
	round     uint64
	sent      units.Time
	got       map[units.NodeID]bool
	until     units.Time // till then the duty is ours
	next      units.Time
	rng       *rand.Rand
	RoundsWon int                         // rounds won, for status
	lent      map[units.NodeID]units.Time // till when each voter leaves its share of the duty's work to us
	seat      units.Time                  // till when this node's own share is surely nobody else's; zero: without end
}

// New gives a node that has voted for nobody; it abstains for a term, since it may have voted before it started.
func New(self units.NodeID, duty string, voters func() []units.NodeID, now units.Time, rng *rand.Rand) *Lease {
	return &Lease{self: self, Duty: duty, Voters: voters, voter: slices.Contains(voters(), self), born: now, rng: rng, next: now.Add(Term), lent: map[units.NodeID]units.Time{}}
}

// Holds says whether the duty is ours now.
func (b *Lease) Holds(now units.Time) bool { return now < b.until }

// Holder names whom this node has voted for.
func (b *Lease) Holder(now units.Time) units.NodeID {
	if now < b.grant.until {
		return b.grant.to
	}
	return 0
}

// lost gives the votes of a lost round back; a late vote for it counts no more. Without this, two candidates
// with half the votes each would renew them for ever.
func (b *Lease) lost(now units.Time, out *message.Effects) {
	for _, n := range b.Voters() {
		out.Send(n, ReleaseVote, message.Pack(head{Round: b.round}, []byte(b.Duty)))
	}
	b.round++
	b.got = nil
	clear(b.lent)
	b.next = now.Add(time.Duration(b.rng.Int64N(int64(renew))))
}

// joined notes when this node becomes a voter. It abstains for a term, as after a start: until then a lease may stand that
// a majority of the voters without it has granted.
func (b *Lease) joined(now units.Time) {
	voter := slices.Contains(b.Voters(), b.self)
	if voter && !b.voter {
		b.born = max(b.born, now)
	}
	b.voter = voter
}

// Tick stands for the duty when it is vacant, and renews it when it is ours. A node that leaves does not stand.
func (b *Lease) Tick(now units.Time, stand bool) (out message.Effects) {
	b.joined(now)
	if b.got != nil && !b.Holds(now) && now.Sub(b.sent) >= count {
		b.lost(now, &out)
	}
	if !stand || now < b.next {
		return out
	}
	if !b.Holds(now) && now < b.grant.until && b.grant.to != b.self {
		return out
	}
	b.next = now.Add(renew)
	b.round++
	b.sent, b.got = now, map[units.NodeID]bool{}
	for _, n := range b.Voters() {
		out.Send(n, VoteRequest, message.Pack(head{Round: b.round}, []byte(b.Duty)))
	}
	return out
}

// Step takes one note; the note's duty must be this one.
func (b *Lease) Step(now units.Time, n message.Message) (out message.Effects) {
	var h head
	var duty []byte
	if err := message.Unpack(n.Body, &h, &duty); err != nil {
		out.AddError(err)
		return out
	}
	if string(duty) != b.Duty {
		return out
	}
	switch n.Kind {
	case VoteRequest:
		b.joined(now)
		ok := now >= b.born.Add(Term) && (now >= b.grant.until || b.grant.to == n.From)
		r := head{Round: h.Round}
		if ok {
			b.grant = grant{n.From, now.Add(Term)}
			r.Ok = 1
		}
		out.Send(n.From, Vote, message.Pack(r, duty))
	case ReleaseVote:
		if b.grant.to == n.From {
			b.grant.until = min(b.grant.until, now)
		}
	case Vote:
		if b.got == nil || h.Round != b.round || h.Ok == 0 {
			return out
		}
		b.got[n.From] = true
		b.lent[n.From] = b.sent.Add(Term - slack)
		k, vs := 0, b.Voters()
		for _, v := range vs {
			if b.got[v] {
				k++
			}
		}
		if k > len(vs)/2 {
			if !b.Holds(now) {
				b.RoundsWon++
			}
			b.until = max(b.until, b.sent.Add(Term-slack))
		}
	}
	return out
}

// SetSeatExpiry says till when this node's seat among the voters is surely its own; zero: without end. A voter that is cut off
// can't know when another takes its seat, and with it its share.
func (b *Lease) SetSeatExpiry(until units.Time) { b.seat = until }

// HolderStopped frees the vote for a holder whose process is known to have ended.
func (b *Lease) HolderStopped(now units.Time, n units.NodeID) {
	if b.grant.to == n {
		b.grant.until = min(b.grant.until, now)
	}
}

// Resign gives the duty up.
func (b *Lease) Resign() { b.until = 0 }

// Yield gives the duty up for a while, since this node can't do it now; its votes go back at once.
func (b *Lease) Yield(now units.Time) (out message.Effects) {
	b.until = 0
	b.lost(now, &out)
	b.next = now.Add(yieldFor)
	return out
}

// Share is this node's part of a rate that all voters share: its own, unless it backs somebody else, and those of all
// whose votes it has, who leave theirs unused as long as their votes stand. So the parts never add up to more than
// one, however the voters are cut off from each other (design 5).
func (b *Lease) Share(now units.Time) float64 {
	vs := b.Voters()
	backsAnother := now < b.grant.until && b.grant.to != b.self
	seatPassed := b.seat != 0 && now >= b.seat
	if !slices.Contains(vs, b.self) || now < b.born.Add(Term) || backsAnother || seatPassed {
		return 0
	}
	k := 1
	for _, v := range vs {
		if v != b.self && now < b.lent[v] {
			k++
		}
	}
	return float64(k) / float64(len(vs))
}
