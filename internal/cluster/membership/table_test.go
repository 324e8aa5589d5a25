package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// After any sequence of events the cached snapshot and digest equal freshly computed ones, and a slice returned by All
// never changes.
func TestSnapshotAndDigestMatchTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	nodes, now := map[units.NodeID]*Gossip{}, units.Time(1e9)
	for n := units.NodeID(1); n <= 9; n++ {
		nodes[n] = New(newMember(n), []string{"a" + units.NodeID(1).String()}, rand.New(rand.NewPCG(1, uint64(n))))
	}
	type result struct{ list, copy []Member }
	var returned []result
	check := func(m *Gossip) {
		t.Helper()
		want := uint64(0)
		l := make([]Member, 0, len(m.members))
		for _, n := range message.SortedKeys(m.members) {
			if x := m.members[n]; x.State <= Suspect {
				want += units.Mix(n.String(), units.Hex(x.Incarnation))
			}
			l = append(l, *m.members[n])
		}
		if got := m.digest(); got != want {
			t.Fatalf("digest %x, want %x", got, want)
		}
		all := m.All()
		if !slices.Equal(all, l) {
			t.Fatalf("All returns\n%v, want\n%v", all, l)
		}
		returned = append(returned, result{all, slices.Clone(all)})
	}
	var inFlight []message.Message
	send := func(from units.NodeID, out message.Effects) {
		for _, x := range out.Messages {
			x.From = from
			if x.Addr != "" {
				x.To = 1
			}
			if rng.IntN(5) > 0 {
				inFlight = append(inFlight, x)
			}
		}
	}
	seen := map[State]int{}
	for range 6000 {
		now = now.Add(40 * time.Millisecond)
		n := 1 + rng.Uint64N(9)
		m := nodes[units.NodeID(n)]
		switch rng.IntN(400) {
		case 0:
			m.SetFlag(Ready, rng.IntN(2) == 0)
		case 1:
			m.ConnectionRefused(now, "a"+units.NodeID(1+rng.Uint64N(9)).String())
		case 2:
			send(m.Self, m.Leave())
			check(m)
			m = New(newMember(m.Self), m.seeds, m.rng)
			m.members[m.Self].Incarnation = uint64(now)
			nodes[m.Self] = m
		case 3:
			now = now.Add(11 * time.Minute) // dead members are removed
		}
		send(m.Self, m.Tick(now))
		check(m)
		for range min(3, len(inFlight)) {
			x := inFlight[0]
			inFlight = inFlight[1:]
			send(x.To, nodes[x.To].Step(now, x))
			check(nodes[x.To])
		}
		for _, x := range m.All() {
			seen[x.State]++
		}
	}
	for _, g := range returned {
		if !slices.Equal(g.list, g.copy) {
			t.Fatal("a slice returned by All has changed")
		}
	}
	for s := Alive; s <= Left; s++ {
		if seen[s] == 0 {
			t.Errorf("state %d never occurred", s)
		}
	}
}

// All and digest allocate nothing while the table doesn't change.
func TestUnchangedTableIsNotCopied(t *testing.T) {
	m := newGossip(1, 2, 3, 4, 5)
	m.All()
	if n := testing.AllocsPerRun(100, func() { m.All(); m.digest() }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
