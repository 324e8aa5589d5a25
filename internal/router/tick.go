package router

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/node"
	"seamshunt/internal/units"
)

// tick applies updates and advances the admission queue, the coordinator, the claims and the readiness. It returns the delay
// until the next tick.
func (v *Router) tick(now units.Time) time.Duration {
	v.refresh(now)
	v.queueMu.Lock()
	var out message.Effects
	busy := v.queue.Busy()
	if busy {
		out = v.queue.Tick(now)
		v.deliverDecisions(now)
	}
	v.queueMu.Unlock()
	v.coordinatorMu.Lock()
	out.Append(v.coordinator.Tick(now))
	busy = busy || v.coordinator.Busy()
	v.coordinatorMu.Unlock()
	v.Deliver(out)
	if v.Adapter == nil {
		v.tickClaimant(now) // an adapter's requests claim no keys
	}
	v.confirmUpToDate(now)
	if busy || v.Adapter == nil || !v.ready.Load() || !v.MembershipStable(now) {
		return tickInterval
	}
	return node.IdleInterval
}

// tickInterval is the delay until the next tick while work is pending: requests wait, a coordinator takes over, or the
// membership changes.
const tickInterval = 20 * time.Millisecond

// scheduleTick makes the next tick run within tickInterval.
func (v *Router) scheduleTick() { v.tickLoop.By(tickInterval) }
