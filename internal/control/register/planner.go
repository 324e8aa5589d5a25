package register

import (
	"cmp"
	"slices"
	"time"

	"seamshunt/internal/units"
)

// Delays of the planner.
const (
	// ReplaceAfter is how long a member may be absent before it is replaced, if the set's size follows the disks.
	ReplaceAfter = 1500 * time.Millisecond
	// ReplaceFixedAfter is the same delay for a set of fixed size.
	ReplaceFixedAfter = 5 * time.Second
	// rebalanceAfter is how long all members must have been present before a present member may be removed.
	rebalanceAfter = 3 * time.Second
	// growAfter is how long a replica must have been present before the set may grow by it. Until then it may be the
	// replacement of a member whose loss has not been detected yet.
	growAfter = 3 * time.Second
	// smallSet is the size up to which the members are not always a majority of a next set that replaces one of them
	// or is larger. Such a change has to wait for the joining members.
	smallSet = 2
	// shrinkAfter is how long members with disks must have been absent before the set shrinks by them.
	shrinkAfter = 10 * time.Second
)

// Planner decides which replicas the quorum set should have. Its size is fixed or follows the number of voting disks.
// An even number is reduced by one, because an even set tolerates no more losses than the odd one below it and needs
// more replies. So a leaving member has a replacement, and no removed one keeps its voting seat (docs/design.md, section 13).
type Planner struct {
	FixedSize      int           // 0: the size follows the number of voting disks
	MinSize        int           // minimum size of a set that follows the disks; 2f+1 tolerates the loss of f
	ReplaceAfter   time.Duration // how long a member may be absent before it is replaced
	absentSince    map[units.NodeID]units.Time
	nonMemberSince map[units.NodeID]units.Time // when each usable non-member with a voting disk was first seen
	version        units.Version
	completeSince  units.Time // since when all members of that version have been present
	replaceableAt  units.Time // when the set could last have continued without one of its members
}

// candidate is a replica that may be in the next set.
type candidate struct {
	node        units.NodeID
	zone        string
	isMember    bool
	established bool // a member, or present for long enough that the set may grow by it
	zoneRank    int  // number of better candidates in its zone
}

// NextMembers returns the next members of the quorum set, or nil to keep it as it is. It must be called regularly
// because it measures how long members are absent.
func (p *Planner) NextMembers(now units.Time, q QuorumSet, view ControllerView) []units.NodeID {
	if p.canReplace(q, view) {
		p.replaceableAt = now
	}
	if q.Version == 0 || q.Joint() {
		return nil
	}
	p.trackPresence(now, q, view)
	present, absent := p.splitMembers(now, q, view)
	candidates := rankByZone(p.candidates(now, present, q, view))
	size := p.targetSize(now, q, candidates, absent, view)
	target := choose(candidates, absent, size)
	if len(absent) == 0 && now.Sub(p.completeSince) < rebalanceAfter && len(target) <= len(q.Members) {
		return nil // no member is absent: rebalancing the zones can wait
	}
	next := reachableStep(q.Members, target, respondingMembers(q.Members, present, view))
	if slices.Equal(next, q.Members) {
		return nil
	}
	return next
}

// trackPresence records which members are absent and which non-members are present, and since when.
func (p *Planner) trackPresence(now units.Time, q QuorumSet, view ControllerView) {
	if p.absentSince == nil {
		p.absentSince = map[units.NodeID]units.Time{}
	}
	seen := map[units.NodeID]units.Time{}
	for _, m := range view.nonMembers(q) {
		since, known := p.nonMemberSince[m.Node]
		if !known {
			since = now
		}
		seen[m.Node] = since
	}
	p.nonMemberSince = seen
	if p.version != q.Version {
		p.version, p.completeSince = q.Version, now
	}
	for _, n := range q.Members {
		if slices.Contains(view.Eligible, n) {
			delete(p.absentSince, n)
			continue
		}
		p.completeSince = now
		if _, isAbsent := p.absentSince[n]; !isAbsent {
			p.absentSince[n] = now
		}
	}
}

// splitMembers divides the members into those that count as present and those that are absent: replaced, leaving or
// missing for too long. Absent members that may return come first.
func (p *Planner) splitMembers(now units.Time, q QuorumSet, view ControllerView) (present, absent []units.NodeID) {
	var replaced []units.NodeID
	for _, n := range q.Members {
		since, isAbsent := p.absentSince[n]
		switch {
		case view.Replaced[n]:
			replaced = append(replaced, n)
		case isAbsent && (view.isLeaving(n) || now.Sub(since) >= p.ReplaceAfter):
			absent = append(absent, n)
		default:
			present = append(present, n)
		}
	}
	return present, append(absent, replaced...)
}

// candidates returns the present members and all usable non-members with a voting disk.
func (p *Planner) candidates(now units.Time, present []units.NodeID, q QuorumSet, view ControllerView) []candidate {
	var list []candidate
	for _, n := range present {
		list = append(list, candidate{node: n, zone: view.zoneOf(n), isMember: true, established: true})
	}
	for _, m := range view.nonMembers(q) {
		list = append(list, candidate{node: m.Node, zone: m.Zone, established: now.Sub(p.nonMemberSince[m.Node]) >= growAfter})
	}
	return list
}

// rankByZone sorts the candidates: any prefix of the list is spread over the zones, with members before others.
func rankByZone(candidates []candidate) []candidate {
	membersFirst := func(a, b candidate) int {
		if a.isMember != b.isMember {
			if a.isMember {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.node, b.node)
	}
	slices.SortFunc(candidates, membersFirst)
	inZone := map[string]int{}
	for i := range candidates {
		candidates[i].zoneRank = inZone[candidates[i].zone]
		inZone[candidates[i].zone]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.zoneRank, b.zoneRank) })
	return candidates
}

// targetSize returns the size of the next set.
func (p *Planner) targetSize(now units.Time, q QuorumSet, candidates []candidate, absent []units.NodeID, view ControllerView) int {
	if p.FixedSize > 0 {
		return p.FixedSize
	}
	returning := 0
	for _, n := range absent {
		if !view.Replaced[n] && !view.isLeaving(n) && !view.diskless && now.Sub(p.absentSince[n]) < shrinkAfter {
			returning++
		}
	}
	established := 0
	for _, c := range candidates {
		if c.established {
			established++
		}
	}
	if established > len(q.Members) && (len(absent) > 0 || now.Sub(p.completeSince) < growAfter) {
		established = len(q.Members) // the set must not grow now
	}
	retained := min(len(q.Members), len(candidates)+returning)
	return max(largestOdd(established), largestOdd(retained), p.MinSize)
}

// largestOdd returns the largest odd number up to n, but 2 for 2: two disks hold the same data, so the loss of one
// destroys nothing.
func largestOdd(n int) int {
	if n > 2 && n%2 == 0 {
		return n - 1
	}
	return n
}

// choose returns the best candidates. If there are too few, absent members keep their seats: a smaller set would
// tolerate fewer losses.
func choose(candidates []candidate, absent []units.NodeID, size int) []units.NodeID {
	var chosen []units.NodeID
	for _, c := range candidates[:min(size, len(candidates))] {
		chosen = append(chosen, c.node)
	}
	missing := max(0, size-len(chosen))
	chosen = append(chosen, absent[:min(missing, len(absent))]...)
	return sortNodes(chosen)
}

// respondingMembers returns the members that can still vote: those present, and those draining that have not left
// yet.
func respondingMembers(members, present []units.NodeID, view ControllerView) []units.NodeID {
	return slices.DeleteFunc(slices.Clone(members), func(n units.NodeID) bool {
		return !slices.Contains(present, n) && (view.left[n] || !view.isLeaving(n))
	})
}

// reachableStep returns the set closest to target that has a majority among the members that respond now. So a step
// never waits for the members it adds.
func reachableStep(members, target, responding []units.NodeID) []units.NodeID {
	joining := difference(target, members)
	leaving := difference(members, target)
	slices.SortStableFunc(leaving, func(a, b units.NodeID) int { // absent members leave first
		return cmp.Compare(boolInt(slices.Contains(responding, a)), boolInt(slices.Contains(responding, b)))
	})
	if len(members) <= smallSet && len(responding) == len(members) {
		return sortNodes(append(difference(members, leaving), joining[:min(smallSet, len(joining))]...))
	}
	smallest := min(len(members), len(target))
	for joinCount := len(joining); joinCount >= 0; joinCount-- {
		for leaveCount := len(leaving); leaveCount >= 0; leaveCount-- {
			next := append(difference(members, leaving[:leaveCount]), joining[:joinCount]...)
			if len(next) < smallest || len(next)%2 == 0 && len(next) != len(target) {
				continue
			}
			if len(next)-len(difference(next, responding)) > len(next)/2 {
				return sortNodes(next)
			}
		}
	}
	return members
}

func sortNodes(nodes []units.NodeID) []units.NodeID {
	slices.Sort(nodes)
	return nodes
}

// difference returns the elements of a that are not in b.
func difference(a, b []units.NodeID) []units.NodeID {
	return slices.DeleteFunc(slices.Clone(a), func(n units.NodeID) bool { return slices.Contains(b, n) })
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
