package capacity

import (
	"cmp"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// sortedPermits returns the granted permits, sorted by node and tag.
func (s *workerState) sortedPermits() []permitKey {
	l := make([]permitKey, 0, len(s.granted))
	for p := range s.granted {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b permitKey) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.tag, b.tag)) })
	return l
}

// sendAudits sends the holders a list of their permits older than auditInterval. They release those that they don't know.
func (g *Ledger) sendAudits(now units.Time, out *message.Effects) {
	for _, name := range message.SortedKeys(g.coordinated) {
		state := g.coordinated[name]
		by := map[units.NodeID][]HeldPermit{}
		for _, p := range state.sortedPermits() {
			if now.Sub(state.granted[p].grantedAt) >= auditInterval {
				by[p.node] = append(by[p.node], HeldPermit{Tag: p.tag})
			}
		}
		for _, n := range message.SortedKeys(by) {
			out.Send(n, Audit, PackReport(name, by[n], 0))
		}
	}
}

// adaptCapacity is the optional additive increase, multiplicative decrease of the capacity, driven by waiting time only.
func (g *Ledger) adaptCapacity(now units.Time, name string, state *workerState) {
	worker := g.workers[name]
	if !worker.Adaptive || now.Sub(state.adaptedAt) < adaptInterval {
		return
	}
	state.adaptedAt = now
	if state.adaptiveCapacity == 0 {
		state.adaptiveCapacity = float64(worker.Capacity)
	}
	if state.waitCount > 0 && state.waitSum/time.Duration(state.waitCount) > worker.TargetWait {
		state.adaptiveCapacity = max(float64(worker.MinCapacity), state.adaptiveCapacity*0.8)
	} else {
		state.adaptiveCapacity = min(float64(worker.Capacity), state.adaptiveCapacity+1)
	}
	state.waitSum, state.waitCount = 0, 0
}

// queryLateRouters requests reports from routers that appeared after the state was opened. A router that just started holds
// nothing, but this router may be the one that just started, and may have opened while it knew only few of the others.
func (g *Ledger) queryLateRouters(now units.Time, name string, state *workerState, out *message.Effects) {
	if len(state.lateRouters) == 0 || now.Sub(state.reportsRequestedAt) < reportRetryInterval {
		return
	}
	state.reportsRequestedAt = now
	live := g.liveRouters(now)
	for _, n := range message.SortedKeys(state.lateRouters) {
		if !slices.Contains(live, n) {
			delete(state.lateRouters, n)
			continue
		}
		out.Send(n, ReportRequest, Pack(Header{}, name))
	}
}

// unreachableDeadline returns when the runs of all unreachable routers are over.
func (s *workerState) unreachableDeadline() (t units.Time) {
	for _, x := range s.unreachableUntil {
		t = max(t, x)
	}
	return t
}
