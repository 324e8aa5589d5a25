package register

import (
	"fmt"
	"reflect"
	"testing"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// A message that is cut short or too long changes nothing and is reported.
func TestModelMalformed(t *testing.T) {
	for _, m := range captured() {
		n := busyCluster().node(m.To)
		for length := range len(m.Body) {
			short := m
			short.Body = m.Body[:length]
			if out := unchanged(t, n, short, fmt.Sprintf("cut to %d bytes", length)); len(out.Errors) == 0 {
				t.Fatalf("%v cut to %d bytes is not reported", kindNames[m.Kind], length)
			}
		}
		long := m
		long.Body = append(append([]byte{}, m.Body...), 0)
		if out := unchanged(t, n, long, "a byte too long"); len(out.Errors) == 0 {
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
					h := head{N: o.epoch.Number, By: uint64(o.epoch.Node), Seq: 77, Num: 77, Tag: o.tag, HN: o.epoch.Number - 1, HBy: 5, Ok: ok}
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

// An epoch that a stranger names doesn't use up the epochs of the set.
func TestModelForeignEpoch(t *testing.T) {
	const stranger, last = 99, ^uint64(0)
	for _, kind := range []message.Kind{Prepare, Promise, Accept, Accepted, Confirm, Confirmed, Stale, Forward, KeyList} {
		c := newModelCluster(3, 1)
		believeAll(1)(c)
		c.settle()
		n := c.node(1)
		before := n.replica.highestEpoch
		h := head{N: last, By: stranger, HN: last, HBy: stranger}
		m := message.Message{From: stranger, To: 1, Kind: kind, Body: message.Pack(h, n.replica.quorum.Pack(), []byte("a"), nil)}
		n.replica.Step(c.now, m)
		if after := n.replica.highestEpoch; after != before {
			t.Errorf("a stranger's %v raised the highest epoch from %d to %d", kindNames[kind], before, after)
		}
	}
}

// The key list of a stranger adds no key to those that a change reads back.
func TestModelForeignKeyList(t *testing.T) {
	const stranger = 99
	c := newModelCluster(3, 1)
	believeAll(1)(c)
	c.settle()
	writeAt(1)(c)
	c.settle()
	changeAt(1, nextSet...)(c)
	seen := false
	for range 3 {
		c.round(resend + 1)
		for len(c.bag) > 0 {
			n := c.node(1)
			list := message.PackList([][]byte{[]byte("a stranger's key")})
			m := message.Message{From: stranger, To: 1, Kind: KeyList, Body: message.Pack(head{}, n.replica.quorum.Pack(), nil, list)}
			unchanged(t, n, m, "a stranger's keys")
			seen = seen || len(keysToRead(n.replica)) > 0
			c.deliverOldest(1)
		}
	}
	if !seen {
		t.Error("no change of the set was under way")
	}
}

// An answer to a request of an earlier run, on another key but under the same tag, is not taken for this run's.
func TestModelReplyOfEarlierRun(t *testing.T) {
	const tag = 7
	c := newModelCluster(3, 0)
	believeAll(1)(c)
	c.settle()
	r := c.node(2).replica
	r.Submit(c.now, Request{Tag: tag, Key: "b"})
	reply := func(key string) message.Message {
		h := head{Tag: tag, Code: uint16(resultcode.OK), Num: 3}
		return message.Message{From: 1, To: 2, Kind: Reply, Body: message.Pack(h, r.quorum.Pack(), []byte(key), []byte(key))}
	}
	if r.Step(c.now, reply("a")); len(r.Results) != 0 {
		t.Errorf("the answer on another key was taken: %+v", r.Results)
	}
	if r.Step(c.now, reply("b")); len(r.Results) != 1 || string(r.Results[0].Data) != "b" {
		t.Errorf("the answer was not taken: %+v", r.Results)
	}
}

// A value that can't be read is neither accepted nor loaded.
func TestModelMalformedValue(t *testing.T) {
	for _, body := range [][]byte{{1}, []byte("no value of a register"), make([]byte, 13)} {
		n := busyCluster().node(1)
		h := head{N: 900, By: 900, Seq: 1, Num: 9}
		m := message.Message{From: 2, To: 1, Kind: Accept, Body: message.Pack(h, n.replica.quorum.Pack(), []byte("a"), body)}
		if out := unchanged(t, n, m, "a malformed value"); len(out.Errors) == 0 {
			t.Errorf("the malformed value %q is not reported", body)
		}
		record := message.Record{Kind: RecordAccept, Key: "a", Data: message.Pack(slotHead{N: 1, By: 1, Seq: 1, Num: 1}, body)}
		if err := New(1, 1).Load([]message.Record{record}); err == nil {
			t.Errorf("a record of the malformed value %q is loaded", body)
		}
	}
}

// A set that no replica writes is not taken over.
func TestModelImpossibleSets(t *testing.T) {
	current := firstQuorumSet([]units.NodeID{1, 2, 3})
	empty, doubled, zero := current, current, current
	empty.Version, empty.Members = 50, nil
	doubled.Version, doubled.Members = 50, []units.NodeID{4, 4, 4}
	zero.Version, zero.Members = 50, []units.NodeID{0, 2, 3}
	for name, set := range map[string]QuorumSet{"empty": empty, "doubled": doubled, "zero": zero} {
		n := busyCluster().node(1)
		m := message.Message{From: 2, To: 1, Kind: Reply, Body: message.Pack(head{}, set.Pack(), []byte(""), nil)}
		if out := unchanged(t, n, m, name+" set in a message"); len(out.Errors) == 0 {
			t.Errorf("%s set in a message is not reported", name)
		}
		before := stateFingerprint(n.replica)
		if out := n.replica.LearnQuorum(set.Pack()); len(out.Errors) == 0 || !reflect.DeepEqual(before, stateFingerprint(n.replica)) {
			t.Errorf("%s set learned: %+v", name, out)
		}
	}
}
