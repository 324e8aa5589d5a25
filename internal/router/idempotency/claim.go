package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Claim asks the holders, and the core's disks, for a key under a token that is this node's own.
func (s *Claimant) Claim(now units.Time, token uint64, key string, holders []units.NodeID) (out message.Effects) {
	p := &pendingClaim{key: key, holders: holders, voters: s.voters, grantedBy: map[units.NodeID]bool{}, startedAt: now}
	s.pending[token] = p
	s.sendClaims(now, token, p, &out)
	return out
}

func (s *Claimant) sendClaims(now units.Time, token uint64, p *pendingClaim, out *message.Effects) {
	p.sentAt = now
	for _, n := range p.holders {
		if n != 0 && !p.grantedBy[n] && p.holdersGrantedAt == 0 {
			out.Send(n, Claim, message.Pack(header{Token: token}, []byte(p.key)))
		}
	}
	for _, n := range p.voters.All() {
		if !p.grantedBy[n] {
			out.Send(n, Claim, message.Pack(header{Token: token, VotersVersion: uint64(p.voters.Version)}, []byte(p.key)))
		}
	}
}

// Spend makes a key useless for ever: the holder of its claim says that it did not run. Only a node whose claim
// was granted may burn; to others the key's prompt may be running elsewhere.
func (s *Claimant) Spend(key string, holders []units.NodeID) (out message.Effects) {
	for _, n := range append(append([]units.NodeID(nil), holders...), s.voters.All()...) {
		if n != 0 {
			out.Send(n, Spend, message.Pack(header{}, []byte(key)))
		}
	}
	return out
}

func (s *Claimant) finish(token uint64, code resultcode.Code, durable bool) {
	delete(s.pending, token)
	s.Results = append(s.Results, Result{token, code, durable})
}

// finishIfDurable ends a claim that the holders granted: once the disks have it too, or can't be waited for.
func (s *Claimant) finishIfDurable(now units.Time, token uint64, p *pendingClaim) {
	if p.holdersGrantedAt == 0 {
		return
	}
	durable := p.voters.HasMajority(p.grantedBy)
	awaitVoters := now >= s.skipVotersUntil && len(p.voters.Members) > 0
	switch {
	case durable:
		s.skipVotersUntil = 0
	case awaitVoters && now.Sub(p.holdersGrantedAt) < votersTimeout:
		return
	case awaitVoters:
		s.skipVotersUntil = now.Add(votersBackoff)
	}
	if !durable {
		s.notDurable[token] = p
	}
	s.finish(token, resultcode.OK, durable)
}

// resendToVoters lets the disks know of claims that were granted without them.
func (s *Claimant) resendToVoters(now units.Time, out *message.Effects) {
	for _, token := range message.SortedKeys(s.notDurable) {
		p := s.notDurable[token]
		switch {
		case now.Sub(p.startedAt) > Retention || p.voters.HasMajority(p.grantedBy):
			delete(s.notDurable, token)
		case now.Sub(p.sentAt) >= time.Second:
			if p.voters.Version != s.voters.Version {
				p.voters, p.grantedBy = s.voters, map[units.NodeID]bool{}
			}
			s.sendClaims(now, token, p, out)
		}
	}
}

func (s *Claimant) handleReply(now units.Time, from units.NodeID, h header) {
	if p := s.notDurable[h.Token]; p != nil {
		if h.State == granted {
			p.grantedBy[from] = true
		}
		if p.voters.HasMajority(p.grantedBy) {
			s.skipVotersUntil = 0
		}
		return
	}
	p := s.pending[h.Token]
	if p == nil {
		return
	}
	switch h.State {
	case taken:
		s.finish(h.Token, resultcode.KeyClaimed, false)
	case spent:
		s.finish(h.Token, resultcode.KeySpent, false)
	case granted:
		p.grantedBy[from] = true
		if p.holdersGrantedAt == 0 && (register.QuorumSet{Members: p.holders}).HasMajority(p.grantedBy) {
			p.holdersGrantedAt = max(now, 1)
		}
		s.finishIfDurable(now, h.Token, p)
	}
}
