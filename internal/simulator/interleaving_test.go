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

// Two candidates for one lease never hold it at the same time.
func TestInterleavingsOfLeaseVotes(t *testing.T) {
	won := 0
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		now := units.Time(5 * time.Second)
		leases := map[units.NodeID]*lease.Lease{}
		for _, x := range threeNodes {
			member := lease.New(x, "d", func() []units.NodeID { return threeNodes }, 0, rand.New(rand.NewPCG(uint64(x), 1)))
			leases[x] = member
			b.handlers[x] = func(msg message.Message) message.Effects { return member.Step(now, msg) }
		}
		b.send(1, leases[1].Tick(now, true))
		b.send(2, leases[2].Tick(now, true))
		b.deliverAll(choose, func() {
			if leases[1].Holds(now) && leases[2].Holds(now) {
				t.Fatal("two nodes hold one lease")
			}
		})
		if leases[1].Holds(now) || leases[2].Holds(now) {
			won++
		}
	})
	if n < 500 || won == 0 {
		t.Errorf("%d interleavings, won in %d", n, won)
	}
}

// A split vote between two candidates must not last: a lost round releases its votes, and one candidate eventually wins.
func TestSplitVoteEnds(t *testing.T) {
	four := []units.NodeID{1, 2, 3, 4}
	for seed := range uint64(50) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		now := units.Time(5 * time.Second)
		leases := map[units.NodeID]*lease.Lease{}
		for _, x := range four {
			member := lease.New(x, "d", func() []units.NodeID { return four }, 0, rand.New(rand.NewPCG(seed, uint64(x))))
			leases[x] = member
			b.handlers[x] = func(msg message.Message) message.Effects { return member.Step(now, msg) }
		}
		// Both request votes at the same time, and each reaches two voters first.
		one, two := leases[1].Tick(now, true), leases[2].Tick(now, true)
		b.send(1, message.Effects{Messages: []message.Message{one.Messages[0], one.Messages[2]}})
		b.send(2, message.Effects{Messages: []message.Message{two.Messages[1], two.Messages[3]}})
		b.send(1, message.Effects{Messages: []message.Message{one.Messages[1], one.Messages[3]}})
		b.send(2, message.Effects{Messages: []message.Message{two.Messages[0], two.Messages[2]}})
		b.deliverAll(func(int) int { return 0 }, func() {})
		if leases[1].Holds(now) || leases[2].Holds(now) {
			t.Fatal("the votes of this round were not split")
		}
		held := false
		for range 200 {
			now = now.Add(25 * time.Millisecond)
			for _, x := range four[:2] {
				b.send(x, leases[x].Tick(now, true))
			}
			b.deliverAll(func(int) int { return 0 }, func() {})
			held = held || leases[1].Holds(now) || leases[2].Holds(now)
		}
		if !held {
			t.Fatalf("seed %d: no candidate won", seed)
		}
	}
}

// Two copies of a request that claim its key through two routers never both get the key.
func TestInterleavingsOfClaims(t *testing.T) {
	won := 0
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		m := map[units.NodeID]*idempotency.Claimant{}
		for _, x := range threeNodes {
			y := idempotency.New(x, 0)
			y.Tick(units.Time(time.Minute), nil, time.Second) // ends its startup phase
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
		t.Errorf("%d interleavings, won in %d", n, won)
	}
}

// Updates in any order never replace a newer value by an older one, and the newest is applied at the end.
func TestInterleavingsOfConfigUpdates(t *testing.T) {
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		controller, router := configpush.New(1), configpush.New(2)
		b.handlers[1] = func(k message.Message) message.Effects { return controller.Step(0, k) }
		b.handlers[2] = func(k message.Message) message.Effects { return router.Step(0, k) }
		for i := range 4 {
			b.send(1, controller.Publish(0, configpush.Item{Key: "config", Version: units.Version(i + 1),
				Data: []byte{byte(i)}}, []units.NodeID{2}))
		}
		lastVersion := units.Version(0)
		b.deliverAll(choose, func() {
			if it := router.Items["config"]; it != nil {
				if it.Version < lastVersion {
					t.Fatalf("version went back from %d to %d", lastVersion, it.Version)
				}
				lastVersion = it.Version
			}
		})
		if lastVersion != 4 || controller.Acks["config"][2] != 4 {
			t.Fatalf("version %d applied, %d acknowledged", lastVersion, controller.Acks["config"][2])
		}
	})
	if n < 24 {
		t.Errorf("only %d interleavings", n)
	}
}

// Two routers request the only slot of a worker while its coordination moves from one to the other. The slot must never be
// granted twice.
func TestInterleavingsOfPermits(t *testing.T) {
	maxInFlight := 0
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		peers := []capacity.Peer{{Node: 1, Zone: "z"}, {Node: 2, Zone: "z"}}
		workers := map[string]capacity.Worker{"s/w": {Zone: "z", Capacity: 1, MaxWaiting: 2}}
		queues, ledgers := map[units.NodeID]*admission.Queue{}, map[units.NodeID]*capacity.Ledger{}
		for _, x := range []units.NodeID{1, 2} {
			queue, ledger := admission.New(x), capacity.New(x)
			queues[x], ledgers[x] = queue, ledger
			b.handlers[x] = func(k message.Message) (out message.Effects) {
				if k.Kind != capacity.Acquire && k.Kind != capacity.Release && k.Kind != capacity.Report {
					out = queue.Step(0, k)
				}
				if k.Kind == capacity.Acquire || k.Kind == capacity.Release || k.Kind == capacity.Report ||
					k.Kind == capacity.ReportRequest {
					out.Append(ledger.Step(0, k))
				}
				return out
			}
		}
		coordinator := capacity.Coordinator(peers, "s/w", "z")
		other := 3 - coordinator
		ledgers[coordinator].SetWorkers(workers)
		ledgers[coordinator].SetRouters(peers, nil)
		b.send(coordinator, ledgers[coordinator].Tick(0))
		b.deliverAll(func(int) int { return 0 }, func() {})
		submit := func(x, target units.NodeID) {
			b.send(x, queues[x].Submit(0, admission.Request{Tag: uint64(x) * 10, Policy: "knee",
				Candidates: []string{"s/w"}, MaxCandidates: 1, Deadline: units.Time(time.Minute),
				Coordinator: func(string) units.NodeID { return target }}))
		}
		submit(1, coordinator)
		submit(2, coordinator)
		// The other router takes over the worker while the requests are in flight.
		ledgers[other].SetWorkers(workers)
		ledgers[other].SetRouters(peers, nil)
		b.send(other, ledgers[other].TakeOver(0, "s/w"))
		b.deliverAll(choose, func() {
			if k := queues[1].InFlight["s/w"] + queues[2].InFlight["s/w"]; k > 1 {
				t.Fatalf("%d in flight, capacity 1", k)
			} else {
				maxInFlight = max(maxInFlight, k)
			}
		})
	})
	if n < 500 || maxInFlight != 1 {
		t.Errorf("%d interleavings, at most %d in flight", n, maxInFlight)
	}
}

// A controller reaches only one router. The other routers must pull the update from that router when they compare versions.
func TestConfigUpdatesRouteAroundPartition(t *testing.T) {
	b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
	feeds := map[units.NodeID]*configpush.Feed{}
	for n := units.NodeID(1); n <= 6; n++ {
		x := configpush.New(n)
		feeds[n] = x
		b.handlers[n] = func(msg message.Message) message.Effects { return x.Step(b.now, msg) }
	}
	b.send(1, feeds[1].Publish(0, configpush.Item{Key: "workers/main/1", Version: 7, Data: []byte("x")}, []units.NodeID{2}))
	for range 3 { // heartbeat rounds
		b.deliverAll(func(int) int { return 0 }, func() {})
		b.now = b.now.Add(400 * time.Millisecond)
		for n := units.NodeID(2); n <= 6; n++ {
			b.send(n, feeds[n].Tick(b.now, []units.NodeID{2, 3, 4, 5, 6}))
		}
	}
	for n, x := range feeds {
		if it := x.Items["workers/main/1"]; it == nil || it.Version != 7 {
			t.Errorf("node %d did not receive the update", n)
		}
	}
}
