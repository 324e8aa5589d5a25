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
		out.AddError(err)
		if k := g.keeps[name]; err == nil && k != nil && (!k.open || k.late[n.From]) {
			for _, h := range held {
				if p := (permit{n.From, h.Tag}); k.lent[p] == nil {
					k.lent[p] = &loan{until: now.Add(units.Millis(h.TimeLeft).Duration() + grace), since: now, mem: h.MemoryTokens}
					k.mem += int(h.MemoryTokens)
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
		out.AddError(err)
		return out
	}
	k := g.keeps[name]
	if k == nil {
		if n.Kind == Acquire {
			out.Send(n.From, Refusal, Pack(Header{Tag: h.Tag, Reason: ReasonNotCoordinator}, name))
		}
		return out
	}
	switch n.Kind {
	case ReportRequest:
		if n.From != g.self {
			g.moved = true
			if !slices.ContainsFunc(g.routers, func(v Peer) bool { return v.Node == n.From }) {
				g.strange[n.From] = now
			}
			g.cede(name, k, &out) // another has taken the worker over; if views differ, the taking over is repeated
		}
	case Acquire:
		g.asked(now, n.From, name, k, h, &out)
	case Release:
		if l := k.lent[permit{n.From, h.Tag}]; l != nil && h.PrefillTime > 0 {
			k.learn(l.reads, time.Duration(h.PrefillTime)*time.Microsecond)
		}
		g.returned(now, name, k, permit{n.From, h.Tag}, h.Wait == 1, &out)
	}
	return out
}

func (g *Ledger) state(now units.Time, name string, k *keep, h Header) Header {
	h.InUse, h.Capacity = uint16(len(k.lent)), uint16(g.Capacity(now, name))
	h.Wait = uint8(min(255, len(k.list)))
	h.ReleaseInterval = uint16(min(k.gap(max(1, int(h.Capacity)))/time.Millisecond, 65535))
	k.read(now)
	h.PrefillTime = uint32(min(k.backlog(len(k.line))/time.Microsecond, 1<<32-1))
	return h
}

// gap is the mean time between two returned slots.
func (k *keep) gap(capacity int) time.Duration {
	if k.turn == 0 {
		return k.hold / time.Duration(capacity)
	}
	return k.turn
}

func (g *Ledger) asked(now units.Time, from units.NodeID, name string, k *keep, h Header, out *message.Effects) {
	p := permit{from, h.Tag}
	if k.lent[p] != nil {
		out.Send(from, Grant, Pack(g.state(now, name, k, Header{Tag: h.Tag}), name))
		return
	}
	if h.Reason == ReasonNotCoordinator && k.open {
		g.recollect(now, name, k, out)
	}
	left := units.Millis(h.TimeLeft).Duration()
	wait := k.gap(max(1, g.Capacity(now, name)))
	for i, a := range k.list {
		if a.permit == p {
			out.Send(from, Queued, Pack(g.state(now, name, k, Header{Tag: h.Tag, TimeLeft: uint32(units.ToMillis(wait * time.Duration(i+1)))}), name))
			return
		}
	}
	r := Header{Tag: h.Tag}
	c := g.Capacity(now, name)
	if c == 0 {
		r.Reason = ReasonClosed
		out.Send(from, Refusal, Pack(g.state(now, name, k, r), name))
		return
	}
	w := g.workers[name]
	me := ask{permit: p, until: now.Add(left), worth: h.Worth, read: time.Duration(h.PrefillTime) * time.Microsecond, urge: h.Priority, mem: h.MemoryTokens, since: now}
	late, pace := k.words(now, me), k.due(now, g.rate(now, w))
	busy := h.Wait == 0 && h.MaxFirstTokenTime > 0 && late > units.Millis(h.MaxFirstTokenTime).Duration()
	if k.open && len(k.lent) < c && len(k.list) == 0 && !busy && pace == 0 && k.fits(w, me.mem) {
		g.lend(now, name, k, me, out)
		return
	}
	at, yield := g.place(now, name, k, me)
	due := wait * time.Duration(at+1)
	if len(k.lent)+at < c {
		due = max(pace, late) // a slot is free for it: only the reports, the rate or the reading are waited for
	}
	if !k.open && !w.QuickTakeover {
		due = max(due, k.holdTil().Sub(now))
	}
	r.TimeLeft = uint32(units.ToMillis(due))
	switch {
	case len(k.list)-len(yield) >= w.MaxWaiting:
		r.Reason = ReasonQueueFull
	case due+w.FirstTokenTime > left:
		r.Reason = ReasonTooLate
	case h.Wait == 0:
		r.Reason = ReasonBusy
	}
	if r.Reason != 0 {
		out.Send(from, Refusal, Pack(g.state(now, name, k, r), name))
		return
	}
	for _, a := range yield {
		k.list = slices.DeleteFunc(k.list, func(b ask) bool { return a.permit == b.permit })
		out.Send(a.node, Refusal, Pack(g.state(now, name, k, Header{Tag: a.tag, Reason: ReasonQueueFull}), name))
	}
	k.list = slices.Insert(k.list, at, me)
	out.Send(from, Queued, Pack(g.state(now, name, k, r), name))
}

func (g *Ledger) lend(now units.Time, name string, k *keep, a ask, out *message.Effects) {
	k.lent[a.permit] = &loan{until: a.until.Add(grace), since: now, mem: a.mem, reads: a.read}
	if k.read(now); len(k.line) > 0 {
		k.lent[a.permit].reads = 0 // behind others its time tells nothing of the speed
	}
	k.granted(now, g.workers[name], a)
	k.waitSum += now.Sub(a.since)
	k.waitN++
	out.Send(a.node, Grant, Pack(g.state(now, name, k, Header{Tag: a.tag}), name))
}

// serve lends free slots to the earliest deadlines. What can no longer be met is told so at once, wherever
// it stands in the list: nothing is held back until its time has run out.
func (g *Ledger) serve(now units.Time, name string, k *keep, out *message.Effects) {
	w := g.workers[name]
	c := g.Capacity(now, name)
	for c > 0 && k.open && len(k.list) > 0 && len(k.lent) < c {
		a := k.list[0]
		if a.until < now.Add(w.FirstTokenTime) || k.due(now, g.rate(now, w)) > 0 || !k.fits(w, a.mem) {
			break
		}
		k.list = k.list[1:]
		g.lend(now, name, k, a, out)
	}
	gap, left := k.gap(max(1, c)), k.list[:0:0]
	shed := func(a ask, reason uint8, due time.Duration) {
		out.Send(a.node, Refusal, Pack(g.state(now, name, k, Header{Tag: a.tag, Reason: reason, TimeLeft: uint32(units.ToMillis(due))}), name))
	}
	for _, a := range k.list {
		late := func() bool {
			return len(left) > 0 && a.until < now.Add(gap*time.Duration(len(left)+1)+w.FirstTokenTime)
		}
		if c == 0 {
			shed(a, ReasonClosed, 0)
			continue
		}
		for late() {
			i := least(left, a.worth, len(left))
			if i < 0 {
				break
			}
			shed(left[i], ReasonTooLate, gap*time.Duration(len(left)+1))
			left = slices.Delete(left, i, i+1)
		}
		if a.until < now.Add(w.FirstTokenTime) || late() {
			shed(a, ReasonTooLate, gap*time.Duration(len(left)+1))
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

// WorkerStatus describes one worker in this node's keeping, for status and tests.
type WorkerStatus struct {
	Worker   string
	Open     bool
	InUse    int
	Capacity int
	Waiting  int
}

// Status lists all that this node keeps.
func (g *Ledger) Status(now units.Time) []WorkerStatus {
	var l []WorkerStatus
	for n, k := range g.keeps {
		l = append(l, WorkerStatus{n, k.open, len(k.lent), g.Capacity(now, n), len(k.list)})
	}
	slices.SortFunc(l, func(a, b WorkerStatus) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return l
}
