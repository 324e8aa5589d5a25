package capacity

import (
	"cmp"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// permits lists what is lent, in order.
func (k *keep) permits() []permit {
	l := make([]permit, 0, len(k.lent))
	for p := range k.lent {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b permit) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.tag, b.tag)) })
	return l
}

// audit asks holders about permits that have been out for a while; they return what they don't know.
func (g *Ledger) audit(now units.Time, out *message.Effects) {
	for _, name := range message.SortedKeys(g.keeps) {
		k := g.keeps[name]
		by := map[units.NodeID][]HeldPermit{}
		for _, p := range k.permits() {
			if now.Sub(k.lent[p].since) >= audit {
				by[p.node] = append(by[p.node], HeldPermit{Tag: p.tag})
			}
		}
		for _, n := range message.SortedKeys(by) {
			out.Send(n, Audit, PackReport(name, by[n], 0))
		}
	}
}

// adapt is the optional AIMD, keyed on waiting time only.
func (g *Ledger) adapt(now units.Time, name string, k *keep) {
	w := g.workers[name]
	if !w.Adaptive || now.Sub(k.adapted) < adaptGap {
		return
	}
	k.adapted = now
	if k.cap == 0 {
		k.cap = float64(w.Capacity)
	}
	if k.waitN > 0 && k.waitSum/time.Duration(k.waitN) > w.TargetWait {
		k.cap = max(float64(w.MinCapacity), k.cap*0.8)
	} else {
		k.cap = min(float64(w.Capacity), k.cap+1)
	}
	k.waitSum, k.waitN = 0, 0
}

// latecomers asks routers that came into view after the book was opened what they hold. A newcomer holds nothing; but
// this node may be the newcomer, and have opened its book while it knew few of the others.
func (g *Ledger) latecomers(now units.Time, name string, k *keep, out *message.Effects) {
	if len(k.late) == 0 || now.Sub(k.sent) < reask {
		return
	}
	k.sent = now
	live := g.live(now)
	for _, n := range message.SortedKeys(k.late) {
		if !slices.Contains(live, n) {
			delete(k.late, n)
			continue
		}
		out.Send(n, ReportRequest, Pack(Header{}, name))
	}
}

// holdTil is when the last silent node's runs are over.
func (k *keep) holdTil() (t units.Time) {
	for _, x := range k.silent {
		t = max(t, x)
	}
	return t
}
