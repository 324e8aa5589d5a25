package capacity

import (
	"slices"

	"seamshunt/internal/units"
)

// WorkerStatus describes one worker that this router coordinates, for status and tests.
type WorkerStatus struct {
	Worker   string
	Open     bool
	InUse    int
	Capacity int
	Waiting  int
}

// Status returns the workers that this router coordinates, sorted by name.
func (g *Ledger) Status(now units.Time) []WorkerStatus {
	var workers []WorkerStatus
	for n, state := range g.coordinated {
		workers = append(workers, WorkerStatus{n, state.open, len(state.granted), g.Capacity(now, n), len(state.waitlist)})
	}
	slices.SortFunc(workers, func(a, b WorkerStatus) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return workers
}
