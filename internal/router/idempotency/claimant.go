// Package idempotency shelters what may not repeat: a caller's key is claimed at a majority of three routers before
// the prompt is handed over (design 8).
package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// The notes of claims.
const (
	Claim = message.KindClaim + iota
	ClaimReply
	Spend
	CopyRequest
	CopyReply
)

// What a holder says of a key.
const (
	granted uint8 = 1 + iota
	taken
	spent
	abstained
)

// Spans (start values).
const (
	retryInterval   = 150 * time.Millisecond
	claimTimeout    = 450 * time.Millisecond
	Retention       = 10 * time.Minute // how long a key is remembered
	holderCount     = 3
	votersTimeout   = 200 * time.Millisecond // how long a claim that the routers granted waits for the disks
	votersBackoff   = 2 * time.Second        // how long they are not waited for after that
	propagationTime = 2 * time.Second        // till all nodes know of a new machine, and so agree on a key's holders
)

type header struct {
	Token         uint64
	VotersVersion uint64 // the set of voters that the sender knows; none between routers
	State         uint8
}

type entry struct {
	token     uint64
	spent     bool
	updatedAt units.Time
}

type pendingClaim struct {
	key              string
	holders          []units.NodeID
	voters           register.QuorumSet
	grantedBy        map[units.NodeID]bool
	startedAt        units.Time
	holdersGrantedAt units.Time // when a majority of the holders had granted
	sentAt           units.Time
}

// Result of a claim: OK, Claimed, Burned or NoClaim.
type Result struct {
	Token   uint64
	Code    resultcode.Code
	Durable bool // on a majority of the core's disks too
}

type copyStatus struct {
	complete      bool
	votersVersion units.Version
}

// Claimant is the step machine: holder of others' claims and claimant of its own callers'.
type Claimant struct {
	self               units.NodeID
	startedAt          units.Time
	keys               map[string]entry
	pending            map[uint64]*pendingClaim
	notDurable         map[uint64]*pendingClaim // granted by the routers alone; the disks are told as soon as they can be
	voters             register.QuorumSet
	skipVotersUntil    units.Time // till then the disks are not waited for
	copies             map[units.NodeID]copyStatus
	complete           bool
	copiesRequestedAt  units.Time
	partialRequestedAt units.Time
	sweptAt            units.Time
	Results            []Result
}

// New gives a node that remembers nothing and so abstains.
func New(self units.NodeID, now units.Time) *Claimant {
	return &Claimant{self: self, startedAt: now, keys: map[string]entry{}, pending: map[uint64]*pendingClaim{}, notDurable: map[uint64]*pendingClaim{}, copies: map[units.NodeID]copyStatus{}}
}

// SetVoters sets the voters, whose disks keep claims beyond the loss of all memory.
func (s *Claimant) SetVoters(v register.QuorumSet) { s.voters = v }

// Tick asks again, gives up, forgets old keys, and copies what others remember after a start.
func (s *Claimant) Tick(now units.Time, peers []units.NodeID, maxRequestTime time.Duration) (out message.Effects) {
	for _, token := range message.SortedKeys(s.pending) {
		p := s.pending[token]
		switch {
		case p.holdersGrantedAt != 0:
			s.finishIfDurable(now, token, p)
		case now.Sub(p.startedAt) >= claimTimeout:
			s.finish(token, resultcode.ClaimFailed, false) // nothing is burned: another copy may hold the key and run
		case now.Sub(p.sentAt) >= retryInterval:
			s.sendClaims(now, token, p, &out)
		}
	}
	s.resendToVoters(now, &out)
	if now.Sub(s.sweptAt) > time.Second {
		s.sweptAt = now
		for k, e := range s.keys {
			if now.Sub(e.updatedAt) > Retention {
				delete(s.keys, k)
			}
		}
	}
	if s.complete || maxRequestTime == 0 {
		return out
	}
	s.complete = s.recoverKeys(now, peers, &out) || now.Sub(s.startedAt) > max(maxRequestTime, propagationTime)
	return out
}

// Complete says whether this node takes part in claims.
func (s *Claimant) Complete() bool { return s.complete }

// Step takes one note.
func (s *Claimant) Step(now units.Time, msg message.Message) (out message.Effects) {
	var h header
	var key []byte
	switch msg.Kind {
	case CopyRequest:
		out.Send(msg.From, CopyReply, encodeCopy(s.keys, s.complete, 0))
		return out
	case CopyReply:
		out.AddError(s.mergeCopy(now, msg))
		return out
	}
	if err := message.Unpack(msg.Body, &h, &key); err != nil {
		out.AddError(err)
		return out
	}
	switch msg.Kind {
	case Claim:
		h.State = s.grant(now, h.Token, string(key))
		out.Send(msg.From, ClaimReply, message.Pack(h, key))
	case Spend:
		e := s.keys[string(key)]
		e.spent, e.updatedAt = true, now
		s.keys[string(key)] = e
	case ClaimReply:
		s.handleReply(now, msg.From, h)
	}
	return out
}

func (s *Claimant) grant(now units.Time, token uint64, key string) uint8 {
	e, ok := s.keys[key]
	switch {
	case ok && e.spent:
		return spent
	case ok && e.token != token:
		return taken
	case !ok && !s.complete:
		return abstained
	}
	s.keys[key] = entry{token: token, updatedAt: now}
	return granted
}
