package register

import (
	"reflect"
	"testing"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// fingerprint is what a replica knows, as far as a message may change it.
type fingerprint struct {
	states  map[string]State
	quorum  QuorumSet
	owned   map[string]ownership
	pending int
	listed  []string // keys that a change of the set is to read back
}

func stateFingerprint(r *Replica) fingerprint {
	f := fingerprint{states: map[string]State{}, quorum: r.quorum, owned: map[string]ownership{}, pending: len(r.requests), listed: keysToRead(r)}
	for key, s := range r.states {
		f.states[key] = *s
	}
	for key, o := range r.owned {
		entry := *o
		entry.got = map[units.NodeID]bool{}
		for n, got := range o.got {
			if r.quorum.Has(n) { // who is not of the set is never counted
				entry.got[n] = got
			}
		}
		f.owned[key] = entry
	}
	return f
}

// busyCluster gives a cluster in which node 1 owns a key and is in the middle of something.
func busyCluster() *modelCluster {
	c := newModelCluster(3, 1)
	believeAll(1)(c)
	c.settle()
	c.settle()
	writeAt(1)(c)
	c.settle()
	writeAt(1)(c)
	return c
}

// captured gives every message that a busy cluster sends till it is quiet, to feed damaged copies of them.
func captured() []message.Message {
	c := newModelCluster(3, 1)
	believeAll(1)(c)
	var all []message.Message
	pump := func() {
		c.round(resend)
		for len(c.bag) > 0 {
			all = append(all, c.bag[0])
			c.deliverOldest(1)
		}
	}
	pump()
	writeAt(1)(c)
	pump()
	changeAt(1, nextSet...)(c)
	readAt(2)(c)
	for range 4 {
		pump()
	}
	return all
}

// unchanged steps a replica and fails if anything that it knows or writes is different afterwards.
func unchanged(t *testing.T, n *modelNode, m message.Message, what string) message.Effects {
	t.Helper()
	before := stateFingerprint(n.replica)
	out := n.replica.Step(units.Time(1e12), m)
	after := stateFingerprint(n.replica)
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%s: %v changed\n%+v\nto\n%+v", what, modelEvent{message: m}, before, after)
	}
	if len(out.Writes) > 0 {
		t.Errorf("%s: %v wrote %d records", what, modelEvent{message: m}, len(out.Writes))
	}
	return out
}
