package register

import (
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The proposing node fails before all nodes have voted. The nodes that voted keep their vote, whatever they receive
// later, and the lowest of them collects the remaining votes. A disk that voted for one set never votes for another
// (docs/design.md, section 13).
func TestBootstrapVotesSurviveProposerFailure(t *testing.T) {
	replicas := map[units.NodeID]*Replica{}
	for n := units.NodeID(1); n <= 4; n++ {
		replicas[n] = New(n, n+100)
	}
	now := units.Time(time.Second)
	var deliver func(from units.NodeID, out message.Effects)
	deliver = func(from units.NodeID, out message.Effects) {
		for _, msg := range append(out.Messages, out.AfterSync...) {
			if msg.From = from; replicas[msg.To] != nil {
				deliver(msg.To, replicas[msg.To].Step(now, msg))
			}
		}
	}
	tick := func() {
		now = now.Add(time.Second)
		for n := units.NodeID(1); n <= 4; n++ {
			if replicas[n] != nil {
				deliver(n, replicas[n].Tick(now))
			}
		}
	}
	set := []units.NodeID{2, 3, 4}
	replicas[1].BootstrapFromSeeds(set, true) // does not vote itself
	replicas[2].BootstrapFromSeeds(set, false)
	replicas[3].BootstrapFromSeeds(set, false)
	replicas[4].BootstrapFromSeeds([]units.NodeID{2, 4}, false) // has not seen node 3 yet
	if tick(); replicas[2].bootstrapVote == nil || replicas[4].bootstrapVote != nil || replicas[1].quorum.Version != 0 {
		t.Fatal("want votes from the two nodes that see the set, and none from the third")
	}
	delete(replicas, 1)
	restarted := New(2, 202) // restarted from its disk
	if err := restarted.Load([]message.Record{{Kind: RecordBootstrapVote, Data: replicas[2].bootstrapVote}}); err != nil {
		t.Fatal(err)
	}
	replicas[2] = restarted
	replicas[2].BootstrapFromSeeds([]units.NodeID{2, 4}, true)
	replicas[3].BootstrapFromSeeds(nil, false)
	replicas[4].BootstrapFromSeeds([]units.NodeID{2, 4}, false)
	if tick(); replicas[2].quorum.Version+replicas[3].quorum.Version+replicas[4].quorum.Version != 0 {
		t.Fatal("a set took effect although one of its members has not voted for it")
	}
	replicas[4].BootstrapFromSeeds(set, false)
	tick()
	for n := units.NodeID(2); n <= 4; n++ {
		if v := replicas[n].Quorum(); v.Version != 1 || !slices.Equal(v.Members, set) {
			t.Errorf("node %d has quorum set %v", n, v)
		}
	}
}
