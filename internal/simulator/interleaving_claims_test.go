package simulator

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// Two copies of a request by way of two routers, three disks, and then all memory is lost: a third copy that comes to
// routers that know only what a majority of the disks gave them never gets the key too, in whatever order notes came.
func TestInterleavingsOfClaimsAfterMemoryLoss(t *testing.T) {
	disks := []units.NodeID{11, 12, 13}
	won, again := 0, 0
	n := interleavings(4, func(choose func(int) int) {
		gone := disks[choose(3)]
		now := units.Time(time.Minute)
		v := register.QuorumSet{Version: 1, Members: disks}
		kept := map[units.NodeID][]message.Record{}
		b := &messageBag{now: now, handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		rolls := map[units.NodeID]*idempotency.Registry{}
		start := func() map[units.NodeID]*idempotency.Claimant {
			m := map[units.NodeID]*idempotency.Claimant{}
			for _, x := range threeNodes {
				m[x] = idempotency.New(x, now)
				m[x].SetVoters(v)
				b.handlers[x] = func(k message.Message) message.Effects { return m[x].Step(b.now, k) }
			}
			for _, d := range disks {
				rolls[d] = idempotency.LoadRegistry(d, now, kept[d])
				b.handlers[d] = func(k message.Message) message.Effects {
					o := rolls[d].Step(b.now, k, v.Version)
					kept[d] = append(kept[d], o.Writes...)
					return o
				}
			}
			return m
		}
		beat := func(m map[units.NodeID]*idempotency.Claimant) {
			b.now = b.now.Add(300 * time.Millisecond)
			for _, d := range disks {
				o := rolls[d].Tick(b.now, v)
				kept[d] = append(kept[d], o.Writes...)
				b.send(d, o)
			}
			for _, x := range threeNodes {
				var others []units.NodeID
				for _, y := range threeNodes {
					if y != x {
						others = append(others, y)
					}
				}
				b.send(x, m[x].Tick(b.now, others, time.Hour))
			}
			b.deliverAll(func(int) int { return 0 }, func() {})
		}
		count := func(m map[units.NodeID]*idempotency.Claimant) (k int) {
			for _, x := range m {
				for _, r := range x.Results {
					if r.Code == resultcode.OK {
						if k++; !r.Durable {
							t.Fatal("granted without the disks, which all answer")
						}
					}
				}
				x.Results = nil
			}
			return k
		}
		m := start()
		for range 10 {
			beat(m)
		}
		if !rolls[11].Complete() || !m[1].Complete() {
			t.Fatal("a new fleet's disks and routers take no part")
		}
		b.send(1, m[1].Claim(b.now, 111, "k", threeNodes))
		b.send(2, m[2].Claim(b.now, 222, "k", threeNodes))
		b.deliverAll(choose, func() {})
		first := count(m)
		m = start()
		// One disk comes back later than the others: the copies come from two of three.
		delete(b.handlers, gone)
		for range 10 {
			beat(m)
		}
		if !m[3].Complete() {
			t.Fatal("the routers still abstain, though a majority of the disks told them all")
		}
		b.send(3, m[3].Claim(b.now, 333, "k", threeNodes))
		b.deliverAll(func(int) int { return 0 }, func() {})
		second := count(m)
		if first+second > 1 {
			t.Fatalf("granted %d times before and %d times after the loss", first, second)
		}
		won, again = won+first, again+second
	})
	if n < 1000 || won == 0 {
		t.Errorf("%d orders, won in %d before the loss and in %d after", n, won, again)
	}
}
