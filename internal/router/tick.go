package router

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/node"
	"seamshunt/internal/units"
)

// tick works out the difference between what is wanted and what is; it gives how long the next may wait.
func (v *Router) tick(now units.Time) time.Duration {
	v.refresh(now)
	v.queueMu.Lock()
	var out message.Effects
	busy := v.queue.Busy()
	if busy {
		out = v.queue.Tick(now)
		v.deliverVerdicts(now)
	}
	v.queueMu.Unlock()
	v.ledgerMu.Lock()
	out.Append(v.ledger.Tick(now))
	busy = busy || v.ledger.Busy()
	v.ledgerMu.Unlock()
	v.Deliver(out)
	if v.Adapter == nil {
		v.screenTick(now) // an adapter's requests claim nothing
	}
	v.confirm(now)
	if busy || v.Adapter == nil || !v.ready.Load() || !v.MembershipStable(now) {
		return tickGap
	}
	return node.IdleInterval
}

// tickGap is how long the next tick waits while something is due: prompts that wait, keepers that take over, a fleet that moves.
const tickGap = 20 * time.Millisecond

// tickSoon has the next tick come soon.
func (v *Router) tickSoon() { v.ticks.By(tickGap) }
