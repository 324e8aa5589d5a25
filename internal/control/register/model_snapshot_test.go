package register

import (
	"reflect"
	"testing"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// replicaSnapshot is the part of a replica's state that a message may change.
type replicaSnapshot struct {
	states     map[string]State
	quorum     QuorumSet
	owned      map[string]ownership
	pending    int
	keysToRead []string // keys that must be read back before a change of the set is complete
}

func snapshotReplica(r *Replica) replicaSnapshot {
	snapshot := replicaSnapshot{states: map[string]State{}, quorum: r.quorum, owned: map[string]ownership{}, pending: len(r.pendingRequests), keysToRead: keysToRead(r)}
	for key, s := range r.states {
		snapshot.states[key] = *s
	}
	for key, o := range r.ownerships {
		entry := *o
		entry.acks = map[units.NodeID]bool{}
		for n, got := range o.acks {
			if r.quorum.Has(n) { // non-members never count
				entry.acks[n] = got
			}
		}
		snapshot.owned[key] = entry
	}
	return snapshot
}

// busyCluster returns a cluster in which node 1 owns a key and has an operation in progress.
func busyCluster() *modelCluster {
	c := newModelCluster(3, 1)
	setOwnersEverywhere(1)(c)
	c.tickAndDeliver()
	c.tickAndDeliver()
	writeAt(1)(c)
	c.tickAndDeliver()
	writeAt(1)(c)
	return c
}

// captureMessages returns every message that a busy cluster sends until it is idle; the tests send damaged copies of
// them.
func captureMessages() []message.Message {
	c := newModelCluster(3, 1)
	setOwnersEverywhere(1)(c)
	var all []message.Message
	pump := func() {
		c.tickAllAfter(resendInterval)
		for len(c.inFlight) > 0 {
			all = append(all, c.inFlight[0])
			c.deliverOldest(1)
		}
	}
	pump()
	writeAt(1)(c)
	pump()
	changeMembersAt(1, nextSet...)(c)
	readAt(2)(c)
	for range 4 {
		pump()
	}
	return all
}

// stepUnchanged delivers a message to a replica and fails if its state changes or it writes a record.
func stepUnchanged(t *testing.T, n *modelNode, m message.Message, what string) message.Effects {
	t.Helper()
	before := snapshotReplica(n.replica)
	out := n.replica.Step(units.Time(1e12), m)
	after := snapshotReplica(n.replica)
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%s: %v changed\n%+v\nto\n%+v", what, modelEvent{message: m}, before, after)
	}
	if len(out.Writes) > 0 {
		t.Errorf("%s: %v wrote %d records", what, modelEvent{message: m}, len(out.Writes))
	}
	return out
}
