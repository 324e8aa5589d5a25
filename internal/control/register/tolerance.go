package register

import "fmt"

// Tolerance is the simultaneous loss that the quorum set must survive: a number of machines with voting disks, or all
// machines of a number of zones.
type Tolerance struct {
	Machines int
	Zones    int
}

// Shortfall returns why the quorum set does not have the required tolerance, as a text for operators, or an empty string
// if it has. A joint set is checked only once its change is complete.
func (t Tolerance) Shortfall(q QuorumSet, view ControllerView) string {
	if q.Version == 0 || q.Joint() {
		return ""
	}
	size := len(q.Members)
	if tolerated := (size - 1) / 2; tolerated < t.Machines {
		return fmt.Sprintf("%d members bear the loss of %d, not of %d: %d disks that count are wanted", size, tolerated, t.Machines, 2*t.Machines+1)
	}
	membersPerZone := map[string]int{}
	for _, n := range q.Members {
		membersPerZone[view.zoneOf(n)]++
	}
	if lost := membersInLargestZones(membersPerZone, t.Zones); size-lost <= size/2 {
		return fmt.Sprintf("the loss of %d zones takes %d of %d members: disks that count are wanted in more zones", t.Zones, lost, size)
	}
	return ""
}

// membersInLargestZones returns the number of members in the given number of zones that hold the most.
func membersInLargestZones(membersPerZone map[string]int, zones int) int {
	lost := 0
	taken := map[string]bool{}
	for range zones {
		best := ""
		for zone, n := range membersPerZone {
			if !taken[zone] && (best == "" || n > membersPerZone[best]) {
				best = zone
			}
		}
		taken[best] = true
		lost += membersPerZone[best]
	}
	return lost
}
