package admission

// Busy says whether a prompt waits for anything but the end of its run: only then has a tick something to do.
func (h *Queue) Busy() bool {
	for _, r := range h.requests {
		if r.stage != stageHeld {
			return true
		}
	}
	return false
}
