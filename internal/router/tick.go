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
	v.coordinatorMu.Lock()
	out.Join(v.coordinator.Tick(now))
	busy = busy || v.coordinator.Busy()
	v.coordinatorMu.Unlock()
	v.Deliver(out)
	if v.Adapter == nil {
		v.tickClaimant(now) // an adapter's requests claim nothing
	}
	v.confirmUpToDate(now)
	if busy || v.Adapter == nil || !v.ready.Load() || !v.Calm(now) {
		return tickInterval
	}
	return node.Seldom
}

// tickInterval is how long the next tick waits while something is due: prompts that wait, keepers that take over, a fleet that moves.
const tickInterval = 20 * time.Millisecond

// scheduleTick has the next tick come soon.
func (v *Router) scheduleTick() { v.tickLoop.By(tickInterval) }
