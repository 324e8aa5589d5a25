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

func (r *confirmRig) setController(node units.NodeID, versions map[string]units.Version) {
	f := New(node)
	f.StoredVersions = func() map[string]units.Version { return versions }
	r.controllers[node] = f
}

func (r *confirmRig) apply(key string, version units.Version) {
	r.router.Apply(Item{Key: key, Version: version})
}

// replies makes the router send its requests once and returns the replies of the reachable controllers.
func (r *confirmRig) replies(reachable ...units.NodeID) (replies []message.Message) {
	r.t.Helper()
	r.now = r.now.Add(2 * confirmInterval)
	var all []membership.Member
	for node := range r.controllers {
		all = append(all, membership.Member{Node: node, Role: membership.Controller})
	}
	_, out := r.router.Confirm(r.now, all, 9, nil, r.now)
	for _, request := range out.Messages {
		for _, node := range reachable {
			if request.To != node {
				continue
			}
			request.From = 9
			for _, reply := range r.controllers[node].Step(r.now, request).AfterSync {
				reply.From = node
				replies = append(replies, reply)
			}
		}
	}
	return replies
}

func (r *confirmRig) deliver(replies []message.Message) {
	for _, reply := range replies {
		r.router.Step(r.now, reply)
	}
}

func (r *confirmRig) expect(what string, want bool, voters ...units.NodeID) {
	r.t.Helper()
	if ok, _ := r.router.Confirm(r.now, nil, 9, voters, r.now); ok != want {
		r.t.Errorf("%s: confirmed %v", what, ok)
	}
}

// A router that knows only an old quorum set is not confirmed by a majority of that set, even if they hold the same
// configuration as the router: one of them accepted the change to a newer set.
func TestOldQuorumSetDoesNotConfirm(t *testing.T) {
	rig := newConfirmRig(t)
	rig.setController(1, map[string]units.Version{"voters": 1, "config": 4})
	rig.setController(2, map[string]units.Version{"voters": 2, "config": 4})
	rig.setController(3, map[string]units.Version{"voters": 3, "config": 5})
	rig.setController(4, map[string]units.Version{"voters": 3, "config": 5})
	rig.apply("voters", 1)
	rig.apply("config", 4)
	rig.deliver(rig.replies(1, 2))
	rig.expect("former members of an old set", false, 1, 2, 3)
	rig.apply("voters", 2)
	rig.expect("one of three members of the next", false, 2, 3, 4)
	rig.deliver(rig.replies(2, 3))
	rig.expect("a majority of it, of which one holds a newer set", false, 2, 3, 4)
	rig.apply("voters", 3)
	rig.expect("a majority that holds a newer configuration", false, 3, 4, 5)
	rig.apply("config", 5)
	rig.deliver(rig.replies(3, 4))
	rig.expect("a majority of the newest set, nothing newer", true, 3, 4, 5)
}

// Confirmations from different times don't form a majority: a node that was partitioned off after its reply may have
// missed later changes.
func TestConfirmationsExpire(t *testing.T) {
	rig := newConfirmRig(t)
	rig.apply("config", 4)
	rig.setController(1, map[string]units.Version{"config": 4})
	rig.setController(2, map[string]units.Version{"config": 4})
	rig.setController(3, map[string]units.Version{"config": 4})
	rig.deliver(rig.replies(1))
	rig.expect("one of three", false, 1, 2, 3)
	rig.now = rig.now.Add(20 * time.Second) // meanwhile 1 and 3 accept version 5; then 1 is partitioned off
	rig.setController(1, map[string]units.Version{"config": 5})
	rig.setController(3, map[string]units.Version{"config": 5})
	late := rig.replies(2)
	rig.deliver(late)
	rig.expect("an old reply and a new one", false, 1, 2, 3)
	rig.now = rig.now.Add(20 * time.Second)
	rig.deliver(late)
	rig.expect("a reply that was delayed", false, 1, 2, 3)
	rig.deliver(rig.replies(1, 2))
	rig.expect("a majority of which one holds a newer version", false, 1, 2, 3)
	rig.apply("config", 5)
	rig.deliver(rig.replies(1, 2))
	rig.expect("a majority at the same time", true, 1, 2, 3)
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
