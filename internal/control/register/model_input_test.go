package register

import (
	"fmt"
	"reflect"
	"testing"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// A message that is truncated or too long changes nothing and is reported as an error.
func TestModelMalformed(t *testing.T) {
	for _, m := range captureMessages() {
		n := busyCluster().node(m.To)
		for length := range len(m.Body) {
			short := m
			short.Body = m.Body[:length]
			if out := stepUnchanged(t, n, short, fmt.Sprintf("truncated to %d bytes", length)); len(out.Errors) == 0 {
				t.Fatalf("%v truncated to %d bytes is not reported", kindNames[m.Kind], length)
			}
		}
		long := m
		long.Body = append(append([]byte{}, m.Body...), 0)
		if out := stepUnchanged(t, n, long, "one byte too long"); len(out.Errors) == 0 {
			t.Errorf("%v with a byte too many is not reported", kindNames[m.Kind])
		}
		if t.Failed() {
			return
		}
	}
}

// An acceptor request under an older quorum set changes nothing, and is answered with Stale.
func TestModelOlderSet(t *testing.T) {
	c := newModelCluster(3, 1)
	setOwnersEverywhere(1)(c)
	c.tickAndDeliver()
	c.tickAndDeliver()
	changeMembersAt(1, nextSet...)(c)
	for range 6 {
		c.tickAndDeliver()
	}
	if c.checker.current < 2 {
		t.Fatal("the set did not change")
	}
	old := c.checker.sets[1]
	for _, n := range c.liveNodes() {
		for _, kind := range []message.Kind{Prepare, Accept, Confirm} {
			for _, key := range []string{"a", KeyQuorum} {
				h := header{EpochNumber: 900, EpochNode: 900, Seq: 9, Version: 9}
				m := message.Message{From: 2, To: n.id, Kind: kind, Body: message.Pack(h, old.Pack(), []byte(key), nil)}
				out := stepUnchanged(t, n, m, "an older set")
				for _, reply := range append(out.Messages, out.AfterSync...) {
					if reply.Kind != Stale {
						t.Errorf("node %d answers %v under an older set with %v", n.id, kindNames[kind], modelEvent{message: reply})
					}
				}
			}
		}
	}
}

// Votes and refusals of a node outside the set change nothing, whatever they contain.
func TestModelForeignVotes(t *testing.T) {
	const nonMember = 99
	for _, kind := range []message.Kind{Promise, Accepted, Confirmed} {
		for _, ok := range []uint8{0, 1} {
			for _, phaseBudget := range []int{0, 1, 4, 8, 12} {
				c := newModelCluster(3, 1)
				setOwnersEverywhere(1)(c)
				c.tickAndDeliver()
				writeAt(1)(c)
				readAt(1)(c)
				c.deliverOldest(phaseBudget)
				n := c.node(1)
				for key, o := range n.replica.ownerships {
					h := header{EpochNumber: o.epoch.Number, EpochNode: uint64(o.epoch.Node), Seq: 77, Version: 77, Tag: o.confirmTag, HigherNumber: o.epoch.Number - 1, HigherNode: 5, OK: ok}
					if kind == Accepted {
						h.Seq = o.proposal.Seq
					}
					body := packBody(nil, []byte("forged"))
					m := message.Message{From: nonMember, To: 1, Kind: kind, Body: message.Pack(h, n.replica.quorum.Pack(), []byte(key), body)}
					stepUnchanged(t, n, m, fmt.Sprintf("%v of a non-member (ok %d)", kindNames[kind], ok))
				}
			}
		}
	}
}

// An epoch named by a non-member does not raise the highest epoch, and so does not use up the members' epochs.
func TestModelForeignEpoch(t *testing.T) {
	const nonMember, last = 99, ^uint64(0)
	for _, kind := range []message.Kind{Prepare, Promise, Accept, Accepted, Confirm, Confirmed, Stale, Forward, KeyList} {
		c := newModelCluster(3, 1)
		setOwnersEverywhere(1)(c)
		c.tickAndDeliver()
		n := c.node(1)
		before := n.replica.highestEpoch
		h := header{EpochNumber: last, EpochNode: nonMember, HigherNumber: last, HigherNode: nonMember}
		m := message.Message{From: nonMember, To: 1, Kind: kind, Body: message.Pack(h, n.replica.quorum.Pack(), []byte("a"), nil)}
		n.replica.Step(c.now, m)
		if after := n.replica.highestEpoch; after != before {
			t.Errorf("%v of a non-member raised the highest epoch from %d to %d", kindNames[kind], before, after)
		}
	}
}

// The key list of a non-member adds no key to those that a change of the set reads back.
func TestModelForeignKeyList(t *testing.T) {
	const nonMember = 99
	c := newModelCluster(3, 1)
	setOwnersEverywhere(1)(c)
	c.tickAndDeliver()
	writeAt(1)(c)
	c.tickAndDeliver()
	changeMembersAt(1, nextSet...)(c)
	seen := false
	for range 3 {
		c.tickAllAfter(resendInterval + 1)
		for len(c.inFlight) > 0 {
			n := c.node(1)
			list := message.PackList([][]byte{[]byte("a non-member's key")})
			m := message.Message{From: nonMember, To: 1, Kind: KeyList, Body: message.Pack(header{}, n.replica.quorum.Pack(), nil, list)}
			stepUnchanged(t, n, m, "a non-member's keys")
			seen = seen || len(keysToRead(n.replica)) > 0
			c.deliverOldest(1)
		}
	}
	if !seen {
		t.Error("no change of the set was in progress")
	}
}

// An answer to a request of an earlier run, for another key but with the same tag, is not taken for this run's.
func TestModelReplyOfEarlierRun(t *testing.T) {
	const tag = 7
	c := newModelCluster(3, 0)
	setOwnersEverywhere(1)(c)
	c.tickAndDeliver()
	r := c.node(2).replica
	r.Submit(c.now, Request{Tag: tag, Key: "b"})
	reply := func(key string) message.Message {
		h := header{Tag: tag, Code: uint16(resultcode.OK), Version: 3}
		return message.Message{From: 1, To: 2, Kind: Reply, Body: message.Pack(h, r.quorum.Pack(), []byte(key), []byte(key))}
	}
	if r.Step(c.now, reply("a")); len(r.Results) != 0 {
		t.Errorf("the answer for another key was delivered: %+v", r.Results)
	}
	if r.Step(c.now, reply("b")); len(r.Results) != 1 || string(r.Results[0].Data) != "b" {
		t.Errorf("the answer was not delivered: %+v", r.Results)
	}
}

// A malformed value is neither accepted nor loaded.
func TestModelMalformedValue(t *testing.T) {
	for _, body := range [][]byte{{1}, []byte("no value of a register"), make([]byte, 13)} {
		n := busyCluster().node(1)
		h := header{EpochNumber: 900, EpochNode: 900, Seq: 1, Version: 9}
		m := message.Message{From: 2, To: 1, Kind: Accept, Body: message.Pack(h, n.replica.quorum.Pack(), []byte("a"), body)}
		if out := stepUnchanged(t, n, m, "a malformed value"); len(out.Errors) == 0 {
			t.Errorf("the malformed value %q is not reported", body)
		}
		record := message.Record{Kind: RecordAccept, Key: "a", Data: message.Pack(recordHeader{EpochNumber: 1, EpochNode: 1, Seq: 1, Version: 1}, body)}
		if err := New(1, 1).Load([]message.Record{record}); err == nil {
			t.Errorf("a record with the malformed value %q is loaded", body)
		}
	}
}

// A set that no replica writes is not adopted.
func TestModelImpossibleSets(t *testing.T) {
	current := initialQuorumSet([]units.NodeID{1, 2, 3})
	empty, doubled, zero := current, current, current
	empty.Version, empty.Members = 50, nil
	doubled.Version, doubled.Members = 50, []units.NodeID{4, 4, 4}
	zero.Version, zero.Members = 50, []units.NodeID{0, 2, 3}
	for name, set := range map[string]QuorumSet{"empty": empty, "doubled": doubled, "zero": zero} {
		n := busyCluster().node(1)
		m := message.Message{From: 2, To: 1, Kind: Reply, Body: message.Pack(header{}, set.Pack(), []byte(""), nil)}
		if out := stepUnchanged(t, n, m, name+" set in a message"); len(out.Errors) == 0 {
			t.Errorf("%s set in a message is not reported", name)
		}
		before := snapshotReplica(n.replica)
		if out := n.replica.LearnQuorum(set.Pack()); len(out.Errors) == 0 || !reflect.DeepEqual(before, snapshotReplica(n.replica)) {
			t.Errorf("%s set learned: %+v", name, out)
		}
	}
}
