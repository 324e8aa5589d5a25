package capacity

// Busy reports whether the next tick may have urgent work: reports that are still being collected, waiting requests, routers
// that still have to report, or coordinators to reassign.
func (g *Ledger) Busy() bool {
	if g.assignmentsStale {
		return true
	}
	for _, state := range g.coordinated {
		if !state.open || len(state.waitlist) > 0 || len(state.lateRouters) > 0 {
			return true
		}
	}
	return false
}
