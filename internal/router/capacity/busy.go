package capacity

// Busy says whether the next tick may have something to do that can't wait long: a book that is not open yet, prompts
// that wait, routers that still have to report, or keepers to work out anew.
func (g *Ledger) Busy() bool {
	if g.moved {
		return true
	}
	for _, k := range g.keeps {
		if !k.open || len(k.list) > 0 || len(k.late) > 0 {
			return true
		}
	}
	return false
}
