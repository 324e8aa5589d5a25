package simulator

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Two nodes that each believe to own one key write it at once: no order gives two values one number, and what was
// acknowledged is what a third owner finds (design 2).
func TestInterleavingsOfTwoOwners(t *testing.T) {
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		m := newVoters(b, map[units.NodeID]units.NodeID{1: 1, 2: 2, 3: 3})
		for _, x := range []units.NodeID{1, 2} {
			b.send(x, m[x].Submit(0, register.Request{Tag: uint64(x), Key: "k", Write: true, ExpectedVersion: 0, Data: []byte{byte(x)}}))
		}
		b.deliverAll(choose, func() {})
		// Both try again as their ticks would, then all is quiet.
		for round := range 6 {
			b.now = units.Time(round+1) * units.Time(time.Second)
			for _, x := range []units.NodeID{1, 2} {
				b.send(x, m[x].Tick(b.now))
				b.deliverAll(func(int) int { return 0 }, func() {})
			}
		}
		acked := map[units.Version]byte{}
		for _, x := range []units.NodeID{1, 2} {
			for _, r := range m[x].Results {
				if r.Code == resultcode.OK {
					if o, ok := acked[r.Version]; ok {
						t.Fatalf("number %d was acknowledged to %d and %d", r.Version, o, x)
					}
					acked[r.Version] = byte(x)
				}
			}
		}
		m[3].Results = nil
		b.now = 9 * units.Time(time.Second)
		b.send(3, m[3].Submit(b.now, register.Request{Tag: 9, Key: "k"}))
		for round := range 4 {
			b.now = units.Time(10+round) * units.Time(time.Second)
			b.send(3, m[3].Tick(b.now))
			b.deliverAll(func(int) int { return 0 }, func() {})
		}
		if len(m[3].Results) != 1 || m[3].Results[0].Code != resultcode.OK {
			t.Fatalf("the third owner reads %v", m[3].Results)
		}
		r := m[3].Results[0]
		for num, by := range acked {
			if num > r.Version || num == r.Version && r.Data[0] != by {
				t.Fatalf("acknowledged %v, read %d %v", acked, r.Version, r.Data)
			}
		}
	})
	if n < 1000 {
		t.Errorf("only %d orders", n)
	}
}

// Blank disks with different views never found two sets.
func TestInterleavingsOfBootstrap(t *testing.T) {
	views := [][]units.NodeID{{1, 2, 3}, {2, 3, 4}, {1, 2, 3}, {2, 3, 4}}
	n := interleavings(7, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		m := map[units.NodeID]*register.Replica{}
		for i := range views {
			id := units.NodeID(i + 1)
			x := register.New(id, id+100)
			x.BootstrapFixed(3, register.ControllerView{Uninitialized: views[i]})
			m[id] = x
			b.handlers[id] = func(k message.Message) message.Effects { return x.Step(0, k) }
		}
		for now := range 2 {
			for id, x := range m {
				if now == 0 || id != 1 {
					x.BootstrapFixed(3, register.ControllerView{Uninitialized: views[min(1, int(id)/4+now)]}) // all but the first come to see others
				}
			}
			for id := units.NodeID(1); id <= 4; id++ {
				b.send(id, m[id].Tick(units.Time(now+1)*units.Time(time.Second)))
			}
			if now == 0 {
				b.delayNext = func() bool { return choose(2) == 1 } // any notes of the first round come only in the second
				b.deliverAll(func(int) int { return 0 }, func() {})
				b.delayNext = nil
				continue
			}
			b.inFlight = append(b.inFlight, b.delayed...)
			b.deliverAll(choose, func() {})
		}
		var set []units.NodeID
		for id, x := range m {
			v := x.Quorum()
			if v.Version == 0 {
				continue
			}
			if set != nil && fmt.Sprint(set) != fmt.Sprint(v.Members) {
				t.Fatalf("two sets were founded: %v, and %v at %d", set, v.Members, id)
			}
			set = v.Members
		}
	})
	if n < 30 {
		t.Errorf("only %d orders", n)
	}
}

// A voter is added while an owner under the old set writes: whatever is acknowledged, in any order, an owner under
// the new set finds, also one whose majority holds the new disk.
func TestInterleavingsOfVoterChange(t *testing.T) {
	t.Parallel()
	const widest = 12 // more than there are messages to choose the first from
	var tried, changed, acked atomic.Int64
	t.Run("first", func(t *testing.T) {
		for first := range widest {
			t.Run(fmt.Sprint(first), func(t *testing.T) {
				t.Parallel()
				tried.Add(int64(interleavingsFrom([]int{first}, 6, func(choose func(int) int) {
					runVoterChange(t, choose, &changed, &acked)
				})))
			})
		}
	})
	if tried.Load() < 11700 || changed.Load() == 0 || acked.Load() == 0 {
		t.Errorf("%d orders, set changed in %d, acknowledged in %d", tried.Load(), changed.Load(), acked.Load())
	}
	t.Logf("%d orders", tried.Load())
}

// runVoterChange is one such order.
func runVoterChange(t *testing.T, choose func(int) int, changed, acked *atomic.Int64) {
	b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
	m := newVoters(b, map[units.NodeID]units.NodeID{1: 1, 2: 1, 3: 1})
	four := register.New(4, 104)
	m[4] = four
	b.handlers[4] = func(k message.Message) message.Effects { return four.Step(b.now, k) }
	at := func(ms int) units.Time { return units.Time(time.Duration(ms) * time.Millisecond) }
	quiet := func(from, rounds int, who ...units.NodeID) {
		for r := range rounds {
			b.now = at(from + 400*r)
			for _, x := range who {
				b.send(x, m[x].Tick(b.now))
			}
			b.deliverAll(func(int) int { return 0 }, func() {})
		}
	}
	b.send(1, m[1].Submit(0, register.Request{Tag: 1, Key: "k", Write: true, ExpectedVersion: 0, Data: []byte("one")}))
	quiet(1000, 3, 1)
	b.now = at(2200)
	m[1].ChangeMembers([]units.NodeID{1, 2, 3, 4})
	b.send(1, m[1].Tick(b.now))
	b.send(1, m[1].Submit(b.now, register.Request{Tag: 2, Key: "k", Write: true, ExpectedVersion: 1, Data: []byte("two")}))
	b.deliverAll(choose, func() {})
	for round := 0; round < 8 && (m[1].Quorum().Joint() || !m[1].Quorum().Has(4)); round++ {
		quiet(2600+400*round, 1, 1)
	}
	quiet(5800, 1, 1)
	if q := m[1].Quorum(); !q.Joint() && q.Has(4) {
		changed.Add(1)
	}
	two := false
	for _, r := range m[1].Results {
		two = two || r.Tag == 2 && r.Code == resultcode.OK
	}
	if two {
		acked.Add(1)
	}
	// The old owner and one old disk are gone; the rest must know.
	delete(b.handlers, 1)
	for _, x := range []units.NodeID{2, 3, 4} {
		m[x].SetEligible([]units.NodeID{4, 2})
	}
	owner := m[2].Owner("k")
	quiet(20000, 3, 2, 3, 4)
	m[owner].Results = nil
	b.send(owner, m[owner].Submit(b.now, register.Request{Tag: 3, Key: "k"}))
	quiet(21500, 3, owner)
	if len(m[owner].Results) != 1 || m[owner].Results[0].Code != resultcode.OK {
		t.Fatalf("owner %d of set %v reads %v", owner, m[owner].Quorum(), m[owner].Results)
	}
	if got := string(m[owner].Results[0].Data); two && got != "two" || got != "one" && got != "two" {
		t.Fatalf("acknowledged %v, read %q", two, got)
	}
}
