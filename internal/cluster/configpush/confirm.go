package configpush

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// alone is how long a starting node waits for a barometer before serving neighbours may vouch instead (start).
const alone = 3 * time.Second

// freshFor is how long a digest heard from a neighbour counts: it may have moved on since (start).
const freshFor = 2 * time.Second

// Confirm says whether a starting or woken node may serve: a majority of the voters have vouched that nothing newer
// than its news stands or, with the core away, a majority of the serving neighbours have. Until then it asks (design 4).
func (b *Feed) Confirm(now units.Time, all []membership.Member, self units.Node, voters []units.Node, began units.Time) (ok bool, out message.Effects) {
	core, peers := Neighbours(all, self)
	ok = len(voters) > 0 && b.confirmed(voters)
	if !ok && len(core) == 0 && now.Sub(began) > alone && len(peers) > 0 {
		ok = b.confirmed(peers)
	}
	if !ok && now.Sub(b.vouchAsked) > 100*time.Millisecond {
		b.vouchAsked = now
		for _, n := range append(core, peers...) {
			out.Send(n, Vouch, nil)
		}
	}
	return ok, out
}

// Neighbours lists the live barometers, and the live vanes that serve.
func Neighbours(all []membership.Member, self units.Node) (core, peers []units.Node) {
	for _, m := range all {
		switch {
		case m.State > membership.Suspect || m.Node == self:
		case m.Role == membership.Controller:
			core = append(core, m.Node)
		case m.Flags&membership.Ready != 0:
			peers = append(peers, m.Node)
		}
	}
	return core, peers
}

// confirmed says whether a majority of voters have vouched and nothing they hold is newer than the news here.
func (b *Feed) confirmed(voters []units.Node) bool {
	k := 0
	for _, n := range voters {
		m, ok := b.Vouch[n]
		if !ok {
			continue
		}
		k++
		for key, x := range m {
			if it := b.Items[key]; key != "voters" && (it == nil || it.Num < x) {
				return false
			}
		}
	}
	return k > len(voters)/2
}

// Beat pushes on what is on its way, and asks neighbours whose digest differs for what is lacking (design 4). A digest
// that was told before this node's own news last changed says nothing: who told it has, as a rule, changed as well.
func (b *Feed) Beat(now units.Time, all []membership.Member, self units.Node) message.Effects {
	var live []units.Node
	for _, m := range all {
		if m.State <= membership.Suspect && m.Node != self {
			live = append(live, m.Node)
		}
	}
	out := b.Tick(now, live)
	if b.Sum != b.seen {
		b.seen, b.moved = b.Sum, now
	}
	for _, m := range all {
		if m.State == membership.Alive && m.Node != self && m.News != 0 && m.News != b.Sum && m.Heard > b.moved && now.Sub(m.Heard) < freshFor {
			out.Join(b.Behind(now, m.Node))
		}
	}
	return out
}
