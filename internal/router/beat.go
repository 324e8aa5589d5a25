package router

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/node"
	"seamshunt/internal/units"
)

// beat works out the difference between what is wanted and what is; it gives how long the next may wait.
func (v *Router) beat(now units.Time) time.Duration {
	v.refresh(now)
	v.queueMu.Lock()
	var out message.Effects
	busy := v.queue.Busy()
	if busy {
		out = v.queue.Tick(now)
		v.tell(now)
	}
	v.queueMu.Unlock()
	v.ledgerMu.Lock()
	out.Join(v.ledger.Tick(now))
	busy = busy || v.ledger.Busy()
	v.ledgerMu.Unlock()
	v.Deliver(out)
	if v.Words == nil {
		v.screenTick(now) // a book's requests claim nothing
	}
	v.confirm(now)
	if busy || v.Words == nil || !v.ready.Load() || !v.Calm(now) {
		return often
	}
	return node.Seldom
}

// often is how long the beat waits while something is due: prompts that wait, books that are opened, a fleet that moves.
const often = 20 * time.Millisecond

// soon has the beat come soon.
func (v *Router) soon() { v.pace.By(often) }
