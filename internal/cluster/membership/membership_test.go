package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

func newMember(n units.NodeID) Member {
	return Member{Node: n, Incarnation: 1, Role: Router, Addr: "a" + n.String(), Zone: "z"}
}

func newGossip(self units.NodeID, others ...units.NodeID) *Gossip {
	m := New(newMember(self), nil, rand.New(rand.NewPCG(1, uint64(self))))
	for _, n := range others {
		x := newMember(n)
		m.merge(0, &x)
	}
	for range 100 { // use up all pending broadcasts
		m.encode(0, 0, false)
	}
	return m
}

// Without changes a message carries only its sender. A newcomer receives the full table with the first reply, even right
// after another node received it. A differing digest causes the full table to be sent, at most once a second
// (docs/design.md, section 5).
func TestPiggybackedMembers(t *testing.T) {
	a := newGossip(1, 2, 3, 4, 5)
	count := func(body []byte) int {
		_, l, err := decode(body)
		if err != nil {
			t.Fatal(err)
		}
		return len(l)
	}
	if n := count(a.encode(1, 0, false)); n != 1 {
		t.Errorf("a message without changes carries %d members", n)
	}
	now := units.Time(1e10)
	for i := range units.NodeID(3) {
		newcomer := New(newMember(20+i), nil, rand.New(rand.NewPCG(1, 9)))
		out := a.Step(now, message.Message{From: 20 + i, Kind: Probe, Body: newcomer.encode(0, 0, true)})
		if n := count(out.Messages[0].Body); n != 6+int(i) {
			t.Errorf("newcomer %d receives %d members", i, n)
		}
	}
	for range 100 {
		a.encode(0, 0, false)
	}
	b := newGossip(2, 1, 3) // knows fewer members
	for i, want := range []bool{true, false, true} {
		at := now.Add(5*time.Second + time.Duration(i)*600*time.Millisecond)
		out := a.Step(at, message.Message{From: 2, Kind: Probe, Body: b.encode(7, 0, false)})
		if got := count(out.Messages[0].Body) > 2; got != want {
			t.Errorf("reply %d carries the full table: %v", i, got)
		}
	}
	// A change is carried by enough messages to reach all members, and by no more than 20.
	a.setState(a.members[3], Suspect, now)
	sent := 0
	for range 50 {
		if count(a.encode(0, 0, false)) > 1 {
			sent++
		}
	}
	if sent < len(a.members) || sent > 20 {
		t.Errorf("carried by %d messages", sent)
	}
}

// A node that knows no other member contacts its seeds ten times a second, so that the members find each other quickly
// after all of them restarted. One that knows some contacts the missing ones once a second.
func TestIsolatedNodeContactsSeedsOften(t *testing.T) {
	m := New(Member{Node: 1, Addr: "a"}, []string{"s"}, rand.New(rand.NewPCG(1, 1)))
	count := func(from, to time.Duration) (n int) {
		for at := from; at < to; at += 50 * time.Millisecond {
			for _, x := range m.Tick(units.Time(at)).Messages {
				if x.Addr == "s" {
					n++
				}
			}
		}
		return n
	}
	if n := count(0, time.Second); n < 9 || n > 11 {
		t.Errorf("isolated: %d contacts in a second", n)
	}
	m.merge(units.Time(time.Second), &Member{Node: 2, Addr: "b"})
	if n := count(time.Second, 3*time.Second); n < 1 || n > 3 {
		t.Errorf("not isolated: %d contacts in two seconds", n)
	}
}
