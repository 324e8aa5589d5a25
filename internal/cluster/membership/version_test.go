package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The version changes with the members, not with their feed digests. A probe counts as pending after the tick in which it
// was sent.
func TestVersion(t *testing.T) {
	now := units.Time(time.Hour)
	a := New(newMember(1), []string{"a" + units.NodeID(2).String()}, rand.New(rand.NewPCG(1, 1)))
	b := New(newMember(2), nil, rand.New(rand.NewPCG(1, 2)))
	v := a.Version()
	exchange := func(m *Gossip, to *Gossip) {
		for _, n := range m.Tick(now).Messages {
			n.From = m.Self
			for _, r := range to.Step(now, n).Messages {
				r.From = to.Self
				m.Step(now, r)
			}
		}
	}
	exchange(a, b)
	if a.Version() == v {
		t.Error("a new member does not change the version")
	}
	for v = a.Version(); now < units.Time(time.Hour+20*time.Second); now = now.Add(50 * time.Millisecond) {
		b.FeedDigest++
		exchange(a, b)
		if a.ProbePending(now) {
			t.Fatal("a probe is pending after its acknowledgement")
		}
	}
	if a.Version() != v {
		t.Error("feed digests and acknowledgements alone changed the version")
	}
	now = now.Add(probeInterval)
	var sent []message.Message
	for len(sent) == 0 {
		now = now.Add(50 * time.Millisecond)
		sent = a.Tick(now).Messages
	}
	if a.ProbePending(now) || !a.ProbePending(now.Add(50*time.Millisecond)) {
		t.Error("a probe must be pending only after the tick in which it was sent")
	}
	b.SetFlag(Draining, true)
	sent[0].From = a.Self
	for _, r := range b.Step(now, sent[0]).Messages {
		r.From = b.Self
		a.Step(now, r)
	}
	if a.Version() == v {
		t.Error("a draining member does not change the version")
	}
}
