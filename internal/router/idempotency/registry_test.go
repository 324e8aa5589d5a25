package idempotency_test

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// A blank voter grants nothing before it has copied the others; an older set of voters, a full disk and a note
// that can't be read change nothing.
func TestRollAbstains(t *testing.T) {
	v := register.QuorumSet{Version: 2, Members: []units.NodeID{1, 2, 3}}
	old := idempotency.LoadRegistry(2, 0, []message.Record{{Kind: idempotency.RecordComplete, Data: []byte{1}}})
	claim := func(r *idempotency.Registry, key string, token, ver uint64) int {
		s := idempotency.New(9, 0)
		s.SetVoters(register.QuorumSet{Version: units.Version(ver), Members: []units.NodeID{7}})
		s.Tick(units.Time(time.Minute), nil, time.Second)
		out := s.Claim(0, token, key, []units.NodeID{9})
		wrote := 0
		for _, n := range out.Messages {
			if n.To == 7 {
				n.From = 9
				wrote += len(r.Step(0, n, v.Version).Writes)
			}
		}
		return wrote
	}
	if claim(old, "a", 5, 2) != 1 || claim(old, "b", 5, 1) != 0 {
		t.Error("a whole voter takes claims of its own set of voters, and none of an older")
	}
	old.DiskFull = true
	if claim(old, "c", 5, 2) != 0 {
		t.Error("a full disk takes no claim")
	}
	blank := idempotency.LoadRegistry(3, 0, nil)
	if claim(blank, "d", 5, 2) != 0 || blank.Complete() {
		t.Error("a blank voter grants")
	}
	if o := blank.Step(0, message.Message{From: 2, Kind: idempotency.CopyReply, Body: []byte{1, 2, 3}}, 2); len(o.Errors) != 1 || blank.Len() != 0 {
		t.Error("a copy that can't be read is not counted as a fault")
	}
	for _, from := range []*idempotency.Registry{old, idempotency.LoadRegistry(1, 0, []message.Record{{Kind: idempotency.RecordComplete, Data: []byte{1}}})} {
		if blank.Tick(units.Time(time.Second), v); blank.Complete() {
			t.Fatal("whole with too few copies")
		}
		for _, n := range from.Step(0, message.Message{From: 3, Kind: idempotency.CopyRequest, Body: message.Pack(struct {
			Token, Ver uint64
			State      uint8
		}{Ver: 2})}, 2).AfterSync {
			n.From = units.NodeID(2)
			if from != old {
				n.From = 1
			}
			blank.Step(0, n, 2)
		}
	}
	if blank.Tick(units.Time(time.Second), v); !blank.Complete() || blank.Len() != 1 {
		t.Errorf("after two whole copies: whole %v, %d claims", blank.Complete(), blank.Len())
	}
}
