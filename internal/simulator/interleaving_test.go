package simulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/lease"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// Two that stand for one duty at once never both hold it.
func TestInterleavingsOfLeaseVotes(t *testing.T) {
	won := 0
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		now := units.Time(5 * time.Second)
		m := map[units.NodeID]*lease.Lease{}
		for _, x := range threeNodes {
			y := lease.New(x, "d", func() []units.NodeID { return threeNodes }, 0, rand.New(rand.NewPCG(uint64(x), 1)))
			m[x] = y
			b.handlers[x] = func(k message.Message) message.Effects { return y.Step(now, k) }
		}
		b.send(1, m[1].Tick(now, true))
		b.send(2, m[2].Tick(now, true))
		b.deliverAll(choose, func() {
			if m[1].Holds(now) && m[2].Holds(now) {
				t.Fatal("two hold one duty")
			}
		})
		if m[1].Holds(now) || m[2].Holds(now) {
			won++
		}
	})
	if n < 500 || won == 0 {
		t.Errorf("%d orders, won in %d", n, won)
	}
}

// Half the votes each must not last: a lost round gives its votes back, and one of the two wins in the end.
func TestSplitVoteEnds(t *testing.T) {
	four := []units.NodeID{1, 2, 3, 4}
	for seed := range uint64(50) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		now := units.Time(5 * time.Second)
		m := map[units.NodeID]*lease.Lease{}
		for _, x := range four {
			y := lease.New(x, "d", func() []units.NodeID { return four }, 0, rand.New(rand.NewPCG(seed, uint64(x))))
			m[x] = y
			b.handlers[x] = func(k message.Message) message.Effects { return y.Step(now, k) }
		}
		// The two stand at the same moment, and each reaches two voters first.
		one, two := m[1].Tick(now, true), m[2].Tick(now, true)
		b.send(1, message.Effects{Messages: []message.Message{one.Messages[0], one.Messages[2]}})
		b.send(2, message.Effects{Messages: []message.Message{two.Messages[1], two.Messages[3]}})
		b.send(1, message.Effects{Messages: []message.Message{one.Messages[1], one.Messages[3]}})
		b.send(2, message.Effects{Messages: []message.Message{two.Messages[0], two.Messages[2]}})
		b.deliverAll(func(int) int { return 0 }, func() {})
		if m[1].Holds(now) || m[2].Holds(now) {
			t.Fatal("this round was to be split")
		}
		held := false
		for range 200 {
			now = now.Add(25 * time.Millisecond)
			for _, x := range four[:2] {
				b.send(x, m[x].Tick(now, true))
			}
			b.deliverAll(func(int) int { return 0 }, func() {})
			held = held || m[1].Holds(now) || m[2].Holds(now)
		}
		if !held {
			t.Fatalf("seed %d: nobody ever won", seed)
		}
	}
}

// Two copies of one request claim its key by way of two nodes: never both get it.
func TestInterleavingsOfClaims(t *testing.T) {
	won := 0
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		m := map[units.NodeID]*idempotency.Claimant{}
		for _, x := range threeNodes {
			y := idempotency.New(x, 0)
			y.Tick(units.Time(time.Minute), nil, time.Second) // takes part
			m[x] = y
			b.handlers[x] = func(k message.Message) message.Effects { return y.Step(0, k) }
		}
		b.send(1, m[1].Claim(0, 11, "k", threeNodes))
		b.send(2, m[2].Claim(0, 22, "k", threeNodes))
		b.deliverAll(choose, func() {})
		k := 0
		for _, x := range m {
			for _, r := range x.Results {
				if r.Code == resultcode.OK {
					k++
				}
			}
		}
		if k > 1 {
			t.Fatal("both copies got the key")
		}
		won += k
	})
	if n < 500 || won == 0 {
		t.Errorf("%d orders, won in %d", n, won)
	}
}

// News never goes back, whatever order it comes in, and the newest is in force at the end.
func TestInterleavingsOfConfigUpdates(t *testing.T) {
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		core, router := configpush.New(1), configpush.New(2)
		b.handlers[1] = func(k message.Message) message.Effects { return core.Step(0, k) }
		b.handlers[2] = func(k message.Message) message.Effects { return router.Step(0, k) }
		for i := range 4 {
			b.send(1, core.Publish(0, configpush.Item{Key: "config", Version: units.Version(i + 1), Data: []byte{byte(i)}}, []units.NodeID{2}))
		}
		last := units.Version(0)
		b.deliverAll(choose, func() {
			if it := router.Items["config"]; it != nil {
				if it.Version < last {
					t.Fatalf("back from %d to %d", last, it.Version)
				}
				last = it.Version
			}
		})
		if last != 4 || core.Acks["config"][2] != 4 {
			t.Fatalf("number %d in force, %d acknowledged", last, core.Acks["config"][2])
		}
	})
	if n < 24 {
		t.Errorf("only %d orders", n)
	}
}

// One slot, two nodes that want it, and its keeping passes from one to the other meanwhile: it is never lent twice.
func TestInterleavingsOfPermits(t *testing.T) {
	most := 0
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		peers := []capacity.Peer{{Node: 1, Zone: "z"}, {Node: 2, Zone: "z"}}
		w := map[string]capacity.Worker{"s/w": {Zone: "z", Capacity: 1, MaxWaiting: 2}}
		desks, keeps := map[units.NodeID]*admission.Queue{}, map[units.NodeID]*capacity.Ledger{}
		for _, x := range []units.NodeID{1, 2} {
			d, g := admission.New(x), capacity.New(x)
			desks[x], keeps[x] = d, g
			b.handlers[x] = func(k message.Message) (out message.Effects) {
				if k.Kind != capacity.Acquire && k.Kind != capacity.Release && k.Kind != capacity.Report {
					out = d.Step(0, k)
				}
				if k.Kind == capacity.Acquire || k.Kind == capacity.Release || k.Kind == capacity.Report || k.Kind == capacity.ReportRequest {
					out.Append(g.Step(0, k))
				}
				return out
			}
		}
		keeper := capacity.Coordinator(peers, "s/w", "z")
		other := 3 - keeper
		keeps[keeper].SetWorkers(w)
		keeps[keeper].SetRouters(peers, nil)
		b.send(keeper, keeps[keeper].Tick(0))
		b.deliverAll(func(int) int { return 0 }, func() {})
		ask := func(x, of units.NodeID) {
			b.send(x, desks[x].Submit(0, admission.Request{Tag: uint64(x) * 10, Policy: "knee", Candidates: []string{"s/w"}, MaxCandidates: 1, Deadline: units.Time(time.Minute),
				Coordinator: func(string) units.NodeID { return of }}))
		}
		ask(1, keeper)
		ask(2, keeper)
		// The other takes the worker over while the asks are on their way.
		keeps[other].SetWorkers(w)
		keeps[other].SetRouters(peers, nil)
		b.send(other, keeps[other].TakeOver(0, "s/w"))
		b.deliverAll(choose, func() {
			if k := desks[1].InFlight["s/w"] + desks[2].InFlight["s/w"]; k > 1 {
				t.Fatalf("%d in flight, cap 1", k)
			} else {
				most = max(most, k)
			}
		})
	})
	if n < 500 || most != 1 {
		t.Errorf("%d orders, at most %d in flight", n, most)
	}
}

// A core machine that reaches only one router: what that one hears goes on to the others, who ask for it by number.
func TestConfigUpdatesRouteAroundPartition(t *testing.T) {
	b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
	m := map[units.NodeID]*configpush.Feed{}
	for n := units.NodeID(1); n <= 6; n++ {
		x := configpush.New(n)
		m[n] = x
		b.handlers[n] = func(k message.Message) message.Effects { return x.Step(b.now, k) }
	}
	b.send(1, m[1].Publish(0, configpush.Item{Key: "workers/main/1", Version: 7, Data: []byte("x")}, []units.NodeID{2}))
	for range 3 { // beats
		b.deliverAll(func(int) int { return 0 }, func() {})
		b.now = b.now.Add(400 * time.Millisecond)
		for n := units.NodeID(2); n <= 6; n++ {
			b.send(n, m[n].Tick(b.now, []units.NodeID{2, 3, 4, 5, 6}))
		}
	}
	for n, x := range m {
		if it := x.Items["workers/main/1"]; it == nil || it.Version != 7 {
			t.Errorf("%d has not heard of it", n)
		}
	}
}
