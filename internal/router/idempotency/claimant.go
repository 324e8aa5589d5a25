// Package idempotency prevents that a request with an idempotency key runs twice: a client's key is claimed at a majority
// of three routers before the prompt is dispatched to a worker (docs/design.md, section 8).
package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// The messages of claims.
const (
	Claim = message.KindClaim + iota
	ClaimReply
	Spend
	CopyRequest
	CopyReply
)

// The states that a holder or voter replies for a key.
const (
	granted uint8 = 1 + iota
	taken
	spent
	abstained
)

// Timeouts, intervals and the number of holders of a key.
const (
	retryInterval   = 150 * time.Millisecond
	claimTimeout    = 450 * time.Millisecond
	Retention       = 10 * time.Minute // how long a key is kept
	holderCount     = 3
	votersTimeout   = 200 * time.Millisecond // how long a claim that the holders granted waits for the voters' disks
	votersBackoff   = 2 * time.Second        // how long voters are not waited for after such a timeout
	propagationTime = 2 * time.Second        // until all nodes know of a new machine, and so agree on a key's holders
)

// header precedes the key in claim messages.
type header struct {
	Token         uint64
	VotersVersion uint64 // version of the sender's quorum set; 0 between routers
	State         uint8
}

// entry is a claimed or spent key.
type entry struct {
	token     uint64
	spent     bool
	updatedAt units.Time
}

// pendingClaim is a claim of this node that isn't granted yet, or not by a majority of the voters.
type pendingClaim struct {
	key              string
	holders          []units.NodeID
	voters           register.QuorumSet
	grantedBy        map[units.NodeID]bool
	startedAt        units.Time
	holdersGrantedAt units.Time // when a majority of the holders had granted it; 0 before
	sentAt           units.Time
}

// Result is the result of a claim: OK, KeyClaimed, KeySpent or ClaimFailed.
type Result struct {
	Token   uint64
	Code    resultcode.Code
	Durable bool // on the disks of a majority of the voters too
}

// copyStatus describes the last copy received from a node.
type copyStatus struct {
	complete      bool
	votersVersion units.Version
}

// Claimant is a router's state machine for claims: it holds the claims of other routers and makes those of its own
// clients.
type Claimant struct {
	self               units.NodeID
	startedAt          units.Time
	keys               map[string]entry
	pending            map[uint64]*pendingClaim
	notDurable         map[uint64]*pendingClaim // granted by the holders without the voters; resent to the voters
	voters             register.QuorumSet
	skipVotersUntil    units.Time // until then claims don't wait for the voters
	copies             map[units.NodeID]copyStatus
	complete           bool
	copiesRequestedAt  units.Time
	partialRequestedAt units.Time
	sweptAt            units.Time
	Results            []Result
}

// New returns a claimant without any keys, which abstains until it has recovered them.
func New(self units.NodeID, now units.Time) *Claimant {
	return &Claimant{self: self, startedAt: now, keys: map[string]entry{}, pending: map[uint64]*pendingClaim{},
		notDurable: map[uint64]*pendingClaim{}, copies: map[units.NodeID]copyStatus{}}
}

// SetVoters sets the quorum set, whose disks keep claims even if all routers lose their memory.
func (c *Claimant) SetVoters(v register.QuorumSet) { c.voters = v }

// Tick retries pending claims or fails them, removes expired keys, and after a start recovers the keys from other nodes.
func (c *Claimant) Tick(now units.Time, peers []units.NodeID, maxRequestTime time.Duration) (out message.Effects) {
	for _, token := range message.SortedKeys(c.pending) {
		p := c.pending[token]
		switch {
		case p.holdersGrantedAt != 0:
			c.tryFinish(now, token, p)
		case now.Sub(p.startedAt) >= claimTimeout:
			c.finish(token, resultcode.ClaimFailed, false) // the key isn't spent: another request may hold it and run
		case now.Sub(p.sentAt) >= retryInterval:
			c.sendClaims(now, token, p, &out)
		}
	}
	c.resendToVoters(now, &out)
	if now.Sub(c.sweptAt) > time.Second {
		c.sweptAt = now
		for k, e := range c.keys {
			if now.Sub(e.updatedAt) > Retention {
				delete(c.keys, k)
			}
		}
	}
	if c.complete || maxRequestTime == 0 {
		return out
	}
	c.complete = c.recoverKeys(now, peers, &out) || now.Sub(c.startedAt) > max(maxRequestTime, propagationTime)
	return out
}

// Complete reports whether this node has recovered all keys and so grants claims.
func (c *Claimant) Complete() bool { return c.complete }

// Step handles one message.
func (c *Claimant) Step(now units.Time, msg message.Message) (out message.Effects) {
	var h header
	var key []byte
	switch msg.Kind {
	case CopyRequest:
		out.Send(msg.From, CopyReply, encodeCopy(c.keys, c.complete, 0))
		return out
	case CopyReply:
		out.AddError(c.mergeCopy(now, msg))
		return out
	}
	if err := message.Unpack(msg.Body, &h, &key); err != nil {
		out.AddError(err)
		return out
	}
	switch msg.Kind {
	case Claim:
		h.State = c.grant(now, h.Token, string(key))
		out.Send(msg.From, ClaimReply, message.Pack(h, key))
	case Spend:
		e := c.keys[string(key)]
		e.spent, e.updatedAt = true, now
		c.keys[string(key)] = e
	case ClaimReply:
		c.handleReply(now, msg.From, h)
	}
	return out
}

// grant handles a claim as a holder and returns the state of the key.
func (c *Claimant) grant(now units.Time, token uint64, key string) uint8 {
	e, ok := c.keys[key]
	switch {
	case ok && e.spent:
		return spent
	case ok && e.token != token:
		return taken
	case !ok && !c.complete:
		return abstained
	}
	c.keys[key] = entry{token: token, updatedAt: now}
	return granted
}
