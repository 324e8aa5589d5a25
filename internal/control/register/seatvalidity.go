package register

import "seamshunt/internal/units"

// seatUnknown is the expiry of a voting seat about which nothing is known: a time in the past.
const seatUnknown = units.Time(1)

// canReplace reports whether the set could continue without one of its members, because another replica could take
// the voting seat or the set may shrink.
func (p *Planner) canReplace(q QuorumSet, view ControllerView) bool {
	return q.Joint() || len(q.Members) > max(p.FixedSize, p.MinSize) || len(view.nonMembers(q)) > 0
}

// SeatValidUntil returns until when a member certainly still has its voting seat, if a majority last answered it at
// lastContact. Zero means without limit: as far as this node knows, no other replica could take the seat. Otherwise
// the limit is safe because the others wait ReplaceAfter before they replace a member, and a new member does not use
// its seat for a lease term; together that is longer. A member that no majority has answered since its start can't
// know whether it still has its seat.
func (p *Planner) SeatValidUntil(lastContact units.Time, known bool) units.Time {
	switch {
	case !known:
		return seatUnknown
	case p.replaceableAt < lastContact:
		return 0
	}
	return lastContact.Add(reachabilityTimeout)
}
