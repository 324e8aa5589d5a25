package idempotency_test

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// An uninitialized voter grants nothing before it has copied the claims of the others. A claim under an older quorum set,
// a full disk and a message that can't be decoded change nothing.
func TestUninitializedVoterAbstains(t *testing.T) {
	voters := register.QuorumSet{Version: 2, Members: []units.NodeID{1, 2, 3}}
	complete := idempotency.LoadRegistry(2, 0, []message.Record{{Kind: idempotency.RecordComplete, Data: []byte{1}}})
	claim := func(r *idempotency.Registry, key string, token, votersVersion uint64) int {
		claimant := idempotency.New(9, 0)
		claimant.SetVoters(register.QuorumSet{Version: units.Version(votersVersion), Members: []units.NodeID{7}})
		claimant.Tick(units.Time(time.Minute), nil, time.Second)
		out := claimant.Claim(0, token, key, []units.NodeID{9})
		writes := 0
		for _, n := range out.Messages {
			if n.To == 7 {
				n.From = 9
				writes += len(r.Step(0, n, voters.Version).Writes)
			}
		}
		return writes
	}
	if claim(complete, "a", 5, 2) != 1 || claim(complete, "b", 5, 1) != 0 {
		t.Error("a complete voter must store claims under its own quorum set, and none under an older one")
	}
	complete.DiskFull = true
	if claim(complete, "c", 5, 2) != 0 {
		t.Error("a claim was stored on a full disk")
	}
	uninitialized := idempotency.LoadRegistry(3, 0, nil)
	if claim(uninitialized, "d", 5, 2) != 0 || uninitialized.Complete() {
		t.Error("an uninitialized voter granted a claim")
	}
	if o := uninitialized.Step(0, message.Message{From: 2, Kind: idempotency.CopyReply, Body: []byte{1, 2, 3}}, 2); len(o.Errors) != 1 || uninitialized.Len() != 0 {
		t.Error("a copy that can't be decoded must be reported and change nothing")
	}
	for _, from := range []*idempotency.Registry{complete,
		idempotency.LoadRegistry(1, 0, []message.Record{{Kind: idempotency.RecordComplete, Data: []byte{1}}})} {
		if uninitialized.Tick(units.Time(time.Second), voters); uninitialized.Complete() {
			t.Fatal("complete with too few copies")
		}
		for _, n := range from.Step(0, message.Message{From: 3, Kind: idempotency.CopyRequest, Body: message.Pack(struct {
			Token, Ver uint64
			State      uint8
		}{Ver: 2})}, 2).AfterSync {
			n.From = units.NodeID(2)
			if from != complete {
				n.From = 1
			}
			uninitialized.Step(0, n, 2)
		}
	}
	if uninitialized.Tick(units.Time(time.Second), voters); !uninitialized.Complete() || uninitialized.Len() != 1 {
		t.Errorf("after two complete copies: complete %v, %d claims", uninitialized.Complete(), uninitialized.Len())
	}
}
