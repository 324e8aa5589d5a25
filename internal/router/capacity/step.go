package capacity

import (
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Step takes one note for the keeper.
func (g *Ledger) Step(now units.Time, n message.Message) (out message.Effects) {
	if n.Kind == Report {
		name, held, sent, err := UnpackReport(n.Body)
		out.Fail(err)
		if k := g.keeps[name]; err == nil && k != nil && (!k.open || k.late[n.From]) {
			for _, h := range held {
				if p := (permit{n.From, h.Tag}); k.lent[p] == nil {
					k.lent[p] = &loan{until: now.Add(units.Millis(h.Left).Span() + grace), since: now, mem: h.Mem}
					k.mem += int(h.Mem)
				}
			}
			for range sent {
				k.ring = append(k.ring, now)
			}
			delete(k.need, n.From)
			if delete(k.late, n.From); k.open {
				return out
			}
			g.collect(now, name, k, &out)
		}
		return out
	}
	h, name, err := Unpack(n.Body)
	if err != nil {
		out.Fail(err)
		return out
	}
	k := g.keeps[name]
	if k == nil {
		if n.Kind == Ask {
			out.Send(n.From, No, Pack(Head{Tag: h.Tag, Reason: NotKeeper}, name))
		}
		return out
	}
	switch n.Kind {
	case ReportAsk:
		if n.From != g.self {
			g.moved = true
			if !slices.ContainsFunc(g.routers, func(v Peer) bool { return v.Node == n.From }) {
				g.strange[n.From] = now
			}
			g.cede(name, k, &out) // another has taken the worker over; if views differ, the taking over is repeated
		}
	case Ask:
		g.asked(now, n.From, name, k, h, &out)
	case Return:
		if l := k.lent[permit{n.From, h.Tag}]; l != nil && h.Read > 0 {
			k.learn(l.reads, time.Duration(h.Read)*time.Microsecond)
		}
		g.returned(now, name, k, permit{n.From, h.Tag}, h.Wait == 1, &out)
	}
	return out
}

func (g *Ledger) state(now units.Time, name string, k *keep, h Head) Head {
	h.Lent, h.Cap = uint16(len(k.lent)), uint16(g.Cap(now, name))
	h.Wait = uint8(min(255, len(k.list)))
	h.Turn = uint16(min(k.gap(max(1, int(h.Cap)))/time.Millisecond, 65535))
	k.read(now)
	h.Read = uint32(min(k.backlog(len(k.line))/time.Microsecond, 1<<32-1))
	return h
}

// gap is the mean time between two returned slots.
func (k *keep) gap(capacity int) time.Duration {
	if k.turn == 0 {
		return k.hold / time.Duration(capacity)
	}
	return k.turn
}

func (g *Ledger) asked(now units.Time, from units.Node, name string, k *keep, h Head, out *message.Effects) {
	p := permit{from, h.Tag}
	if k.lent[p] != nil {
		out.Send(from, Grant, Pack(g.state(now, name, k, Head{Tag: h.Tag}), name))
		return
	}
	if h.Reason == NotKeeper && k.open {
		g.recollect(now, name, k, out)
	}
	left := units.Millis(h.Left).Span()
	wait := k.gap(max(1, g.Cap(now, name)))
	for i, a := range k.list {
		if a.permit == p {
			out.Send(from, Waiting, Pack(g.state(now, name, k, Head{Tag: h.Tag, Left: uint32(units.ToMillis(wait * time.Duration(i+1)))}), name))
			return
		}
	}
	r := Head{Tag: h.Tag}
	c := g.Cap(now, name)
	if c == 0 {
		r.Reason = Closed
		out.Send(from, No, Pack(g.state(now, name, k, r), name))
		return
	}
	w := g.workers[name]
	me := ask{permit: p, until: now.Add(left), worth: h.Worth, read: time.Duration(h.Read) * time.Microsecond, urge: h.Urgent, mem: h.Mem, since: now}
	late, pace := k.words(now, me), k.due(now, g.rate(now, w))
	busy := h.Wait == 0 && h.Soon > 0 && late > units.Millis(h.Soon).Span()
	if k.open && len(k.lent) < c && len(k.list) == 0 && !busy && pace == 0 && k.fits(w, me.mem) {
		g.lend(now, name, k, me, out)
		return
	}
	at, yield := g.place(now, name, k, me)
	due := wait * time.Duration(at+1)
	if len(k.lent)+at < c {
		due = max(pace, late) // a slot is free for it: only the reports, the rate or the reading are waited for
	}
	if !k.open && !w.Lax {
		due = max(due, k.holdTil().Sub(now))
	}
	r.Left = uint32(units.ToMillis(due))
	switch {
	case len(k.list)-len(yield) >= w.Bound:
		r.Reason = Full
	case due+w.First > left:
		r.Reason = Late
	case h.Wait == 0:
		r.Reason = Busy
	}
	if r.Reason != 0 {
		out.Send(from, No, Pack(g.state(now, name, k, r), name))
		return
	}
	for _, a := range yield {
		k.list = slices.DeleteFunc(k.list, func(b ask) bool { return a.permit == b.permit })
		out.Send(a.node, No, Pack(g.state(now, name, k, Head{Tag: a.tag, Reason: Full}), name))
	}
	k.list = slices.Insert(k.list, at, me)
	out.Send(from, Waiting, Pack(g.state(now, name, k, r), name))
}

func (g *Ledger) lend(now units.Time, name string, k *keep, a ask, out *message.Effects) {
	k.lent[a.permit] = &loan{until: a.until.Add(grace), since: now, mem: a.mem, reads: a.read}
	if k.read(now); len(k.line) > 0 {
		k.lent[a.permit].reads = 0 // behind others its time tells nothing of the speed
	}
	k.granted(now, g.workers[name], a)
	k.waitSum += now.Sub(a.since)
	k.waitN++
	out.Send(a.node, Grant, Pack(g.state(now, name, k, Head{Tag: a.tag}), name))
}

// serve lends free slots to the earliest deadlines. What can no longer be met is told so at once, wherever
// it stands in the list: nothing is held back until its time has run out.
func (g *Ledger) serve(now units.Time, name string, k *keep, out *message.Effects) {
	w := g.workers[name]
	c := g.Cap(now, name)
	for c > 0 && k.open && len(k.list) > 0 && len(k.lent) < c {
		a := k.list[0]
		if a.until < now.Add(w.First) || k.due(now, g.rate(now, w)) > 0 || !k.fits(w, a.mem) {
			break
		}
		k.list = k.list[1:]
		g.lend(now, name, k, a, out)
	}
	gap, left := k.gap(max(1, c)), k.list[:0:0]
	shed := func(a ask, reason uint8, due time.Duration) {
		out.Send(a.node, No, Pack(g.state(now, name, k, Head{Tag: a.tag, Reason: reason, Left: uint32(units.ToMillis(due))}), name))
	}
	for _, a := range k.list {
		late := func() bool { return len(left) > 0 && a.until < now.Add(gap*time.Duration(len(left)+1)+w.First) }
		if c == 0 {
			shed(a, Closed, 0)
			continue
		}
		for late() {
			i := least(left, a.worth, len(left))
			if i < 0 {
				break
			}
			shed(left[i], Late, gap*time.Duration(len(left)+1))
			left = slices.Delete(left, i, i+1)
		}
		if a.until < now.Add(w.First) || late() {
			shed(a, Late, gap*time.Duration(len(left)+1))
			continue
		}
		left = append(left, a)
	}
	k.list = left
}

func (g *Ledger) returned(now units.Time, name string, k *keep, p permit, unsure bool, out *message.Effects) {
	k.list = slices.DeleteFunc(k.list, func(a ask) bool { return a.permit == p })
	l := k.lent[p]
	if l == nil || unsure {
		return // an unsure run keeps its slot till its own end
	}
	k.drop(p)
	k.hold = ewma(k.hold, now.Sub(l.since))
	if busy := len(k.list) > 0; busy && k.back != 0 {
		k.turn = ewma(k.turn, min(now.Sub(k.back), 5*time.Second))
	}
	k.back = now
	if k.open {
		g.serve(now, name, k, out)
	}
}

// drop takes a permit out of the book.
func (k *keep) drop(p permit) {
	if l := k.lent[p]; l != nil {
		k.mem -= int(l.mem)
		delete(k.lent, p)
	}
}

func ewma(old, x time.Duration) time.Duration {
	if old == 0 {
		return x
	}
	return (7*old + x) / 8
}

// Kept describes one worker in this node's keeping, for status and tests.
type Kept struct {
	Worker  string
	Open    bool
	Lent    int
	Cap     int
	Waiting int
}

// Kept lists all that this node keeps.
func (g *Ledger) Kept(now units.Time) []Kept {
	var l []Kept
	for n, k := range g.keeps {
		l = append(l, Kept{n, k.open, len(k.lent), g.Cap(now, n), len(k.list)})
	}
	slices.SortFunc(l, func(a, b Kept) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return l
}
