package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Claim sends a claim for a key to its holders and to the voters, whose disks make it durable. The token must be unique
// to this node.
func (c *Claimant) Claim(now units.Time, token uint64, key string, holders []units.NodeID) (out message.Effects) {
	p := &pendingClaim{key: key, holders: holders, voters: c.voters, grantedBy: map[units.NodeID]bool{}, startedAt: now}
	c.pending[token] = p
	c.sendClaims(now, token, p, &out)
	return out
}

// sendClaims sends the claim to all holders, until a majority of them has granted it, and to all voters, except to those
// that have granted it.
func (c *Claimant) sendClaims(now units.Time, token uint64, p *pendingClaim, out *message.Effects) {
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

// Spend marks a key as spent, so that it can't be claimed again. The router whose claim was granted calls it when the
// request did not run. No other router may, since the request may be running elsewhere.
func (c *Claimant) Spend(key string, holders []units.NodeID) (out message.Effects) {
	for _, n := range append(append([]units.NodeID(nil), holders...), c.voters.All()...) {
		if n != 0 {
			out.Send(n, Spend, message.Pack(header{}, []byte(key)))
		}
	}
	return out
}

func (c *Claimant) finish(token uint64, code resultcode.Code, durable bool) {
	delete(c.pending, token)
	c.Results = append(c.Results, Result{token, code, durable})
}

// tryFinish completes a claim that the holders granted, once a majority of the voters has it on disk too or isn't waited
// for any longer.
func (c *Claimant) tryFinish(now units.Time, token uint64, p *pendingClaim) {
	if p.holdersGrantedAt == 0 {
		return
	}
	durable := p.voters.HasMajority(p.grantedBy)
	awaitVoters := now >= c.skipVotersUntil && len(p.voters.Members) > 0
	switch {
	case durable:
		c.skipVotersUntil = 0
	case awaitVoters && now.Sub(p.holdersGrantedAt) < votersTimeout:
		return
	case awaitVoters:
		c.skipVotersUntil = now.Add(votersBackoff)
	}
	if !durable {
		c.notDurable[token] = p
	}
	c.finish(token, resultcode.OK, durable)
}

// resendToVoters repeats claims that were granted by the holders without the voters until a majority of the voters has them on disk.
func (c *Claimant) resendToVoters(now units.Time, out *message.Effects) {
	for _, token := range message.SortedKeys(c.notDurable) {
		p := c.notDurable[token]
		switch {
		case now.Sub(p.startedAt) > Retention || p.voters.HasMajority(p.grantedBy):
			delete(c.notDurable, token)
		case now.Sub(p.sentAt) >= time.Second:
			if p.voters.Version != c.voters.Version {
				p.voters, p.grantedBy = c.voters, map[units.NodeID]bool{}
			}
			c.sendClaims(now, token, p, out)
		}
	}
}

func (c *Claimant) handleReply(now units.Time, from units.NodeID, h header) {
	if p := c.notDurable[h.Token]; p != nil {
		if h.State == granted {
			p.grantedBy[from] = true
		}
		if p.voters.HasMajority(p.grantedBy) {
			c.skipVotersUntil = 0
		}
		return
	}
	p := c.pending[h.Token]
	if p == nil {
		return
	}
	switch h.State {
	case taken:
		c.finish(h.Token, resultcode.KeyClaimed, false)
	case spent:
		c.finish(h.Token, resultcode.KeySpent, false)
	case granted:
		p.grantedBy[from] = true
		if p.holdersGrantedAt == 0 && (register.QuorumSet{Members: p.holders}).HasMajority(p.grantedBy) {
			p.holdersGrantedAt = max(now, 1)
		}
		c.tryFinish(now, h.Token, p)
	}
}
