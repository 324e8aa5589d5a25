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

// Two copies of a request claim a key through two routers, then all processes lose their memory. A third copy comes to
// routers that know only what a majority of the disks stored. In no order of messages may the key be granted twice.
func TestInterleavingsOfClaimsAfterMemoryLoss(t *testing.T) {
	disks := []units.NodeID{11, 12, 13}
	grantedBefore, grantedAfter := 0, 0
	n := interleavings(4, func(choose func(int) int) {
		lateDisk := disks[choose(3)]
		now := units.Time(time.Minute)
		quorum := register.QuorumSet{Version: 1, Members: disks}
		records := map[units.NodeID][]message.Record{}
		b := &messageBag{now: now, handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		registries := map[units.NodeID]*idempotency.Registry{}
		start := func() map[units.NodeID]*idempotency.Claimant {
			m := map[units.NodeID]*idempotency.Claimant{}
			for _, x := range threeNodes {
				m[x] = idempotency.New(x, now)
				m[x].SetVoters(quorum)
				b.handlers[x] = func(k message.Message) message.Effects { return m[x].Step(b.now, k) }
			}
			for _, d := range disks {
				registries[d] = idempotency.LoadRegistry(d, now, records[d])
				b.handlers[d] = func(k message.Message) message.Effects {
					o := registries[d].Step(b.now, k, quorum.Version)
					records[d] = append(records[d], o.Writes...)
					return o
				}
			}
			return m
		}
		tickAll := func(m map[units.NodeID]*idempotency.Claimant) {
			b.now = b.now.Add(300 * time.Millisecond)
			for _, d := range disks {
				o := registries[d].Tick(b.now, quorum)
				records[d] = append(records[d], o.Writes...)
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
		countGranted := func(m map[units.NodeID]*idempotency.Claimant) (k int) {
			for _, x := range m {
				for _, r := range x.Results {
					if r.Code == resultcode.OK {
						if k++; !r.Durable {
							t.Fatal("granted as not durable, though all disks answer")
						}
					}
				}
				x.Results = nil
			}
			return k
		}
		m := start()
		for range 10 {
			tickAll(m)
		}
		if !registries[11].Complete() || !m[1].Complete() {
			t.Fatal("the disks and routers of a new fleet are not complete")
		}
		b.send(1, m[1].Claim(b.now, 111, "k", threeNodes))
		b.send(2, m[2].Claim(b.now, 222, "k", threeNodes))
		b.deliverAll(choose, func() {})
		first := countGranted(m)
		m = start()
		// One disk returns later than the others, so only two of three provide copies.
		delete(b.handlers, lateDisk)
		for range 10 {
			tickAll(m)
		}
		if !m[3].Complete() {
			t.Fatal("the routers are not complete, though a majority of the disks sent copies")
		}
		b.send(3, m[3].Claim(b.now, 333, "k", threeNodes))
		b.deliverAll(func(int) int { return 0 }, func() {})
		second := countGranted(m)
		if first+second > 1 {
			t.Fatalf("granted %d times before and %d times after the loss", first, second)
		}
		grantedBefore, grantedAfter = grantedBefore+first, grantedAfter+second
	})
	if n < 1000 || grantedBefore == 0 {
		t.Errorf("%d interleavings, granted in %d before the loss and in %d after", n, grantedBefore, grantedAfter)
	}
}
