package register

import (
	"cmp"
	"slices"
	"time"

	"seamshunt/internal/units"
)

// Spans of planning (start values).
const (
	// ReplaceAfter is how long a member of a set that follows the disks may be away before another takes its place.
	ReplaceAfter = 1500 * time.Millisecond
	// ReplaceFixedAfter is the same where the set has a fixed size.
	ReplaceFixedAfter = 5 * time.Second
	// rebalanceAfter is how long all members must have been there before one that is there is left out.
	rebalanceAfter = 3 * time.Second
	// growAfter is how long a replica must have been there before the set grows by it: until then it may stand in for a
	// member whose loss nobody has noticed yet.
	growAfter = 3 * time.Second
	// smallSet is up to how many members can't be most of a set in which one of them is replaced, or which is larger. They
	// have to wait for those that come in.
	smallSet = 2
	// shrinkAfter is how long members with disks must have been away before a set gets smaller without them.
	shrinkAfter = 10 * time.Second
)

// Planner works out which replicas the quorum set is to have. Its size is fixed or follows the disks that count: their
// number or, where that is even, one fewer, since an even set bears no more losses than the odd one below it and needs
// more answers. So a member that leaves has a stand-in, and no set keeps a seat for one that is gone (design 13).
type Planner struct {
	FixedSize    int           // 0: the size follows the disks that count
	MinSize      int           // a set that follows the disks never gets smaller than this; 2f+1 bears the loss of f
	ReplaceAfter time.Duration // how long a member may be away before another takes its place
	awaySince    map[units.NodeID]units.Time
	seenSince    map[units.NodeID]units.Time // others that may come in
	version      units.Version
	wholeSince   units.Time // since when every member of that version was there
	changeable   units.Time // when the set could last have gone on without one of its members
}

// candidate is a replica that may be in the next set.
type candidate struct {
	node   units.NodeID
	zone   string
	member bool
	known  bool // a member, or seen for long enough that the set may grow by it
	rank   int  // how many better ones there are in its zone
}

// NextMembers gives the members that the set is to have next; nil when it is to stay as it is. It must be called regularly,
// since it measures how long members are away.
func (p *Planner) NextMembers(now units.Time, q QuorumSet, view ControllerView) []units.NodeID {
	if p.canReplace(q, view) {
		p.changeable = now
	}
	if q.Version == 0 || q.Joint() {
		return nil
	}
	p.watch(now, q, view)
	present, gone := p.split(now, q, view)
	candidates := rank(p.candidates(now, present, q, view))
	size := p.size(now, q, candidates, gone, view)
	wanted := choose(candidates, gone, size)
	if len(gone) == 0 && now.Sub(p.wholeSince) < rebalanceAfter && len(wanted) <= len(q.Members) {
		return nil // nobody is missing: a better spread can wait
	}
	next := reachable(q.Members, wanted, answering(q.Members, present, view))
	if slices.Equal(next, q.Members) {
		return nil
	}
	return next
}

// watch notes who is away, and since when.
func (p *Planner) watch(now units.Time, q QuorumSet, view ControllerView) {
	if p.awaySince == nil {
		p.awaySince = map[units.NodeID]units.Time{}
	}
	seen := map[units.NodeID]units.Time{}
	for _, m := range view.others(q) {
		since, known := p.seenSince[m.Node]
		if !known {
			since = now
		}
		seen[m.Node] = since
	}
	p.seenSince = seen
	if p.version != q.Version {
		p.version, p.wholeSince = q.Version, now
	}
	for _, n := range q.Members {
		if slices.Contains(view.Eligible, n) {
			delete(p.awaySince, n)
			continue
		}
		p.wholeSince = now
		if _, away := p.awaySince[n]; !away {
			p.awaySince[n] = now
		}
	}
}

// split parts the members into those that count as there and those that are gone: lost with their disks, leaving, or away
// for long. The gone ones that may come back stand first.
func (p *Planner) split(now units.Time, q QuorumSet, view ControllerView) (present, gone []units.NodeID) {
	var lost []units.NodeID
	for _, n := range q.Members {
		since, away := p.awaySince[n]
		switch {
		case view.Replaced[n]:
			lost = append(lost, n)
		case away && (view.leaving(n) || now.Sub(since) >= p.ReplaceAfter):
			gone = append(gone, n)
		default:
			present = append(present, n)
		}
	}
	return present, append(gone, lost...)
}

// candidates are the members that are there and all others whose disks count and can be used.
func (p *Planner) candidates(now units.Time, present []units.NodeID, q QuorumSet, view ControllerView) []candidate {
	var l []candidate
	for _, n := range present {
		l = append(l, candidate{node: n, zone: view.zone(n), member: true, known: true})
	}
	for _, m := range view.others(q) {
		l = append(l, candidate{node: m.Node, zone: m.Zone, known: now.Sub(p.seenSince[m.Node]) >= growAfter})
	}
	return l
}

// rank orders candidates so that the first ones of any number are spread over the zones, and otherwise members stay.
func rank(l []candidate) []candidate {
	stay := func(a, b candidate) int {
		if a.member != b.member {
			if a.member {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.node, b.node)
	}
	slices.SortFunc(l, stay)
	inZone := map[string]int{}
	for i := range l {
		l[i].rank = inZone[l[i].zone]
		inZone[l[i].zone]++
	}
	slices.SortStableFunc(l, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return l
}

// size is how many members the next set is to have.
func (p *Planner) size(now units.Time, q QuorumSet, candidates []candidate, gone []units.NodeID, view ControllerView) int {
	if p.FixedSize > 0 {
		return p.FixedSize
	}
	returning := 0
	for _, n := range gone {
		if !view.Replaced[n] && !view.leaving(n) && !view.diskless && now.Sub(p.awaySince[n]) < shrinkAfter {
			returning++
		}
	}
	known := 0
	for _, c := range candidates {
		if c.known {
			known++
		}
	}
	if known > len(q.Members) && (len(gone) > 0 || now.Sub(p.wholeSince) < growAfter) {
		known = len(q.Members) // no time to grow
	}
	keep := min(len(q.Members), len(candidates)+returning)
	return max(odd(known), odd(keep), p.MinSize)
}

// odd gives the largest odd number up to n. Of two disks both are taken: each holds what the other does, so that one loss
// destroys nothing.
func odd(n int) int {
	if n > 2 && n%2 == 0 {
		return n - 1
	}
	return n
}

// choose takes the best candidates. Where they are too few, members that are gone keep their seats: a smaller set would
// bear fewer losses.
func choose(candidates []candidate, gone []units.NodeID, size int) []units.NodeID {
	var wanted []units.NodeID
	for _, c := range candidates[:min(size, len(candidates))] {
		wanted = append(wanted, c.node)
	}
	missing := max(0, size-len(wanted))
	wanted = append(wanted, gone[:min(missing, len(gone))]...)
	return sorted(wanted)
}

// answering gives the members that can still decide: those that are there, and those that are about to leave.
func answering(members, present []units.NodeID, view ControllerView) []units.NodeID {
	return slices.DeleteFunc(slices.Clone(members), func(n units.NodeID) bool {
		return !slices.Contains(present, n) && (view.departed[n] || !view.leaving(n))
	})
}

// reachable gives the set that is furthest on the way to the wanted one and of which a majority is among the members that
// answer now: then a step never waits for those that it brings in.
func reachable(members, wanted, answering []units.NodeID) []units.NodeID {
	comers := without(wanted, members)
	leavers := without(members, wanted)
	slices.SortStableFunc(leavers, func(a, b units.NodeID) int { // those that are gone leave first
		return cmp.Compare(boolInt(slices.Contains(answering, a)), boolInt(slices.Contains(answering, b)))
	})
	if len(members) <= smallSet && len(answering) == len(members) {
		return sorted(append(without(members, leavers), comers[:min(smallSet, len(comers))]...))
	}
	smallest := min(len(members), len(wanted))
	for in := len(comers); in >= 0; in-- {
		for out := len(leavers); out >= 0; out-- {
			next := append(without(members, leavers[:out]), comers[:in]...)
			if len(next) < smallest || len(next)%2 == 0 && len(next) != len(wanted) {
				continue
			}
			if len(next)-len(without(next, answering)) > len(next)/2 {
				return sorted(next)
			}
		}
	}
	return members
}

func sorted(l []units.NodeID) []units.NodeID {
	slices.Sort(l)
	return l
}

// without gives those of a that are not in b.
func without(a, b []units.NodeID) []units.NodeID {
	return slices.DeleteFunc(slices.Clone(a), func(n units.NodeID) bool { return slices.Contains(b, n) })
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
