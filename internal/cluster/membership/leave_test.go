package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// A process that has run for minutes, hours or weeks leaves like a young one: its own entry is never forgotten.
func TestLongLivedMemberLeaves(t *testing.T) {
	for _, age := range []time.Duration{time.Minute, forget - time.Second, forget + time.Second, 5 * time.Hour, 30 * 24 * time.Hour} {
		now := units.Time(0)
		m := New(Member{Node: 1, Incarnation: 1, Role: Controller, Addr: "a:1"}, []string{"b:1"}, rand.New(rand.NewPCG(1, 2)))
		other := New(Member{Node: 2, Incarnation: 1, Role: Controller, Addr: "b:1"}, []string{"a:1"}, rand.New(rand.NewPCG(1, 3)))
		deliver := func(to *Gossip, out message.Effects) {
			for _, n := range out.Messages {
				to.Step(now, n)
			}
		}
		now = now.Add(age)
		deliver(other, m.Tick(now))
		deliver(m, other.Tick(now))
		deliver(other, m.Leave())
		for range 20 {
			now = now.Add(time.Second)
			deliver(other, m.Tick(now))
			m.SetFlag(DiskUnfit, true)
			m.SetFlag(DiskUnfit, false)
			deliver(m, other.Tick(now))
		}
		if me, ok := m.Get(1); !ok || me.State != Left {
			t.Errorf("after %v: its own entry is %+v, %v", age, me, ok)
		}
	}
}
