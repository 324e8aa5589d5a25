package capacity

// Busy says whether the next tick may have something to do that can't wait long: a book that is not open yet, prompts
// that wait, routers that still have to report, or keepers to work out anew.
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
