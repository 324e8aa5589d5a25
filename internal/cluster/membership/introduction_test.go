package membership

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// A first message to an address that may not receive it carries this node and the member known there, not the full table.
// After a partition in which each side declared the other dead, all nodes still learn of all others within seconds.
func TestIntroductionsHealAPartition(t *testing.T) {
	const n = 12
	nodes, byAddr, now := map[units.NodeID]*Gossip{}, map[string]units.NodeID{}, units.Time(1e10)
	var ids []units.NodeID
	for i := units.NodeID(1); i <= n; i++ {
		ids = append(ids, i)
		byAddr[newMember(i).Addr] = i
	}
	for _, i := range ids {
		nodes[i] = newGossip(i, ids...)
	}
	side := func(i units.NodeID) bool { return i <= n/2 }
	for _, m := range nodes {
		for _, x := range m.members {
			if side(x.Node) != side(m.Self) {
				m.setState(x, Dead, now)
			}
		}
		for range 100 {
			m.encode(0, 0, false)
		}
	}
	now = now.Add(time.Minute)
	intros, longest := 0, 0
	var deliver func(from units.NodeID, out message.Effects)
	deliver = func(from units.NodeID, out message.Effects) {
		for _, x := range out.Messages {
			x.From = from
			if x.Addr != "" {
				x.To = byAddr[x.Addr]
				_, l, err := decode(x.Body)
				if err != nil {
					t.Fatal(err)
				}
				intros, longest = intros+1, max(longest, len(l))
			}
			deliver(x.To, nodes[x.To].Step(now, x))
		}
	}
	ticks := 0
	for incomplete := true; incomplete && ticks < 200; ticks++ {
		now = now.Add(50 * time.Millisecond)
		for _, i := range ids {
			deliver(i, nodes[i].Tick(now))
		}
		incomplete = false
		for _, m := range nodes {
			incomplete = incomplete || len(m.Live(Router)) != n
		}
	}
	if intros == 0 || longest > 2 {
		t.Errorf("%d introductions, the longest of %d members", intros, longest)
	}
	if ticks > 60 {
		t.Errorf("the tables are complete only after %d ticks of 50 ms", ticks)
	}
}
