package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

func member(n units.NodeID) Member {
	return Member{Node: n, Incarnation: 1, Role: Router, Addr: "a" + n.String(), Zone: "z"}
}

func grown(self units.NodeID, others ...units.NodeID) *Gossip {
	m := New(member(self), nil, rand.New(rand.NewPCG(1, uint64(self))))
	for _, n := range others {
		x := member(n)
		m.merge(0, &x)
	}
	for range 100 { // all has been told often enough
		m.pack(0, 0, false)
	}
	return m
}

// Quiet nodes tell only of themselves; a newcomer hears of all with the first answer, though a whole table was sent
// to another a moment ago; a digest that differs brings the whole table, at most once a second (design 5).
func TestWhatRidesOnANote(t *testing.T) {
	a := grown(1, 2, 3, 4, 5)
	count := func(body []byte) int {
		_, l, err := unpack(body)
		if err != nil {
			t.Fatal(err)
		}
		return len(l)
	}
	if n := count(a.pack(1, 0, false)); n != 1 {
		t.Errorf("a quiet node tells of %d members", n)
	}
	now := units.Time(1e10)
	for i := range units.NodeID(3) {
		fresh := New(member(20+i), nil, rand.New(rand.NewPCG(1, 9)))
		out := a.Step(now, message.Message{From: 20 + i, Kind: Probe, Body: fresh.pack(0, 0, true)})
		if n := count(out.Messages[0].Body); n != 6+int(i) {
			t.Errorf("newcomer %d hears of %d members", i, n)
		}
	}
	for range 100 {
		a.pack(0, 0, false)
	}
	b := grown(2, 1, 3) // knows less
	for i, want := range []bool{true, false, true} {
		at := now.Add(5*time.Second + time.Duration(i)*600*time.Millisecond)
		out := a.Step(at, message.Message{From: 2, Kind: Probe, Body: b.pack(7, 0, false)})
		if got := count(out.Messages[0].Body) > 2; got != want {
			t.Errorf("answer %d is whole: %v", i, got)
		}
	}
	// A change rides on enough notes for all to hear, then no more.
	a.set(a.all[3], Suspect, now)
	told := 0
	for range 50 {
		if count(a.pack(0, 0, false)) > 1 {
			told++
		}
	}
	if told < len(a.all) || told > 20 {
		t.Errorf("told %d times", told)
	}
}

// A node that knows nobody tries its seeds ten times a second: after a full loss the fleet finds itself at once. One
// that knows somebody tries those that are missing once a second.
func TestAloneAsksOften(t *testing.T) {
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
		t.Errorf("alone: asked %d times in a second", n)
	}
	m.merge(units.Time(time.Second), &Member{Node: 2, Addr: "b"})
	if n := count(time.Second, 3*time.Second); n < 1 || n > 3 {
		t.Errorf("in company: asked %d times in two seconds", n)
	}
}
