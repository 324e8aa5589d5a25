package register

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// needsConfirmation reports whether a majority must confirm the epoch first, because an owner that was superseded
// without noticing could refuse this request wrongly. Another owner may have written the expected version, or the
// request itself, under an epoch that this one has not seen.
//
// Other refusals need no confirmation: the version that the request would have got was chosen for another request.
// Nor does an OK from the outcome table: the table was chosen together with its value (docs/design.md, section 2).
func (r *Request) needsConfirmation(newest units.Version, outcomes Outcomes) bool {
	if r.epochConfirmed || r.ExpectedVersion == AnyVersion || !r.Lookup && r.ExpectedVersion <= newest {
		return false
	}
	_, known := outcomes.find(fingerprintOf(r.RequestID), newest)
	return !known
}

// resolvedOutcome returns the answer to a write that is not to be applied, because it was applied before or can't be
// any more.
func (r *Request) resolvedOutcome(newest units.Version, outcomes Outcomes) (resultcode.Code, units.Version, bool) {
	if version, known := outcomes.find(fingerprintOf(r.RequestID), newest); known {
		return resultcode.OK, version, true
	}
	if r.Lookup || r.ExpectedVersion != AnyVersion && r.ExpectedVersion != newest {
		return outcomes.absentCode(r.ExpectedVersion+1, newest), newest, true
	}
	return 0, 0, false
}

// confirm starts a round that checks with a majority that the owner's epoch is still the highest.
func (b *Replica) confirm(now units.Time, o *ownership, out *message.Effects) {
	b.lastTag++
	o.phase, o.confirmTag, o.acks, o.sentAt = confirming, b.lastTag, map[units.NodeID]bool{}, now
	b.broadcast(o, Confirm, header{Tag: o.confirmTag}, nil, out)
}

// serveNext starts the next queued request; each key serves one at a time.
func (b *Replica) serveNext(now units.Time, o *ownership, out *message.Effects) {
	for len(o.queue) > 0 {
		request := o.queue[0]
		outcomes, _, err := unpackBody(o.current.Version, o.current.Body)
		out.AddError(err) // unreachable: the body was validated when it was received
		if !request.Write || request.needsConfirmation(o.current.Version, outcomes) {
			o.queue[0].epochConfirmed = true
			b.confirm(now, o, out)
			return
		}
		o.queue = o.queue[1:]
		if code, version, ok := request.resolvedOutcome(o.current.Version, outcomes); ok {
			b.reply(request, code, version, nil, out)
			continue
		}
		body := packBody(outcomes.appended(fingerprintOf(request.RequestID)), request.Data)
		b.propose(now, o, State{Seq: o.current.Seq + 1, Version: o.current.Version + 1, Body: body}, &request, out)
		return
	}
}
