package register

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// pendingRequest is a request that has been forwarded to an owner.
type pendingRequest struct {
	Request
	owner       units.NodeID
	submittedAt units.Time
}

// RequestTimeout is how long a request is forwarded to the key's current owner before it is dropped.
const RequestTimeout = 5 * time.Second

// AnswerTimeout limits an operator's call as a whole, however many requests it makes: callers try another controller
// after a second without an answer. The request itself stays pending for RequestTimeout; its id makes it idempotent.
const AnswerTimeout = 900 * time.Millisecond

// TimeoutCode returns the answer to a request that timed out: a read has no effect, but a write may still take
// effect.
func (r Request) TimeoutCode() resultcode.Code {
	if r.Write {
		return resultcode.CommitUnknown
	}
	return resultcode.NoMajority
}

// Submit forwards a request to the node that should own its key according to this node's view. The Result is appended
// to Results; without a quorum set or an owner it is NoMajority at once.
func (b *Replica) Submit(now units.Time, request Request) (out message.Effects) {
	request.From = b.self
	owner := b.Owner(request.Key)
	if b.quorum.Version == 0 || owner == 0 {
		b.deliverResult(now, Result{Tag: request.Tag, Code: resultcode.NoMajority}, &out)
		return out
	}
	pending := &pendingRequest{Request: request, owner: owner, submittedAt: now}
	b.pendingRequests[request.Tag] = pending
	b.forward(pending, &out)
	return out
}

func (b *Replica) forward(pending *pendingRequest, out *message.Effects) {
	h := header{Tag: pending.Tag, Version: uint64(pending.ExpectedVersion)}
	switch {
	case pending.Lookup:
		h.Operation = opLookup
	case pending.Write:
		h.Operation = opWrite
	}
	out.Send(pending.owner, Forward, b.pack(h, pending.Key, message.Pack(struct{}{}, []byte(pending.RequestID), pending.Data)))
}

// tickRequests forwards pending requests again if their key has another owner: reads, and writes whose id prevents
// them from being applied twice.
func (b *Replica) tickRequests(now units.Time, out *message.Effects) {
	for _, tag := range message.SortedKeys(b.pendingRequests) {
		pending := b.pendingRequests[tag]
		owner := b.Owner(pending.Key)
		switch {
		case now.Sub(pending.submittedAt) > RequestTimeout:
			delete(b.pendingRequests, tag)
		case owner != 0 && owner != pending.owner && (!pending.Write || pending.RequestID != ""):
			pending.owner = owner
			b.forward(pending, out)
		}
	}
}

// handleReply processes an owner's answer to a pending request. An answer for another key belongs to a request of an
// earlier run of this node, which used the same tag.
func (b *Replica) handleReply(now units.Time, h header, key string, version units.Version, body []byte, out *message.Effects) {
	pending := b.pendingRequests[h.Tag]
	if pending == nil || pending.Key != key {
		return
	}
	code := resultcode.Code(h.Code)
	if (code == resultcode.CommitUnknown || code == resultcode.NoMajority) && b.scheduleResend(h.Tag) {
		return
	}
	delete(b.pendingRequests, h.Tag)
	b.handleOwnerResult(now, version, Result{Tag: h.Tag, Code: code, Version: units.Version(h.Version), Data: body}, out)
}

// scheduleResend reports whether a request that reached a node that no longer or not yet owns the key will be sent
// again, so that its caller need not be answered yet.
func (b *Replica) scheduleResend(tag uint64) bool {
	pending := b.pendingRequests[tag]
	if pending == nil || pending.Write && pending.RequestID == "" {
		return false
	}
	pending.owner = 0 // the next tick sends it to whoever owns the key then
	return true
}
