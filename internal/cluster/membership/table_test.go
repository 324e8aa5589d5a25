package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// What is kept, the table and its digest, is what working them out anew gives, after whatever happens; and a list
// that was given out never changes any more.
func TestKeptIsTrue(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	ms, now := map[units.NodeID]*Gossip{}, units.Time(1e9)
	for n := units.NodeID(1); n <= 9; n++ {
		ms[n] = New(member(n), []string{"a" + units.NodeID(1).String()}, rand.New(rand.NewPCG(1, uint64(n))))
	}
	type given struct{ list, copy []Member }
	var old []given
	check := func(m *Gossip) {
		t.Helper()
		want := uint64(0)
		l := make([]Member, 0, len(m.all))
		for _, n := range message.SortedKeys(m.all) {
			if x := m.all[n]; x.State <= Suspect {
				want += units.Mix(n.String(), units.Hex(x.Incarnation))
			}
			l = append(l, *m.all[n])
		}
		if got := m.sum(); got != want {
			t.Fatalf("digest %x, want %x", got, want)
		}
		all := m.All()
		if !slices.Equal(all, l) {
			t.Fatalf("the table is\n%v, want\n%v", all, l)
		}
		old = append(old, given{all, slices.Clone(all)})
	}
	var wire []message.Message
	send := func(from units.NodeID, out message.Effects) {
		for _, x := range out.Messages {
			x.From = from
			if x.Addr != "" {
				x.To = 1
			}
			if rng.IntN(5) > 0 {
				wire = append(wire, x)
			}
		}
	}
	seen := map[State]int{}
	for range 6000 {
		now = now.Add(40 * time.Millisecond)
		n := 1 + rng.Uint64N(9)
		m := ms[units.NodeID(n)]
		switch rng.IntN(400) {
		case 0:
			m.SetFlag(Ready, rng.IntN(2) == 0)
		case 1:
			m.ConnectionRefused(now, "a"+units.NodeID(1+rng.Uint64N(9)).String())
		case 2:
			send(m.Self, m.Leave())
			check(m)
			m = New(member(m.Self), m.seeds, m.rng)
			m.all[m.Self].Incarnation = uint64(now)
			ms[m.Self] = m
		case 3:
			now = now.Add(11 * time.Minute) // whoever is gone is forgotten
		}
		send(m.Self, m.Tick(now))
		check(m)
		for range min(3, len(wire)) {
			x := wire[0]
			wire = wire[1:]
			send(x.To, ms[x.To].Step(now, x))
			check(ms[x.To])
		}
		for _, x := range m.All() {
			seen[x.State]++
		}
	}
	for _, g := range old {
		if !slices.Equal(g.list, g.copy) {
			t.Fatal("a list that was given out has changed")
		}
	}
	for s := Alive; s <= Left; s++ {
		if seen[s] == 0 {
			t.Errorf("state %d never came up", s)
		}
	}
}

// A table that nothing has changed is not copied.
func TestQuietTableIsNotCopied(t *testing.T) {
	m := grown(1, 2, 3, 4, 5)
	m.All()
	if n := testing.AllocsPerRun(100, func() { m.All(); m.sum() }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
