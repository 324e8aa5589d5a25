package register

import "seamshunt/internal/units"

// seatUnknown is the end of a seat that nothing is known of: a time that has passed already.
const seatUnknown = units.Time(1)

// canReplace says whether the set could go on without one of its members: another could take its seat, or the set may get
// smaller.
func (p *Planner) canReplace(q QuorumSet, view ControllerView) bool {
	return q.Joint() || len(q.Members) > max(p.FixedSize, p.MinSize) || len(view.others(q)) > 0
}

// SeatValidUntil says till when a member that a majority last answered at heard surely still has its seat; zero: nobody could
// take it as far as this node knows. The others wait ReplaceAfter before they replace a member, and a newcomer does
// nothing by its seat for a lease's term, which together is longer. One that no majority has answered since its start
// can't know what has happened to its seat.
func (p *Planner) SeatValidUntil(heard units.Time, known bool) units.Time {
	switch {
	case !known:
		return seatUnknown
	case p.changeable < heard:
		return 0
	}
	return heard.Add(reachFor)
}
