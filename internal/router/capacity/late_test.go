package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// A keeper that opened its book while it knew few others asks whoever comes into view later, and counts what that one
// holds: nothing more is lent than the cap bears.
func TestLatecomersAreAsked(t *testing.T) {
	b := newBench(Worker{Capacity: 2, MaxWaiting: 2, FirstTokenTime: 50 * ms})
	b.SetRouters([]Peer{{Node: 1}, {Node: 7}}, nil)
	b.now = b.now.Add(time.Second)
	asked := false
	for _, n := range b.Tick(b.now).Messages {
		asked = asked || n.To == 7 && n.Kind == ReportRequest
	}
	if !asked {
		t.Fatal("the latecomer is not asked")
	}
	held := []HeldPermit{{Tag: 71, TimeLeft: 5000}, {Tag: 72, TimeLeft: 5000}}
	b.out(b.Step(b.now, message.Message{From: 7, Kind: Report, Body: PackReport("s/w", held, 0)}))
	if k := b.ask(1, 10*time.Second, false); k != Refusal || b.Status(b.now)[0].InUse != 2 {
		t.Errorf("lent %d, and one more: %v", b.Status(b.now)[0].InUse, k == Grant)
	}
	b.out(b.Step(b.now, message.Message{From: 7, Kind: Report, Body: PackReport("s/w", []HeldPermit{{Tag: 73, TimeLeft: 5000}}, 0)}))
	if b.Status(b.now)[0].InUse != 2 {
		t.Error("a report that nobody asked for changes the book")
	}
}
