package register

import (
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The one that proposed is gone before all had voted: those that voted stay with their vote, whatever they see now, and
// the lowest of them gathers the others' votes. A disk that voted for one set never votes for another (design 13).
func TestVotesOutliveTheirProposer(t *testing.T) {
	m := map[units.NodeID]*Replica{}
	for n := units.NodeID(1); n <= 4; n++ {
		m[n] = New(n, n+100)
	}
	now := units.Time(time.Second)
	var deliver func(from units.NodeID, out message.Effects)
	deliver = func(from units.NodeID, out message.Effects) {
		for _, n := range append(out.Messages, out.AfterSync...) {
			if n.From = from; m[n.To] != nil {
				deliver(n.To, m[n.To].Step(now, n))
			}
		}
	}
	tick := func() {
		now = now.Add(time.Second)
		for n := units.NodeID(1); n <= 4; n++ {
			if m[n] != nil {
				deliver(n, m[n].Tick(now))
			}
		}
	}
	set := []units.NodeID{2, 3, 4}
	m[1].BootstrapFromSeeds(set, true) // it doesn't vote itself
	m[2].BootstrapFromSeeds(set, false)
	m[3].BootstrapFromSeeds(set, false)
	m[4].BootstrapFromSeeds([]units.NodeID{2, 4}, false) // it doesn't see 3 yet
	if tick(); m[2].vote == nil || m[4].vote != nil || m[1].quorum.Version != 0 {
		t.Fatal("two see the set and vote; the third doesn't")
	}
	delete(m, 1)
	again := New(2, 202) // started again from its disk
	if err := again.Load([]message.Record{{Kind: RecordBootstrapVote, Data: m[2].vote}}); err != nil {
		t.Fatal(err)
	}
	m[2] = again
	m[2].BootstrapFromSeeds([]units.NodeID{2, 4}, true)
	m[3].BootstrapFromSeeds(nil, false)
	m[4].BootstrapFromSeeds([]units.NodeID{2, 4}, false)
	if tick(); m[2].quorum.Version+m[3].quorum.Version+m[4].quorum.Version != 0 {
		t.Fatal("a set was founded that one of it has not voted for")
	}
	m[4].BootstrapFromSeeds(set, false)
	tick()
	for n := units.NodeID(2); n <= 4; n++ {
		if v := m[n].Quorum(); v.Version != 1 || !slices.Equal(v.Members, set) {
			t.Errorf("%d knows %v", n, v)
		}
	}
}
