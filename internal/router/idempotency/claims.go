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
	burned
	abstain
)

// Spans (start values).
const (
	again     = 150 * time.Millisecond
	giveUp    = 450 * time.Millisecond
	Retention = 10 * time.Minute // how long a key is remembered
	slots     = 3
	coreWait  = 200 * time.Millisecond // how long a claim that the routers granted waits for the disks
	awayFor   = 2 * time.Second        // how long they are not waited for after that
	settle    = 2 * time.Second        // till all nodes know of a new machine, and so agree on a key's holders
)

type head struct {
	Token uint64
	Ver   uint64 // the set of voters that the sender knows; none between routers
	State uint8
}

type entry struct {
	token uint64
	burnt bool
	at    units.Time
}

type pending struct {
	key     string
	holders []units.NodeID
	core    register.QuorumSet
	got     map[units.NodeID]bool
	since   units.Time
	held    units.Time // when a majority of the holders had granted
	sent    units.Time
}

// Result of a claim: OK, Claimed, Burned or NoClaim.
type Result struct {
	Token   uint64
	Code    resultcode.Code
	Durable bool // on a majority of the core's disks too
}

type heard struct {
	whole bool
	ver   units.Version
}

// Claimant is the step machine: holder of others' claims and claimant of its own callers'.
type Claimant struct {
	self       units.NodeID
	born       units.Time
	keys       map[string]entry
	pends      map[uint64]*pending
	late       map[uint64]*pending // granted by the routers alone; the disks are told as soon as they can be
	core       register.QuorumSet
	away       units.Time // till then the disks are not waited for
	heard      map[units.NodeID]heard
	whole      bool
	asked      units.Time
	askedParts units.Time
	swept      units.Time
	Results    []Result
}

// New gives a node that remembers nothing and so abstains.
func New(self units.NodeID, now units.Time) *Claimant {
	return &Claimant{self: self, born: now, keys: map[string]entry{}, pends: map[uint64]*pending{}, late: map[uint64]*pending{}, heard: map[units.NodeID]heard{}}
}

// SetVoters sets the voters, whose disks keep claims beyond the loss of all memory.
func (s *Claimant) SetVoters(v register.QuorumSet) { s.core = v }

// Tick asks again, gives up, forgets old keys, and copies what others remember after a start.
func (s *Claimant) Tick(now units.Time, peers []units.NodeID, longest time.Duration) (out message.Effects) {
	for _, token := range message.SortedKeys(s.pends) {
		p := s.pends[token]
		switch {
		case p.held != 0:
			s.settled(now, token, p)
		case now.Sub(p.since) >= giveUp:
			s.end(token, resultcode.ClaimFailed, false) // nothing is burned: another copy may hold the key and run
		case now.Sub(p.sent) >= again:
			s.ask(now, token, p, &out)
		}
	}
	s.tell(now, &out)
	if now.Sub(s.swept) > time.Second {
		s.swept = now
		for k, e := range s.keys {
			if now.Sub(e.at) > Retention {
				delete(s.keys, k)
			}
		}
	}
	if s.whole || longest == 0 {
		return out
	}
	s.whole = s.recall(now, peers, &out) || now.Sub(s.born) > max(longest, settle)
	return out
}

// Complete says whether this node takes part in claims.
func (s *Claimant) Complete() bool { return s.whole }

// Step takes one note.
func (s *Claimant) Step(now units.Time, n message.Message) (out message.Effects) {
	var h head
	var key []byte
	switch n.Kind {
	case CopyRequest:
		out.Send(n.From, CopyReply, pack(s.keys, s.whole, 0))
		return out
	case CopyReply:
		out.AddError(s.take(now, n))
		return out
	}
	if err := message.Unpack(n.Body, &h, &key); err != nil {
		out.AddError(err)
		return out
	}
	switch n.Kind {
	case Claim:
		h.State = s.hold(now, h.Token, string(key))
		out.Send(n.From, ClaimReply, message.Pack(h, key))
	case Spend:
		e := s.keys[string(key)]
		e.burnt, e.at = true, now
		s.keys[string(key)] = e
	case ClaimReply:
		s.answered(now, n.From, h)
	}
	return out
}

func (s *Claimant) hold(now units.Time, token uint64, key string) uint8 {
	e, ok := s.keys[key]
	switch {
	case ok && e.burnt:
		return burned
	case ok && e.token != token:
		return taken
	case !ok && !s.whole:
		return abstain
	}
	s.keys[key] = entry{token: token, at: now}
	return granted
}
