package register

import "fmt"

// Tolerance is what the quorum set is to bear at once: the loss of so many machines whose disks count, or of all of them
// in so many zones.
type Tolerance struct {
	Machines int
	Zones    int
}

// Shortfall says why the quorum set does not bear what it is to, in words for operators; empty when it does. A joint set
// is judged once it is complete.
func (t Tolerance) Shortfall(q QuorumSet, view ControllerView) string {
	if q.Version == 0 || q.Joint() {
		return ""
	}
	size := len(q.Members)
	if bears := (size - 1) / 2; bears < t.Machines {
		return fmt.Sprintf("%d members bear the loss of %d, not of %d: %d disks that count are wanted", size, bears, t.Machines, 2*t.Machines+1)
	}
	inZone := map[string]int{}
	for _, n := range q.Members {
		inZone[view.zone(n)]++
	}
	if lost := mostIn(inZone, t.Zones); size-lost <= size/2 {
		return fmt.Sprintf("the loss of %d zones takes %d of %d members: disks that count are wanted in more zones", t.Zones, lost, size)
	}
	return ""
}

// mostIn counts the members in the given number of zones that hold the most.
func mostIn(inZone map[string]int, zones int) int {
	lost := 0
	taken := map[string]bool{}
	for range zones {
		best := ""
		for zone, n := range inZone {
			if !taken[zone] && (best == "" || n > inZone[best]) {
				best = zone
			}
		}
		taken[best] = true
		lost += inZone[best]
	}
	return lost
}
