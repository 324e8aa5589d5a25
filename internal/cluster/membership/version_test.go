package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The version moves with the members, not with their news; a probe counts as under way once it has waited.
func TestVersion(t *testing.T) {
	now := units.Time(time.Hour)
	a := New(member(1), []string{"a" + units.NodeID(2).String()}, rand.New(rand.NewPCG(1, 1)))
	b := New(member(2), nil, rand.New(rand.NewPCG(1, 2)))
	v := a.Version()
	hello := func(m *Gossip, to *Gossip) {
		for _, n := range m.Tick(now).Messages {
			n.From = m.Self
			for _, r := range to.Step(now, n).Messages {
				r.From = to.Self
				m.Step(now, r)
			}
		}
	}
	hello(a, b)
	if a.Version() == v {
		t.Error("a newcomer is no change")
	}
	for v = a.Version(); now < units.Time(time.Hour+20*time.Second); now = now.Add(50 * time.Millisecond) {
		b.FeedDigest++
		hello(a, b)
		if a.ProbePending(now) {
			t.Fatal("asking behind an answer")
		}
	}
	if a.Version() != v {
		t.Error("news and answers alone changed the version")
	}
	now = now.Add(round)
	var sent []message.Message
	for len(sent) == 0 {
		now = now.Add(50 * time.Millisecond)
		sent = a.Tick(now).Messages
	}
	if a.ProbePending(now) || !a.ProbePending(now.Add(50*time.Millisecond)) {
		t.Error("a probe is under way once it has waited")
	}
	b.SetFlag(Draining, true)
	sent[0].From = a.Self
	for _, r := range b.Step(now, sent[0]).Messages {
		r.From = b.Self
		a.Step(now, r)
	}
	if a.Version() == v {
		t.Error("a member that drains is no change")
	}
}
