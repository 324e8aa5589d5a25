package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Four voters are partitioned and rejoined at random, and messages are delayed or lost. The shares never add up to
// more than one. While all voters are connected the holder has the whole rate, and every voter that is partitioned
// from the others gets its own share.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	ids := []units.NodeID{1, 2, 3, 4}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		leases := map[units.NodeID]*Lease{}
		for _, n := range ids {
			leases[n] = New(n, "d", func() []units.NodeID { return ids }, 0, rand.New(rand.NewPCG(seed, uint64(n))))
		}
		partition := map[units.NodeID]int{}
		type delayedMessage struct {
			deliverAt units.Time
			msg       message.Message
		}
		var inFlight []delayedMessage
		now := units.Time(0)
		send := func(from units.NodeID, out message.Effects) {
			for _, msg := range out.Messages {
				if msg.From = from; partition[from] == partition[msg.To] && rng.IntN(50) > 0 {
					inFlight = append(inFlight, delayedMessage{now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond)))), msg})
				}
			}
		}
		holderHadWhole, othersHadShare := false, false
		for step := range 3000 {
			now = now.Add(10 * time.Millisecond)
			if step%300 == 299 {
				for _, n := range ids {
					partition[n] = rng.IntN(2) * (step / 300 % 2) // in every other period all voters are connected
				}
			}
			undelivered := inFlight[:0:0]
			due := inFlight
			inFlight = nil
			for _, delayed := range due {
				if delayed.deliverAt > now {
					undelivered = append(undelivered, delayed)
				} else {
					send(delayed.msg.To, leases[delayed.msg.To].Step(now, delayed.msg))
				}
			}
			inFlight = append(inFlight, undelivered...)
			sum, holders := 0.0, 0
			for _, n := range ids {
				send(n, leases[n].Tick(now, true))
				if rng.IntN(2000) == 0 && leases[n].Holds(now) {
					send(n, leases[n].Yield(now))
				}
				share := leases[n].Share(now)
				if sum += share; leases[n].Holds(now) {
					holders++
					holderHadWhole = holderHadWhole || share == 1
				} else {
					othersHadShare = othersHadShare || share > 0
				}
			}
			if sum > 1.0001 || holders > 1 {
				t.Fatalf("seed %d at %v: shares add up to %.2f, %d holders", seed, time.Duration(now), sum, holders)
			}
		}
		if !holderHadWhole || !othersHadShare {
			t.Errorf("seed %d: holder had the whole rate: %v, another voter had its share: %v", seed, holderHadWhole, othersHadShare)
		}
	}
}

// The voters of a holder are replaced during its term: no other node acquires the lease before that term is over.
func TestNewVoterAbstains(t *testing.T) {
	for seed := range uint64(50) {
		voters := []units.NodeID{1, 2, 3}
		leases := map[units.NodeID]*Lease{}
		for n := units.NodeID(1); n <= 4; n++ {
			leases[n] = New(n, "d", func() []units.NodeID { return voters }, 0, rand.New(rand.NewPCG(seed, uint64(n))))
		}
		now := units.Time(0)
		partitioned := units.NodeID(0)
		var deliver func(from units.NodeID, out message.Effects)
		deliver = func(from units.NodeID, out message.Effects) {
			for _, m := range out.Messages {
				if m.From = from; m.To != partitioned && from != partitioned {
					deliver(m.To, leases[m.To].Step(now, m))
				}
			}
		}
		holders := func() (l []units.NodeID) {
			for n := units.NodeID(1); n <= 4; n++ {
				if leases[n].Holds(now) {
					l = append(l, n)
				}
			}
			return l
		}
		partitioned = 1 // so that only two of the three voters vote for the holder
		for len(holders()) == 0 {
			now = now.Add(10 * time.Millisecond)
			for n := units.NodeID(1); n <= 4; n++ {
				deliver(n, leases[n].Tick(now, n == 3))
			}
		}
		voters, partitioned = []units.NodeID{1, 2, 4}, 3
		takenOver := false
		for end := now.Add(4 * Term); now < end; now = now.Add(10 * time.Millisecond) {
			for n := units.NodeID(1); n <= 4; n++ {
				deliver(n, leases[n].Tick(now, n == 1 || n == 4))
			}
			l := holders()
			if len(l) > 1 {
				t.Fatalf("seed %d at %v: %v hold the lease", seed, time.Duration(now), l)
			}
			takenOver = takenOver || len(l) == 1 && l[0] != 3
		}
		if !takenOver {
			t.Errorf("seed %d: no other node acquired the lease", seed)
		}
	}
}

// A voter whose voting seat may have been taken over has no share, even if it still lists itself as a voter.
func TestShareEndsWithSeat(t *testing.T) {
	voters := []units.NodeID{1, 2, 3}
	lease := New(1, "d", func() []units.NodeID { return voters }, 0, rand.New(rand.NewPCG(1, 1)))
	now := units.Time(2 * Term)
	if got := lease.Share(now); got != 1.0/3 {
		t.Fatalf("with a seat without expiry the share is %.2f", got)
	}
	lease.SetSeatExpiry(now.Add(Term))
	if got := lease.Share(now.Add(Term - 1)); got != 1.0/3 {
		t.Errorf("before the seat expires the share is %.2f", got)
	}
	if got := lease.Share(now.Add(Term)); got != 0 {
		t.Errorf("after the seat has expired the share is %.2f", got)
	}
}
