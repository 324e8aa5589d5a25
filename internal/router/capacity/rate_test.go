package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// A worker may restart unnoticed, so it never gets more requests in one second than a warming-up worker's limit, less the
// margin, whatever mix of requests and releases comes. A coordinator that knows half of the routers grants half of that, and
// a new coordinator counts what each router sent in the last second.
func TestRateOfAWarmingUpWorker(t *testing.T) {
	for _, x := range []struct {
		share float64
		sent  int
		limit int
	}{{1, 0, 33}, {0.5, 0, 16}, {1, 30, 3}} {
		g := New(1)
		g.SetRateLimits(1.5, 5, x.share)
		now := units.Time(time.Hour)
		g.SetWorkers(map[string]Worker{"s/w": {Zone: "z", Capacity: 1000, MaxWaiting: 2000, WarmUpRate: 20, QuickTakeover: true}})
		g.SetRouters([]Peer{{Node: 1}}, nil)
		var grants []units.Time
		collect := func(o message.Effects) {
			for _, n := range o.Messages {
				if n.Kind == Grant {
					grants = append(grants, now)
				}
			}
		}
		collect(g.Tick(now))
		collect(g.Step(now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, x.sent)}))
		start := now
		for i := range uint64(600) {
			h := Header{Tag: i + 1, TimeLeft: 20000, Wait: uint8(i % 2)}
			collect(g.Step(now, message.Message{From: 1, Kind: Acquire, Body: Pack(h, "s/w")}))
			if i%3 == 0 {
				collect(g.Step(now, message.Message{From: 1, Kind: Release, Body: Pack(Header{Tag: i/2 + 1}, "s/w")}))
			}
			now = now.Add(5 * time.Millisecond)
			collect(g.Tick(now))
		}
		busiest, first := 0, 0
		for i := range grants {
			n := 0
			for _, b := range grants[i:] {
				if b.Sub(grants[i]) <= time.Second {
					n++
				}
			}
			busiest = max(busiest, n)
			if grants[i].Sub(start) <= time.Second {
				first++
			}
		}
		if x.sent == 0 && busiest != x.limit || x.sent > 0 && first > x.limit {
			t.Errorf("%+v: %d granted in the busiest second, %d in the first", x, busiest, first)
		}
		if len(grants) < 2*x.limit {
			t.Errorf("%+v: only %d granted in three seconds", x, len(grants))
		}
	}
}
