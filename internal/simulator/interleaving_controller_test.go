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

// Two nodes write one key together, each as its owner. In no order of messages do two values get one version, and a third
// owner reads the acknowledged value (docs/design.md, section 2).
func TestInterleavingsOfTwoOwners(t *testing.T) {
	n := interleavings(6, func(choose func(int) int) {
		b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
		m := newVoters(b, map[units.NodeID]units.NodeID{1: 1, 2: 2, 3: 3})
		for _, x := range []units.NodeID{1, 2} {
			b.send(x, m[x].Submit(0, register.Request{Tag: uint64(x), Key: "k", Write: true, ExpectedVersion: 0,
				Data: []byte{byte(x)}}))
		}
		b.deliverAll(choose, func() {})
		// Both retry in their ticks until no message is in flight.
		for round := range 6 {
			b.now = units.Time(round+1) * units.Time(time.Second)
			for _, x := range []units.NodeID{1, 2} {
				b.send(x, m[x].Tick(b.now))
				b.deliverAll(func(int) int { return 0 }, func() {})
			}
		}
		acknowledged := map[units.Version]byte{}
		for _, x := range []units.NodeID{1, 2} {
			for _, r := range m[x].Results {
				if r.Code == resultcode.OK {
					if o, ok := acknowledged[r.Version]; ok {
						t.Fatalf("version %d was acknowledged to %d and %d", r.Version, o, x)
					}
					acknowledged[r.Version] = byte(x)
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
		for version, writer := range acknowledged {
			if version > r.Version || version == r.Version && r.Data[0] != writer {
				t.Fatalf("acknowledged %v, read %d %v", acknowledged, r.Version, r.Data)
			}
		}
	})
	if n < 1000 {
		t.Errorf("only %d interleavings", n)
	}
}

// Uninitialized controllers with different views never bootstrap two quorum sets.
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
				if now == 0 || id != 1 { // in the second round all but the first get another view
					x.BootstrapFixed(3, register.ControllerView{Uninitialized: views[min(1, int(id)/4+now)]})
				}
			}
			for id := units.NodeID(1); id <= 4; id++ {
				b.send(id, m[id].Tick(units.Time(now+1)*units.Time(time.Second)))
			}
			if now == 0 {
				// Any messages of the first round arrive only in the second.
				b.delayNext = func() bool { return choose(2) == 1 }
				b.deliverAll(func(int) int { return 0 }, func() {})
				b.delayNext = nil
				continue
			}
			b.inFlight = append(b.inFlight, b.delayed...)
			b.deliverAll(choose, func() {})
		}
		var members []units.NodeID
		for id, x := range m {
			v := x.Quorum()
			if v.Version == 0 {
				continue
			}
			if members != nil && fmt.Sprint(members) != fmt.Sprint(v.Members) {
				t.Fatalf("two quorum sets were bootstrapped: %v, and %v at %d", members, v.Members, id)
			}
			members = v.Members
		}
	})
	if n < 30 {
		t.Errorf("only %d interleavings", n)
	}
}

// A voter is added while an owner of the old quorum set writes. In any order of messages, an owner of the new set must read
// what was acknowledged, also if its majority includes the new disk.
func TestInterleavingsOfVoterChange(t *testing.T) {
	t.Parallel()
	const widest = 12 // more than the number of messages that the first choice is made from
	var total, changed, acknowledged atomic.Int64
	t.Run("first", func(t *testing.T) {
		for first := range widest {
			t.Run(fmt.Sprint(first), func(t *testing.T) {
				t.Parallel()
				total.Add(int64(interleavingsFrom([]int{first}, 6, func(choose func(int) int) {
					runVoterChange(t, choose, &changed, &acknowledged)
				})))
			})
		}
	})
	if total.Load() < 11700 || changed.Load() == 0 || acknowledged.Load() == 0 {
		t.Errorf("%d interleavings, set changed in %d, acknowledged in %d", total.Load(), changed.Load(), acknowledged.Load())
	}
	t.Logf("%d interleavings", total.Load())
}

// runVoterChange runs one interleaving.
func runVoterChange(t *testing.T, choose func(int) int, changed, acknowledged *atomic.Int64) {
	b := &messageBag{handlers: map[units.NodeID]func(message.Message) message.Effects{}}
	m := newVoters(b, map[units.NodeID]units.NodeID{1: 1, 2: 1, 3: 1})
	fourth := register.New(4, 104)
	m[4] = fourth
	b.handlers[4] = func(k message.Message) message.Effects { return fourth.Step(b.now, k) }
	atMillis := func(ms int) units.Time { return units.Time(time.Duration(ms) * time.Millisecond) }
	runRounds := func(from, rounds int, who ...units.NodeID) {
		for r := range rounds {
			b.now = atMillis(from + 400*r)
			for _, x := range who {
				b.send(x, m[x].Tick(b.now))
			}
			b.deliverAll(func(int) int { return 0 }, func() {})
		}
	}
	b.send(1, m[1].Submit(0, register.Request{Tag: 1, Key: "k", Write: true, ExpectedVersion: 0, Data: []byte("one")}))
	runRounds(1000, 3, 1)
	b.now = atMillis(2200)
	m[1].ChangeMembers([]units.NodeID{1, 2, 3, 4})
	b.send(1, m[1].Tick(b.now))
	b.send(1, m[1].Submit(b.now, register.Request{Tag: 2, Key: "k", Write: true, ExpectedVersion: 1, Data: []byte("two")}))
	b.deliverAll(choose, func() {})
	for round := 0; round < 8 && (m[1].Quorum().Joint() || !m[1].Quorum().Has(4)); round++ {
		runRounds(2600+400*round, 1, 1)
	}
	runRounds(5800, 1, 1)
	if q := m[1].Quorum(); !q.Joint() && q.Has(4) {
		changed.Add(1)
	}
	secondAcknowledged := false
	for _, r := range m[1].Results {
		secondAcknowledged = secondAcknowledged || r.Tag == 2 && r.Code == resultcode.OK
	}
	if secondAcknowledged {
		acknowledged.Add(1)
	}
	// The old owner is lost; the others must know the value.
	delete(b.handlers, 1)
	for _, x := range []units.NodeID{2, 3, 4} {
		m[x].SetEligible([]units.NodeID{4, 2})
	}
	owner := m[2].Owner("k")
	runRounds(20000, 3, 2, 3, 4)
	m[owner].Results = nil
	b.send(owner, m[owner].Submit(b.now, register.Request{Tag: 3, Key: "k"}))
	runRounds(21500, 3, owner)
	if len(m[owner].Results) != 1 || m[owner].Results[0].Code != resultcode.OK {
		t.Fatalf("owner %d of quorum set %v reads %v", owner, m[owner].Quorum(), m[owner].Results)
	}
	if got := string(m[owner].Results[0].Data); secondAcknowledged && got != "two" || got != "one" && got != "two" {
		t.Fatalf("acknowledged %v, read %q", secondAcknowledged, got)
	}
}
