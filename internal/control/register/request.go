package register

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// wish is an Ask on its way to an owner.
type pendingRequest struct {
	Request
	to units.NodeID
	at units.Time
}

// RequestTimeout is how long a request is sent on to whoever owns its key before it is given up.
const RequestTimeout = 5 * time.Second

// AnswerTimeout bounds the whole of an operator's call, however many requests it makes: callers go on to another
// controller after a second of silence. The request itself stays pending for RequestTimeout; its id makes it idempotent.
const AnswerTimeout = 900 * time.Millisecond

// TimeoutCode is what a request is answered with when its time is up: a read has no effect, a write may still have one.
func (a Request) TimeoutCode() resultcode.Code {
	if a.Write {
		return resultcode.CommitUnknown
	}
	return resultcode.NoMajority
}

// Submit forwards a request to the owner that this node sees for its key. The Result is appended to Results; without a
// founded set or an owner it is NoMajority at once.
func (b *Replica) Submit(now units.Time, a Request) (out message.Effects) {
	a.From = b.self
	to := b.Owner(a.Key)
	if b.quorum.Version == 0 || to == 0 {
		b.result(now, Result{Tag: a.Tag, Code: resultcode.NoMajority}, &out)
		return out
	}
	w := &pendingRequest{Request: a, to: to, at: now}
	b.requests[a.Tag] = w
	b.send(w, &out)
	return out
}

func (b *Replica) send(w *pendingRequest, out *message.Effects) {
	h := head{Tag: w.Tag, Num: uint64(w.ExpectedVersion)}
	switch {
	case w.Lookup:
		h.Write = opLookup
	case w.Write:
		h.Write = opWrite
	}
	out.Send(w.to, Forward, b.pack(h, w.Key, message.Pack(struct{}{}, []byte(w.RequestID), w.Data)))
}

// wishTick sends wishes on when their key has another owner: reads, and writes whose plan id keeps them from being
// made twice.
func (b *Replica) wishTick(now units.Time, out *message.Effects) {
	for _, tag := range message.SortedKeys(b.requests) {
		w := b.requests[tag]
		to := b.Owner(w.Key)
		switch {
		case now.Sub(w.at) > RequestTimeout:
			delete(b.requests, tag)
		case to != 0 && to != w.to && (!w.Write || w.RequestID != ""):
			w.to = to
			b.send(w, out)
		}
	}
}

// answered takes an owner's answer to a request that is pending here. One on another key was meant for an earlier run of
// this node, which used the same tag.
func (b *Replica) answered(now units.Time, h head, key string, version units.Version, body []byte, out *message.Effects) {
	w := b.requests[h.Tag]
	if w == nil || w.Key != key {
		return
	}
	code := resultcode.Code(h.Code)
	if (code == resultcode.CommitUnknown || code == resultcode.NoMajority) && b.again(h.Tag) {
		return
	}
	delete(b.requests, h.Tag)
	b.replied(now, version, Result{Tag: h.Tag, Code: code, Version: units.Version(h.Num), Data: body}, out)
}

// again says whether a wish that met an owner no longer one, or not yet one, will be sent once more: then its
// asker need not be told yet.
func (b *Replica) again(tag uint64) bool {
	w := b.requests[tag]
	if w == nil || w.Write && w.RequestID == "" {
		return false
	}
	w.to = 0 // the next tick sends it, to whoever owns the key then
	return true
}
