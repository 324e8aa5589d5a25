package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

const ms = time.Millisecond

// bench is one keeper of one worker, opened, with notes put in by hand.
type bench struct {
	*Ledger
	now   units.Time
	sent  []Header
	kind  []message.Kind
	worth uint16
}

func newBench(w Worker) *bench {
	b := &bench{Ledger: New(1), now: units.Time(time.Hour)}
	b.SetWorkers(map[string]Worker{"s/w": w})
	b.SetRouters([]Peer{{Node: 1}}, nil)
	b.out(b.Tick(b.now))
	b.out(b.Step(b.now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, 0)}))
	return b
}

func (b *bench) out(o message.Effects) {
	for _, n := range o.Messages {
		if n.Kind == Grant || n.Kind == Refusal || n.Kind == Queued {
			h, _, err := Unpack(n.Body)
			if err != nil {
				panic(err)
			}
			b.sent, b.kind = append(b.sent, h), append(b.kind, n.Kind)
		}
	}
}

func (b *bench) ask(tag uint64, left time.Duration, wait bool) message.Kind {
	h := Header{Tag: tag, TimeLeft: uint32(units.ToMillis(left)), Worth: b.worth}
	if wait {
		h.Wait = 1
	}
	b.out(b.Step(b.now, message.Message{From: 2, Kind: Acquire, Body: Pack(h, "s/w")}))
	return b.kind[len(b.kind)-1]
}

func (b *bench) back(tag uint64) {
	b.out(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: tag}, "s/w")}))
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(20 * ms)
		b.out(b.Tick(b.now))
	}
}

func (b *bench) granted(tag uint64) bool {
	for i, h := range b.sent {
		if h.Tag == tag && b.kind[i] == Grant {
			return true
		}
	}
	return false
}

// Under the cap: in. At the cap: a bounded list by deadline, and beyond it a refusal at once (design 6).
func TestCapAndList(t *testing.T) {
	b := newBench(Worker{Capacity: 2, MaxWaiting: 3, FirstTokenTime: 50 * ms})
	if b.ask(1, time.Second, false) != Grant || b.ask(2, time.Second, false) != Grant {
		t.Fatal("two under a cap of two")
	}
	if b.ask(3, time.Second, false) != Refusal || b.sent[2].Reason != ReasonBusy {
		t.Fatal("a third that won't wait is told that all is busy")
	}
	for tag, left := range map[uint64]time.Duration{13: 3 * time.Second, 11: time.Second, 12: 2 * time.Second} {
		if b.ask(tag, left, true) != Queued {
			t.Fatalf("%d may wait", tag)
		}
	}
	if b.ask(14, 9*time.Second, true) != Refusal || b.sent[len(b.sent)-1].Reason != ReasonQueueFull {
		t.Fatal("the list is bounded")
	}
	for _, tag := range []uint64{11, 12, 13} {
		b.back(1)
		b.back(2)
		if !b.granted(tag) {
			t.Fatalf("%d has the earliest deadline of those that wait", tag)
		}
		b.out(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: tag}, "s/w")}))
	}
}

// A deadline that the measured turnover can't meet is refused while there is still time to go elsewhere.
func TestShedsEarly(t *testing.T) {
	b := newBench(Worker{Capacity: 1, MaxWaiting: 9, FirstTokenTime: 100 * ms})
	for tag := range uint64(4) {
		b.ask(tag+1, 30*time.Second, true)
		b.pass(time.Second)
		b.back(tag + 1)
	}
	b.ask(50, 30*time.Second, true)
	if b.ask(51, 900*ms, true) != Refusal || b.sent[len(b.sent)-1].Reason != ReasonTooLate {
		t.Error("a second's wait is foreseen, 0.9 s are left")
	}
	if b.ask(52, 5*time.Second, true) != Queued {
		t.Error("five seconds reach")
	}
	// The slot does not come back as foreseen: what waits is told so well before its time is out.
	b.ask(53, 5*time.Second, true)
	b.ask(54, 5*time.Second, true)
	b.pass(3500 * ms)
	late := 0
	for i, h := range b.sent {
		if h.Tag >= 53 && b.kind[i] == Refusal && h.Reason == ReasonTooLate {
			late++
		}
	}
	if late != 2 {
		t.Errorf("%d of the two behind were told early", late)
	}
}

// A started worker's cap grows over its warm-up; a leaving one lends nothing and sends the waiting away.
func TestWarmUpAndLeaving(t *testing.T) {
	b := newBench(Worker{Capacity: 4, MaxWaiting: 9, WarmUp: 4 * time.Second, StartedAt: units.Time(time.Hour)})
	for s, want := range []int{1, 1, 2, 3, 4, 4} {
		if got := b.Capacity(b.now.Add(time.Duration(s)*time.Second), "s/w"); got != want {
			t.Errorf("after %d s the cap is %d, want %d", s, got, want)
		}
	}
	b.ask(1, 9*time.Second, true)
	b.ask(2, 9*time.Second, true)
	b.SetWorkers(map[string]Worker{"s/w": {Capacity: 4, MaxWaiting: 9, Closed: true}})
	b.pass(20 * ms)
	if last := b.sent[len(b.sent)-1]; last.Tag != 2 || last.Reason != ReasonClosed {
		t.Errorf("who waits for a leaving worker hears %v", last)
	}
	if b.ask(3, 9*time.Second, false) != Refusal {
		t.Error("a leaving worker lends")
	}
}

// An unsure run keeps its slot till its own deadline; a lost router's slots likewise.
func TestUnsureKeepsItsSlot(t *testing.T) {
	b := newBench(Worker{Capacity: 1, MaxWaiting: 9})
	b.ask(1, 2*time.Second, false)
	b.out(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: 1, Wait: 1}, "s/w")}))
	b.ask(2, 9*time.Second, true)
	b.pass(1900 * ms)
	if b.granted(2) {
		t.Fatal("the slot of a run that may still be going was lent")
	}
	b.pass(800 * ms)
	if !b.granted(2) {
		t.Error("the slot never came back")
	}
}

// A keeper that collects its reports anew has free slots: its old turnover must not refuse who asks just then.
func TestFreeSlotsAreNoWait(t *testing.T) {
	b := newBench(Worker{Capacity: 1, MaxWaiting: 9})
	for tag := range uint64(3) {
		b.ask(tag+1, 30*time.Second, true)
		b.pass(4 * time.Second)
		b.back(tag + 1)
	}
	h := Header{Tag: 9, TimeLeft: 2000, Wait: 1, Reason: ReasonNotCoordinator}
	b.out(b.Step(b.now, message.Message{From: 2, Kind: Acquire, Body: Pack(h, "s/w")}))
	if k := b.kind[len(b.kind)-1]; k != Queued {
		t.Fatalf("refused with reason %d", b.sent[len(b.sent)-1].Reason)
	}
	b.out(b.Step(b.now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, 0)}))
	if !b.granted(9) {
		t.Error("not lent once the reports are in")
	}
}

// AIMD, keyed on waiting time only: a burst brings the cap down to its floor, long runs without waiting do not
// touch it, and after the burst it is back at the knee. The source's own failure was a cap that stayed down.
func TestAdaptRecovers(t *testing.T) {
	b := newBench(Worker{Capacity: 8, MaxWaiting: 99, Adaptive: true, MinCapacity: 3, TargetWait: 50 * ms})
	tag := uint64(0)
	run := func(span time.Duration, perTick int, hold int) {
		var out []uint64
		for end := b.now.Add(span); b.now < end; {
			for range perTick {
				tag++
				b.ask(tag, 20*time.Second, true)
				out = append(out, tag)
			}
			if len(out) > hold {
				for _, x := range out[:len(out)-hold] {
					b.back(x)
				}
				out = out[len(out)-hold:]
			}
			b.pass(200 * ms)
		}
		for _, x := range out {
			b.back(x)
		}
	}
	run(5*time.Second, 1, 2) // slow runs, no wait
	if c := b.Capacity(b.now, "s/w"); c != 8 {
		t.Fatalf("without waiting the cap went to %d", c)
	}
	run(20*time.Second, 6, 30)
	low := b.Capacity(b.now, "s/w")
	if low != 3 {
		t.Errorf("in the burst the cap is %d, its floor 3", low)
	}
	run(10*time.Second, 1, 2)
	if c := b.Capacity(b.now, "s/w"); c != 8 {
		t.Errorf("after the burst the cap is %d, the knee 8", c)
	}
}

// A new keeper lends nothing before every live node has reported, nor before a silent one's runs are over.
func TestTakeOverWaits(t *testing.T) {
	g := New(1)
	now := units.Time(time.Hour)
	g.SetWorkers(map[string]Worker{"s/w": {Capacity: 2, MaxWaiting: 9}})
	g.SetRouters([]Peer{{Node: 1}, {Node: 2}}, map[units.NodeID]units.Time{3: now.Add(3 * time.Second)})
	if Coordinator([]Peer{{Node: 1}, {Node: 2}}, "s/w", "") != 1 {
		g.self = 2
	}
	g.Tick(now)
	b := &bench{Ledger: g, now: now}
	b.ask(1, 20*time.Second, true)
	b.out(g.Step(now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, 0)}))
	b.pass(5 * time.Second)
	if b.granted(1) {
		t.Fatal("lent before node 2 reported")
	}
	b.out(g.Step(b.now, message.Message{From: 2, Kind: Report, Body: PackReport("s/w", []HeldPermit{{Tag: 7, TimeLeft: 2000}}, 0)}))
	if !b.granted(1) {
		t.Error("not lent after all have reported and the silent one's runs are over")
	}
	if b.ask(2, 20*time.Second, true) != Queued {
		t.Error("node 2's permit is not counted")
	}
}
