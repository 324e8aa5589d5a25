package configpush

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// confirmRig is a starting router, node 9, and controllers that hold versions on their disks.
type confirmRig struct {
	t           *testing.T
	now         units.Time
	router      *Feed
	controllers map[units.NodeID]*Feed
}

func newConfirmRig(t *testing.T) *confirmRig {
	return &confirmRig{t: t, now: units.Time(time.Hour), router: New(9), controllers: map[units.NodeID]*Feed{}}
}

func (v *confirmRig) setController(node units.NodeID, versions map[string]units.Version) {
	f := New(node)
	f.StoredVersions = func() map[string]units.Version { return versions }
	v.controllers[node] = f
}

func (v *confirmRig) apply(key string, version units.Version) {
	v.router.Apply(Item{Key: key, Version: version})
}

// replies makes the router send its requests once and returns the replies of the reachable controllers.
func (v *confirmRig) replies(reachable ...units.NodeID) (replies []message.Message) {
	v.t.Helper()
	v.now = v.now.Add(2 * confirmInterval)
	var all []membership.Member
	for node := range v.controllers {
		all = append(all, membership.Member{Node: node, Role: membership.Controller})
	}
	_, out := v.router.Confirm(v.now, all, 9, nil, v.now)
	for _, request := range out.Messages {
		for _, node := range reachable {
			if request.To != node {
				continue
			}
			request.From = 9
			for _, reply := range v.controllers[node].Step(v.now, request).AfterSync {
				reply.From = node
				replies = append(replies, reply)
			}
		}
	}
	return replies
}

func (v *confirmRig) deliver(replies []message.Message) {
	for _, reply := range replies {
		v.router.Step(v.now, reply)
	}
}

func (v *confirmRig) expect(what string, want bool, voters ...units.NodeID) {
	v.t.Helper()
	if ok, _ := v.router.Confirm(v.now, nil, 9, voters, v.now); ok != want {
		v.t.Errorf("%s: confirmed %v", what, ok)
	}
}

// A router that knows only an old quorum set is not confirmed by a majority of that set, even if they hold the same
// configuration as the router: one of them accepted the change to a newer set.
func TestOldQuorumSetDoesNotConfirm(t *testing.T) {
	v := newConfirmRig(t)
	v.setController(1, map[string]units.Version{"voters": 1, "config": 4})
	v.setController(2, map[string]units.Version{"voters": 2, "config": 4})
	v.setController(3, map[string]units.Version{"voters": 3, "config": 5})
	v.setController(4, map[string]units.Version{"voters": 3, "config": 5})
	v.apply("voters", 1)
	v.apply("config", 4)
	v.deliver(v.replies(1, 2))
	v.expect("former members of an old set", false, 1, 2, 3)
	v.apply("voters", 2)
	v.expect("one of three members of the next", false, 2, 3, 4)
	v.deliver(v.replies(2, 3))
	v.expect("a majority of it, of which one holds a newer set", false, 2, 3, 4)
	v.apply("voters", 3)
	v.expect("a majority that holds a newer configuration", false, 3, 4, 5)
	v.apply("config", 5)
	v.deliver(v.replies(3, 4))
	v.expect("a majority of the newest set, nothing newer", true, 3, 4, 5)
}

// Confirmations from different times don't form a majority: a node that was partitioned off after its reply may have
// missed later changes.
func TestConfirmationsExpire(t *testing.T) {
	v := newConfirmRig(t)
	v.apply("config", 4)
	v.setController(1, map[string]units.Version{"config": 4})
	v.setController(2, map[string]units.Version{"config": 4})
	v.setController(3, map[string]units.Version{"config": 4})
	v.deliver(v.replies(1))
	v.expect("one of three", false, 1, 2, 3)
	v.now = v.now.Add(20 * time.Second) // meanwhile 1 and 3 accept version 5; then 1 is partitioned off
	v.setController(1, map[string]units.Version{"config": 5})
	v.setController(3, map[string]units.Version{"config": 5})
	late := v.replies(2)
	v.deliver(late)
	v.expect("an old reply and a new one", false, 1, 2, 3)
	v.now = v.now.Add(20 * time.Second)
	v.deliver(late)
	v.expect("a reply that was delayed", false, 1, 2, 3)
	v.deliver(v.replies(1, 2))
	v.expect("a majority of which one holds a newer version", false, 1, 2, 3)
	v.apply("config", 5)
	v.deliver(v.replies(1, 2))
	v.expect("a majority at the same time", true, 1, 2, 3)
}

// A request or reply that can't be decoded changes nothing and is reported as an error.
func TestMalformedConfirmations(t *testing.T) {
	f := New(1)
	for _, n := range []message.Message{{Kind: ConfirmRequest}, {Kind: ConfirmReply},
		{Kind: ConfirmReply, Body: message.Pack(confirmHeader{1}, []byte{1, 0})}} {
		out := f.Step(0, n)
		if len(out.Errors) != 1 || len(out.AfterSync) != 0 || len(f.Confirmations) != 0 {
			t.Errorf("%v: %v", n, out)
		}
	}
}
