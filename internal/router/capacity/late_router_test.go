package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// A coordinator that opened its state while it knew few routers requests reports from routers that appear later, and counts
// the permits they hold: no more than the capacity is in use.
func TestLateRoutersAreQueried(t *testing.T) {
	b := newHarness(Worker{Capacity: 2, MaxWaiting: 2, FirstTokenTime: 50 * ms})
	b.SetRouters([]Peer{{Node: 1}, {Node: 7}}, nil)
	b.now = b.now.Add(time.Second)
	requested := false
	for _, n := range b.Tick(b.now).Messages {
		requested = requested || n.To == 7 && n.Kind == ReportRequest
	}
	if !requested {
		t.Fatal("no report is requested from the late router")
	}
	held := []HeldPermit{{Tag: 71, TimeLeft: 5000}, {Tag: 72, TimeLeft: 5000}}
	b.collectReplies(b.Step(b.now, message.Message{From: 7, Kind: Report, Body: PackReport("s/w", held, 0)}))
	if k := b.acquire(1, 10*time.Second, false); k != Refusal || b.Status(b.now)[0].InUse != 2 {
		t.Errorf("%d in use, one more granted: %v", b.Status(b.now)[0].InUse, k == Grant)
	}
	b.collectReplies(b.Step(b.now, message.Message{From: 7, Kind: Report,
		Body: PackReport("s/w", []HeldPermit{{Tag: 73, TimeLeft: 5000}}, 0)}))
	if b.Status(b.now)[0].InUse != 2 {
		t.Error("an unrequested report is counted")
	}
}
