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
	p := &pending{key: key, holders: holders, core: s.core, got: map[units.NodeID]bool{}, since: now}
	s.pends[token] = p
	s.ask(now, token, p, &out)
	return out
}

func (s *Claimant) ask(now units.Time, token uint64, p *pending, out *message.Effects) {
	p.sent = now
	for _, n := range p.holders {
		if n != 0 && !p.got[n] && p.held == 0 {
			out.Send(n, Claim, message.Pack(head{Token: token}, []byte(p.key)))
		}
	}
	for _, n := range p.core.All() {
		if !p.got[n] {
			out.Send(n, Claim, message.Pack(head{Token: token, Ver: uint64(p.core.Version)}, []byte(p.key)))
		}
	}
}

// Spend makes a key useless for ever: the holder of its claim says that it did not run. Only a node whose claim
// was granted may burn; to others the key's prompt may be running elsewhere.
func (s *Claimant) Spend(key string, holders []units.NodeID) (out message.Effects) {
	for _, n := range append(append([]units.NodeID(nil), holders...), s.core.All()...) {
		if n != 0 {
			out.Send(n, Spend, message.Pack(head{}, []byte(key)))
		}
	}
	return out
}

func (s *Claimant) end(token uint64, c resultcode.Code, kept bool) {
	delete(s.pends, token)
	s.Results = append(s.Results, Result{token, c, kept})
}

// settled ends a claim that the holders granted: once the disks have it too, or can't be waited for.
func (s *Claimant) settled(now units.Time, token uint64, p *pending) {
	if p.held == 0 {
		return
	}
	kept := p.core.HasMajority(p.got)
	waits := now >= s.away && len(p.core.Members) > 0
	switch {
	case kept:
		s.away = 0
	case waits && now.Sub(p.held) < coreWait:
		return
	case waits:
		s.away = now.Add(awayFor)
	}
	if !kept {
		s.late[token] = p
	}
	s.end(token, resultcode.OK, kept)
}

// tell lets the disks know of claims that were granted without them.
func (s *Claimant) tell(now units.Time, out *message.Effects) {
	for _, token := range message.SortedKeys(s.late) {
		p := s.late[token]
		switch {
		case now.Sub(p.since) > Retention || p.core.HasMajority(p.got):
			delete(s.late, token)
		case now.Sub(p.sent) >= time.Second:
			if p.core.Version != s.core.Version {
				p.core, p.got = s.core, map[units.NodeID]bool{}
			}
			s.ask(now, token, p, out)
		}
	}
}

func (s *Claimant) answered(now units.Time, from units.NodeID, h head) {
	if p := s.late[h.Token]; p != nil {
		if h.State == granted {
			p.got[from] = true
		}
		if p.core.HasMajority(p.got) {
			s.away = 0
		}
		return
	}
	p := s.pends[h.Token]
	if p == nil {
		return
	}
	switch h.State {
	case taken:
		s.end(h.Token, resultcode.KeyClaimed, false)
	case burned:
		s.end(h.Token, resultcode.KeySpent, false)
	case granted:
		p.got[from] = true
		if p.held == 0 && (register.QuorumSet{Members: p.holders}).HasMajority(p.got) {
			p.held = max(now, 1)
		}
		s.settled(now, h.Token, p)
	}
}
