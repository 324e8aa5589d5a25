package register

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// doubtful says whether an owner that was superseded unaware could refuse this request wrongly: another may have written,
// under an epoch that this owner has not met, the number that it builds on, or the request itself. Then a majority confirms
// the epoch first. The other refusals need no such round: the number that the request would have got was chosen for another.
// Nor does an OK out of the table: what stands in the table of a chosen value was chosen with it (design 2).
func (a *Request) doubtful(newest units.Version, outcomes Outcomes) bool {
	if a.sure || a.ExpectedVersion == AnyVersion || !a.Lookup && a.ExpectedVersion <= newest {
		return false
	}
	_, known := outcomes.find(fingerprintOf(a.RequestID), newest)
	return !known
}

// settled answers a write that is not to be made: it was made before, or can't be made any more.
func (a *Request) settled(newest units.Version, outcomes Outcomes) (resultcode.Code, units.Version, bool) {
	if num, known := outcomes.find(fingerprintOf(a.RequestID), newest); known {
		return resultcode.OK, num, true
	}
	if a.Lookup || a.ExpectedVersion != AnyVersion && a.ExpectedVersion != newest {
		return outcomes.absent(a.ExpectedVersion+1, newest), newest, true
	}
	return 0, 0, false
}

// confirm asks a majority whether the owner's epoch still stands.
func (b *Replica) confirm(now units.Time, o *ownership, out *message.Effects) {
	b.tag++
	o.phase, o.tag, o.got, o.sent = confirming, b.tag, map[units.NodeID]bool{}, now
	b.spread(o, Confirm, head{Tag: o.tag}, nil, out)
}

// serve begins the next wish; one at a time for each key.
func (b *Replica) serve(now units.Time, o *ownership, out *message.Effects) {
	for len(o.asks) > 0 {
		a := o.asks[0]
		outcomes, _, err := unpackBody(o.best.Version, o.best.Body)
		out.AddError(err) // never: it was checked when it came in
		if !a.Write || a.doubtful(o.best.Version, outcomes) {
			o.asks[0].sure = true
			b.confirm(now, o, out)
			return
		}
		o.asks = o.asks[1:]
		if code, num, ok := a.settled(o.best.Version, outcomes); ok {
			b.reply(a, code, num, nil, out)
			continue
		}
		body := packBody(outcomes.with(fingerprintOf(a.RequestID)), a.Data)
		b.write(now, o, State{Seq: o.best.Seq + 1, Version: o.best.Version + 1, Body: body}, &a, out)
		return
	}
}
