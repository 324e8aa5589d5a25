package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// A worker may turn cold unseen: in no second does it get more than the fleet's bound, less the margin, however many ask,
// wait and return; a keeper that sees half of the routers lends half; one that takes over counts what each node sent in the
// last second.
func TestRateOfAColdWorker(t *testing.T) {
	for _, x := range []struct {
		part float64
		sent int
		most int
	}{{1, 0, 33}, {0.5, 0, 16}, {1, 30, 3}} {
		g := New(1)
		g.SetRateLimits(1.5, 5, x.part)
		now := units.Time(time.Hour)
		g.SetWorkers(map[string]Worker{"s/w": {Zone: "z", Capacity: 1000, MaxWaiting: 2000, WarmUpRate: 20, QuickTakeover: true}})
		g.SetRouters([]Peer{{Node: 1}}, nil)
		var grants []units.Time
		take := func(o message.Effects) {
			for _, n := range o.Messages {
				if n.Kind == Grant {
					grants = append(grants, now)
				}
			}
		}
		take(g.Tick(now))
		take(g.Step(now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, x.sent)}))
		begun := now
		for i := range uint64(600) {
			h := Header{Tag: i + 1, TimeLeft: 20000, Wait: uint8(i % 2)}
			take(g.Step(now, message.Message{From: 1, Kind: Acquire, Body: Pack(h, "s/w")}))
			if i%3 == 0 {
				take(g.Step(now, message.Message{From: 1, Kind: Release, Body: Pack(Header{Tag: i/2 + 1}, "s/w")}))
			}
			now = now.Add(5 * time.Millisecond)
			take(g.Tick(now))
		}
		most, first := 0, 0
		for i := range grants {
			n := 0
			for _, b := range grants[i:] {
				if b.Sub(grants[i]) <= time.Second {
					n++
				}
			}
			most = max(most, n)
			if grants[i].Sub(begun) <= time.Second {
				first++
			}
		}
		if x.sent == 0 && most != x.most || x.sent > 0 && first > x.most {
			t.Errorf("%+v: %d in some second, %d in the first", x, most, first)
		}
		if len(grants) < 2*x.most {
			t.Errorf("%+v: only %d were lent in three seconds", x, len(grants))
		}
	}
}
