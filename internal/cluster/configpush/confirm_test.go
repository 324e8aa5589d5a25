package configpush

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// vouching is a starting router, node 9, and controllers that hold numbers on their disks.
type vouching struct {
	t      *testing.T
	now    units.Time
	router *Feed
	disks  map[units.NodeID]*Feed
}

func newVouching(t *testing.T) *vouching {
	return &vouching{t: t, now: units.Time(time.Hour), router: New(9), disks: map[units.NodeID]*Feed{}}
}

func (v *vouching) disk(node units.NodeID, numbers map[string]units.Version) {
	f := New(node)
	f.StoredVersions = func() map[string]units.Version { return numbers }
	v.disks[node] = f
}

func (v *vouching) heard(key string, number units.Version) {
	v.router.Apply(Item{Key: key, Version: number})
}

// answers lets the router ask once, and gives what the reachable controllers answer.
func (v *vouching) answers(reachable ...units.NodeID) (answers []message.Message) {
	v.t.Helper()
	v.now = v.now.Add(2 * vouchAgain)
	var all []membership.Member
	for node := range v.disks {
		all = append(all, membership.Member{Node: node, Role: membership.Controller})
	}
	_, out := v.router.Confirm(v.now, all, 9, nil, v.now)
	for _, question := range out.Messages {
		for _, node := range reachable {
			if question.To != node {
				continue
			}
			question.From = 9
			for _, answer := range v.disks[node].Step(v.now, question).AfterSync {
				answer.From = node
				answers = append(answers, answer)
			}
		}
	}
	return answers
}

func (v *vouching) deliver(answers []message.Message) {
	for _, answer := range answers {
		v.router.Step(v.now, answer)
	}
}

func (v *vouching) expect(what string, want bool, voters ...units.NodeID) {
	v.t.Helper()
	if ok, _ := v.router.Confirm(v.now, nil, 9, voters, v.now); ok != want {
		v.t.Errorf("%s: confirmed %v", what, ok)
	}
}

// A router that knows an old quorum set alone is not vouched for by its former members, though all that they hold of the
// configuration is what the router has: one of them took part in the change of the set.
func TestOldQuorumIsNotVouchedFor(t *testing.T) {
	v := newVouching(t)
	v.disk(1, map[string]units.Version{"voters": 1, "config": 4})
	v.disk(2, map[string]units.Version{"voters": 2, "config": 4})
	v.disk(3, map[string]units.Version{"voters": 3, "config": 5})
	v.disk(4, map[string]units.Version{"voters": 3, "config": 5})
	v.heard("voters", 1)
	v.heard("config", 4)
	v.deliver(v.answers(1, 2))
	v.expect("former members of an old set", false, 1, 2, 3)
	v.heard("voters", 2)
	v.expect("one of three members of the next", false, 2, 3, 4)
	v.deliver(v.answers(2, 3))
	v.expect("a majority of it, of which one holds a newer set", false, 2, 3, 4)
	v.heard("voters", 3)
	v.expect("a majority that holds a newer configuration", false, 3, 4, 5)
	v.heard("config", 5)
	v.deliver(v.answers(3, 4))
	v.expect("a majority of the newest set, nothing newer", true, 3, 4, 5)
}

// Answers of different times make no majority: what was cut off after its answer may have missed what came since.
func TestVouchesOfDifferentTimesDoNotAdd(t *testing.T) {
	v := newVouching(t)
	v.heard("config", 4)
	v.disk(1, map[string]units.Version{"config": 4})
	v.disk(2, map[string]units.Version{"config": 4})
	v.disk(3, map[string]units.Version{"config": 4})
	v.deliver(v.answers(1))
	v.expect("one of three", false, 1, 2, 3)
	v.now = v.now.Add(20 * time.Second) // meanwhile 1 and 3 take number 5; then 1 is cut off
	v.disk(1, map[string]units.Version{"config": 5})
	v.disk(3, map[string]units.Version{"config": 5})
	late := v.answers(2)
	v.deliver(late)
	v.expect("an old answer and a new one", false, 1, 2, 3)
	v.now = v.now.Add(20 * time.Second)
	v.deliver(late)
	v.expect("an answer that was long on its way", false, 1, 2, 3)
	v.deliver(v.answers(1, 2))
	v.expect("a majority of which one holds a newer number", false, 1, 2, 3)
	v.heard("config", 5)
	v.deliver(v.answers(1, 2))
	v.expect("a majority at one time", true, 1, 2, 3)
}

// A question or an answer that can't be read changes nothing and is told of.
func TestMalformedVouches(t *testing.T) {
	f := New(1)
	for _, n := range []message.Message{{Kind: ConfirmRequest}, {Kind: ConfirmReply}, {Kind: ConfirmReply, Body: message.Pack(vouchHead{1}, []byte{1, 0})}} {
		out := f.Step(0, n)
		if len(out.Errors) != 1 || len(out.AfterSync) != 0 || len(f.Confirmations) != 0 {
			t.Errorf("%v: %v", n, out)
		}
	}
}
