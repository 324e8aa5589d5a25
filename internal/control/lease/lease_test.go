package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Four voters, cut and joined again at random, notes late or lost: the shares of all never add up to more than one,
// with all together the holder has the whole, and every voter that is cut off from the rest comes to its own part.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	ids := []units.NodeID{1, 2, 3, 4}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := map[units.NodeID]*Lease{}
		for _, n := range ids {
			m[n] = New(n, "d", func() []units.NodeID { return ids }, 0, rand.New(rand.NewPCG(seed, uint64(n))))
		}
		side := map[units.NodeID]int{}
		type late struct {
			at units.Time
			n  message.Message
		}
		var way []late
		now := units.Time(0)
		send := func(from units.NodeID, o message.Effects) {
			for _, n := range o.Messages {
				if n.From = from; side[from] == side[n.To] && rng.IntN(50) > 0 {
					way = append(way, late{now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond)))), n})
				}
			}
		}
		whole, alone := false, false
		for step := range 3000 {
			now = now.Add(10 * time.Millisecond)
			if step%300 == 299 {
				for _, n := range ids {
					side[n] = rng.IntN(2) * (step / 300 % 2) // every other span all are together
				}
			}
			left := way[:0:0]
			due := way
			way = nil
			for _, l := range due {
				if l.at > now {
					left = append(left, l)
				} else {
					send(l.n.To, m[l.n.To].Step(now, l.n))
				}
			}
			way = append(way, left...)
			sum, holders := 0.0, 0
			for _, n := range ids {
				send(n, m[n].Tick(now, true))
				if rng.IntN(2000) == 0 && m[n].Holds(now) {
					send(n, m[n].Yield(now))
				}
				x := m[n].Share(now)
				if sum += x; m[n].Holds(now) {
					holders++
					whole = whole || x == 1
				} else {
					alone = alone || x > 0
				}
			}
			if sum > 1.0001 || holders > 1 {
				t.Fatalf("seed %d at %v: shares add up to %.2f, %d holders", seed, time.Duration(now), sum, holders)
			}
		}
		if !whole || !alone {
			t.Errorf("seed %d: a holder had the whole: %v, one without the duty its part: %v", seed, whole, alone)
		}
	}
}

// A holder's voters are replaced while its term stands: nobody else holds the lease before that term is over.
func TestNewVoterAbstains(t *testing.T) {
	for seed := range uint64(50) {
		voters := []units.NodeID{1, 2, 3}
		nodes := map[units.NodeID]*Lease{}
		for n := units.NodeID(1); n <= 4; n++ {
			nodes[n] = New(n, "d", func() []units.NodeID { return voters }, 0, rand.New(rand.NewPCG(seed, uint64(n))))
		}
		now := units.Time(0)
		silent := units.NodeID(0)
		var deliver func(from units.NodeID, out message.Effects)
		deliver = func(from units.NodeID, out message.Effects) {
			for _, m := range out.Messages {
				if m.From = from; m.To != silent && from != silent {
					deliver(m.To, nodes[m.To].Step(now, m))
				}
			}
		}
		holders := func() (l []units.NodeID) {
			for n := units.NodeID(1); n <= 4; n++ {
				if nodes[n].Holds(now) {
					l = append(l, n)
				}
			}
			return l
		}
		silent = 1 // so that only two of the three vote for the holder
		for len(holders()) == 0 {
			now = now.Add(10 * time.Millisecond)
			for n := units.NodeID(1); n <= 4; n++ {
				deliver(n, nodes[n].Tick(now, n == 3))
			}
		}
		voters, silent = []units.NodeID{1, 2, 4}, 3
		second := false
		for end := now.Add(4 * Term); now < end; now = now.Add(10 * time.Millisecond) {
			for n := units.NodeID(1); n <= 4; n++ {
				deliver(n, nodes[n].Tick(now, n == 1 || n == 4))
			}
			l := holders()
			if len(l) > 1 {
				t.Fatalf("seed %d at %v: %v hold the lease", seed, time.Duration(now), l)
			}
			second = second || len(l) == 1 && l[0] != 3
		}
		if !second {
			t.Errorf("seed %d: nobody took the lease over", seed)
		}
	}
}

// A voter that can't be sure of its seat any more has no share, whatever its own view of the voters says.
func TestSharePassesWithTheSeat(t *testing.T) {
	voters := []units.NodeID{1, 2, 3}
	l := New(1, "d", func() []units.NodeID { return voters }, 0, rand.New(rand.NewPCG(1, 1)))
	now := units.Time(2 * Term)
	if got := l.Share(now); got != 1.0/3 {
		t.Fatalf("a seat without end has a share of %.2f", got)
	}
	l.SetSeatExpiry(now.Add(Term))
	if got := l.Share(now.Add(Term - 1)); got != 1.0/3 {
		t.Errorf("before the seat passes the share is %.2f", got)
	}
	if got := l.Share(now.Add(Term)); got != 0 {
		t.Errorf("behind the seat's end the share is %.2f", got)
	}
}
