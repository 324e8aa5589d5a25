package register

import (
	"fmt"
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
}

func fingerprintOf(r *Replica) fingerprint {
	f := fingerprint{states: map[string]State{}, quorum: r.quorum, owned: map[string]ownership{}, pending: len(r.requests)}
	for key, s := range r.states {
		f.states[key] = *s
	}
	for key, o := range r.owned {
		entry := *o
		entry.got = map[units.Node]bool{}
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
	before := fingerprintOf(n.replica)
	out := n.replica.Step(units.Time(1e12), m)
	after := fingerprintOf(n.replica)
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%s: %v changed\n%+v\nto\n%+v", what, modelEvent{message: m}, before, after)
	}
	if len(out.Writes) > 0 {
		t.Errorf("%s: %v wrote %d records", what, modelEvent{message: m}, len(out.Writes))
	}
	return out
}

// A message that is cut short or too long changes nothing and is reported.
func TestModelMalformed(t *testing.T) {
	for _, m := range captured() {
		n := busyCluster().node(m.To)
		for length := range len(m.Body) {
			short := m
			short.Body = m.Body[:length]
			if out := unchanged(t, n, short, fmt.Sprintf("cut to %d bytes", length)); len(out.Errs) == 0 {
				t.Fatalf("%v cut to %d bytes is not reported", kindNames[m.Kind], length)
			}
		}
		long := m
		long.Body = append(append([]byte{}, m.Body...), 0)
		if out := unchanged(t, n, long, "a byte too long"); len(out.Errs) == 0 {
			t.Errorf("%v with a byte too many is not reported", kindNames[m.Kind])
		}
		if t.Failed() {
			return
		}
	}
}

// A request or an answer under an older set changes nothing, and the answer to a request says so.
func TestModelOlderSet(t *testing.T) {
	c := newModelCluster(3, 1)
	believeAll(1)(c)
	c.settle()
	c.settle()
	changeAt(1, nextSet...)(c)
	for range 6 {
		c.settle()
	}
	if c.checker.current < 2 {
		t.Fatal("the set did not change")
	}
	old := c.checker.sets[1]
	for _, n := range c.live() {
		for _, kind := range []message.Kind{Prepare, Accept, Confirm} {
			for _, key := range []string{"a", KeyQuorum} {
				h := head{N: 900, By: 900, Seq: 9, Num: 9}
				m := message.Message{From: 2, To: n.id, Kind: kind, Body: message.Pack(h, old.Pack(), []byte(key), nil)}
				out := unchanged(t, n, m, "an older set")
				for _, reply := range append(out.Messages, out.AfterSync...) {
					if reply.Kind != Stale {
						t.Errorf("node %d answers %v under an older set with %v", n.id, kindNames[kind], modelEvent{message: reply})
					}
				}
			}
		}
	}
}

// Votes and refusals of a node outside the set change nothing, whatever they claim.
func TestModelForeignVotes(t *testing.T) {
	const stranger = 99
	for _, kind := range []message.Kind{Promise, Accepted, Confirmed} {
		for _, ok := range []uint8{0, 1} {
			for _, phaseBudget := range []int{0, 1, 4, 8, 12} {
				c := newModelCluster(3, 1)
				believeAll(1)(c)
				c.settle()
				writeAt(1)(c)
				readAt(1)(c)
				c.deliverOldest(phaseBudget)
				n := c.node(1)
				for key, o := range n.replica.owned {
					h := head{N: o.epoch.N, By: uint64(o.epoch.By), Seq: 77, Num: 77, Tag: o.tag, HN: o.epoch.N - 1, HBy: 5, Ok: ok}
					if kind == Accepted {
						h.Seq = o.next.Seq
					}
					body := packBody(nil, []byte("forged"))
					m := message.Message{From: stranger, To: 1, Kind: kind, Body: message.Pack(h, n.replica.quorum.Pack(), []byte(key), body)}
					unchanged(t, n, m, fmt.Sprintf("a stranger's %v (ok %d)", kindNames[kind], ok))
				}
			}
		}
	}
}

// A set that no replica writes is not taken over.
func TestModelImpossibleSets(t *testing.T) {
	current := firstQuorumSet([]units.Node{1, 2, 3})
	empty, doubled, zero := current, current, current
	empty.Version, empty.Members = 50, nil
	doubled.Version, doubled.Members = 50, []units.Node{4, 4, 4}
	zero.Version, zero.Members = 50, []units.Node{0, 2, 3}
	for name, set := range map[string]QuorumSet{"empty": empty, "doubled": doubled, "zero": zero} {
		n := busyCluster().node(1)
		m := message.Message{From: 2, To: 1, Kind: Reply, Body: message.Pack(head{}, set.Pack(), []byte(""), nil)}
		if out := unchanged(t, n, m, name+" set in a message"); len(out.Errs) == 0 {
			t.Errorf("%s set in a message is not reported", name)
		}
		before := fingerprintOf(n.replica)
		if out := n.replica.LearnQuorum(set.Pack()); len(out.Errs) == 0 || !reflect.DeepEqual(before, fingerprintOf(n.replica)) {
			t.Errorf("%s set learned: %+v", name, out)
		}
	}
}
