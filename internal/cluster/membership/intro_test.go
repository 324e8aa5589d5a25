package membership

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// A first word to an address that may hear nothing bears this node and what is held of whoever lived there, not the
// whole table; and two sides of a cut, each of which gave the other up, still come to know all within a few seconds.
func TestIntroductionsHealACut(t *testing.T) {
	const n = 12
	ms, at, now := map[units.NodeID]*Gossip{}, map[string]units.NodeID{}, units.Time(1e10)
	var ids []units.NodeID
	for i := units.NodeID(1); i <= n; i++ {
		ids = append(ids, i)
		at[member(i).Addr] = i
	}
	for _, i := range ids {
		ms[i] = grown(i, ids...)
	}
	side := func(i units.NodeID) bool { return i <= n/2 }
	for _, m := range ms {
		for _, x := range m.all {
			if side(x.Node) != side(m.Self) {
				m.set(x, Dead, now)
			}
		}
		for range 100 {
			m.pack(0, 0, false)
		}
	}
	now = now.Add(time.Minute)
	intros, most := 0, 0
	var deliver func(from units.NodeID, out message.Effects)
	deliver = func(from units.NodeID, out message.Effects) {
		for _, x := range out.Messages {
			x.From = from
			if x.Addr != "" {
				x.To = at[x.Addr]
				_, l, err := unpack(x.Body)
				if err != nil {
					t.Fatal(err)
				}
				intros, most = intros+1, max(most, len(l))
			}
			deliver(x.To, ms[x.To].Step(now, x))
		}
	}
	took := 0
	for left := true; left && took < 200; took++ {
		now = now.Add(50 * time.Millisecond)
		for _, i := range ids {
			deliver(i, ms[i].Tick(now))
		}
		left = false
		for _, m := range ms {
			left = left || len(m.Live(Router)) != n
		}
	}
	if intros == 0 || most > 2 {
		t.Errorf("%d introductions, the longest of %d members", intros, most)
	}
	if took > 60 {
		t.Errorf("all know all only after %d ticks of 50 ms", took)
	}
}
