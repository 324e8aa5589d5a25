package admission

// Busy reports whether any request is waiting for admission, or for the slot of an uncertain run to come back. Otherwise
// Tick has nothing to do.
func (q *Queue) Busy() bool {
	for _, r := range q.requests {
		if r.stage != stageHeld {
			return true
		}
	}
	return false
}
