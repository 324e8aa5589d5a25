package register

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// An owner that may no longer own a key also answers the write in progress. Without the answer its client would wait
// until the request times out.
func TestDroppedOwnerAnswersPendingWrite(t *testing.T) {
	b := New(1, 7)
	b.quorum = QuorumSet{Version: 1, Members: []units.NodeID{1}}
	b.SetEligible([]units.NodeID{1})
	now := units.Time(time.Second)
	deliver := func(out message.Effects) { // to itself, except for the Accept of the write
		for queue := append(out.Messages, out.AfterSync...); len(queue) > 0; queue = queue[1:] {
			if msg := queue[0]; msg.Kind != Accept || b.ownerships["k"].proposalRequest == nil {
				msg.From = 1
				next := b.Step(now, msg)
				queue = append(append(queue, next.Messages...), next.AfterSync...)
			}
		}
	}
	deliver(b.Submit(now, Request{Tag: 1, Key: "k", Write: true, Data: []byte("x")}))
	if o := b.ownerships["k"]; o == nil || o.proposalRequest == nil {
		t.Fatal("no write is in progress")
	}
	b.SetEligible(nil)
	deliver(b.Tick(now.Add(time.Second)))
	if len(b.Results) != 1 || b.Results[0].Code != resultcode.CommitUnknown {
		t.Errorf("results: %+v", b.Results)
	}
}
