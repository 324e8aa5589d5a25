package register

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// An owner that may no longer own a key answers the write that is under way, too: its caller must not wait in silence.
func TestDroppedOwnerAnswersTheWriteUnderWay(t *testing.T) {
	b := New(1, 7)
	b.quorum = QuorumSet{Version: 1, Members: []units.NodeID{1}}
	b.SetEligible([]units.NodeID{1})
	now := units.Time(time.Second)
	deliver := func(out message.Effects) { // to itself, but for the accept that is held back
		for queue := append(out.Messages, out.AfterSync...); len(queue) > 0; queue = queue[1:] {
			if n := queue[0]; n.Kind != Accept || b.owned["k"].by == nil {
				n.From = 1
				next := b.Step(now, n)
				queue = append(append(queue, next.Messages...), next.AfterSync...)
			}
		}
	}
	deliver(b.Submit(now, Request{Tag: 1, Key: "k", Write: true, Data: []byte("x")}))
	if o := b.owned["k"]; o == nil || o.by == nil {
		t.Fatal("no write is under way")
	}
	b.SetEligible(nil)
	deliver(b.Tick(now.Add(time.Second)))
	if len(b.Results) != 1 || b.Results[0].Code != resultcode.CommitUnknown {
		t.Errorf("results: %+v", b.Results)
	}
}
