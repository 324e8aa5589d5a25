package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

const ms = time.Millisecond

// ledgerHarness is the coordinator of one worker with all reports in. Tests feed it messages and collect its replies.
type ledgerHarness struct {
	*Ledger
	now     units.Time
	replies []Header
	kinds   []message.Kind
	worth   uint16
}

func newHarness(w Worker) *ledgerHarness {
	b := &ledgerHarness{Ledger: New(1), now: units.Time(time.Hour)}
	b.SetWorkers(map[string]Worker{"s/w": w})
	b.SetRouters([]Peer{{Node: 1}}, nil)
	b.collectReplies(b.Tick(b.now))
	b.collectReplies(b.Step(b.now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, 0)}))
	return b
}

func (b *ledgerHarness) collectReplies(o message.Effects) {
	for _, n := range o.Messages {
		if n.Kind == Grant || n.Kind == Refusal || n.Kind == Queued {
			h, _, err := Unpack(n.Body)
			if err != nil {
				panic(err)
			}
			b.replies, b.kinds = append(b.replies, h), append(b.kinds, n.Kind)
		}
	}
}

func (b *ledgerHarness) acquire(tag uint64, timeLeft time.Duration, wait bool) message.Kind {
	h := Header{Tag: tag, TimeLeft: uint32(units.ToMillis(timeLeft)), Worth: b.worth}
	if wait {
		h.Wait = 1
	}
	b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Acquire, Body: Pack(h, "s/w")}))
	return b.kinds[len(b.kinds)-1]
}

func (b *ledgerHarness) release(tag uint64) {
	b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: tag}, "s/w")}))
}

func (b *ledgerHarness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(20 * ms)
		b.collectReplies(b.Tick(b.now))
	}
}

func (b *ledgerHarness) wasGranted(tag uint64) bool {
	for i, h := range b.replies {
		if h.Tag == tag && b.kinds[i] == Grant {
			return true
		}
	}
	return false
}

// Below the capacity requests are granted; at the capacity they wait in a bounded waitlist ordered by deadline; beyond it
// they are refused at once (docs/design.md, section 6).
func TestCapacityAndWaitlist(t *testing.T) {
	b := newHarness(Worker{Capacity: 2, MaxWaiting: 3, FirstTokenTime: 50 * ms})
	if b.acquire(1, time.Second, false) != Grant || b.acquire(2, time.Second, false) != Grant {
		t.Fatal("two requests within a capacity of two are not granted")
	}
	if b.acquire(3, time.Second, false) != Refusal || b.replies[2].Reason != ReasonBusy {
		t.Fatal("a third request that may not wait is not refused as busy")
	}
	for tag, left := range map[uint64]time.Duration{13: 3 * time.Second, 11: time.Second, 12: 2 * time.Second} {
		if b.acquire(tag, left, true) != Queued {
			t.Fatalf("request %d may wait, but was refused", tag)
		}
	}
	if b.acquire(14, 9*time.Second, true) != Refusal || b.replies[len(b.replies)-1].Reason != ReasonQueueFull {
		t.Fatal("the waitlist is not bounded")
	}
	for _, tag := range []uint64{11, 12, 13} {
		b.release(1)
		b.release(2)
		if !b.wasGranted(tag) {
			t.Fatalf("request %d has the earliest deadline but was not granted", tag)
		}
		b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: tag}, "s/w")}))
	}
}

// A request whose deadline can't be met at the measured release rate is refused while there is still time to go elsewhere.
func TestRefusesUnreachableDeadlineEarly(t *testing.T) {
	b := newHarness(Worker{Capacity: 1, MaxWaiting: 9, FirstTokenTime: 100 * ms})
	for tag := range uint64(4) {
		b.acquire(tag+1, 30*time.Second, true)
		b.advance(time.Second)
		b.release(tag + 1)
	}
	b.acquire(50, 30*time.Second, true)
	if b.acquire(51, 900*ms, true) != Refusal || b.replies[len(b.replies)-1].Reason != ReasonTooLate {
		t.Error("not refused with an expected wait of 1 s and 0.9 s left")
	}
	if b.acquire(52, 5*time.Second, true) != Queued {
		t.Error("refused although 5 s are enough")
	}
	// The slot isn't released as expected: waiting requests are refused well before their deadlines.
	b.acquire(53, 5*time.Second, true)
	b.acquire(54, 5*time.Second, true)
	b.advance(3500 * ms)
	refusedEarly := 0
	for i, h := range b.replies {
		if h.Tag >= 53 && b.kinds[i] == Refusal && h.Reason == ReasonTooLate {
			refusedEarly++
		}
	}
	if refusedEarly != 2 {
		t.Errorf("%d of the last two were refused early, want 2", refusedEarly)
	}
}

// A started worker's capacity grows during its warm-up. A draining worker's coordinator grants nothing and refuses the
// waiting requests.
func TestWarmUpAndDraining(t *testing.T) {
	b := newHarness(Worker{Capacity: 4, MaxWaiting: 9, WarmUp: 4 * time.Second, StartedAt: units.Time(time.Hour)})
	for s, want := range []int{1, 1, 2, 3, 4, 4} {
		if got := b.Capacity(b.now.Add(time.Duration(s)*time.Second), "s/w"); got != want {
			t.Errorf("after %d s the capacity is %d, want %d", s, got, want)
		}
	}
	b.acquire(1, 9*time.Second, true)
	b.acquire(2, 9*time.Second, true)
	b.SetWorkers(map[string]Worker{"s/w": {Capacity: 4, MaxWaiting: 9, Closed: true}})
	b.advance(20 * ms)
	if last := b.replies[len(b.replies)-1]; last.Tag != 2 || last.Reason != ReasonClosed {
		t.Errorf("the reply to a request waiting for a draining worker is %v", last)
	}
	if b.acquire(3, 9*time.Second, false) != Refusal {
		t.Error("a permit of a draining worker is granted")
	}
}

// A run that may still be in progress keeps its slot until its deadline, and so do the runs of a lost router.
func TestUncertainRunKeepsItsSlot(t *testing.T) {
	b := newHarness(Worker{Capacity: 1, MaxWaiting: 9})
	b.acquire(1, 2*time.Second, false)
	b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: 1, Wait: 1}, "s/w")}))
	b.acquire(2, 9*time.Second, true)
	b.advance(1900 * ms)
	if b.wasGranted(2) {
		t.Fatal("the slot of a run that may still be in progress was granted")
	}
	b.advance(800 * ms)
	if !b.wasGranted(2) {
		t.Error("the slot was never freed")
	}
}

// While a coordinator collects reports again its slots are free: an earlier release interval must not cause a refusal.
func TestFreeSlotsMeanNoWait(t *testing.T) {
	b := newHarness(Worker{Capacity: 1, MaxWaiting: 9})
	for tag := range uint64(3) {
		b.acquire(tag+1, 30*time.Second, true)
		b.advance(4 * time.Second)
		b.release(tag + 1)
	}
	h := Header{Tag: 9, TimeLeft: 2000, Wait: 1, Reason: ReasonNotCoordinator}
	b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Acquire, Body: Pack(h, "s/w")}))
	if k := b.kinds[len(b.kinds)-1]; k != Queued {
		t.Fatalf("refused with reason %d", b.replies[len(b.replies)-1].Reason)
	}
	b.collectReplies(b.Step(b.now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, 0)}))
	if !b.wasGranted(9) {
		t.Error("not granted once the reports are in")
	}
}

// The adaptive capacity depends on waiting time only: a burst lowers it to its minimum, long runs without waiting don't
// change it, and after the burst it recovers. With an earlier algorithm the capacity stayed low.
func TestAdaptRecovers(t *testing.T) {
	b := newHarness(Worker{Capacity: 8, MaxWaiting: 99, Adaptive: true, MinCapacity: 3, TargetWait: 50 * ms})
	tag := uint64(0)
	run := func(duration time.Duration, perTick int, hold int) {
		var inUse []uint64
		for end := b.now.Add(duration); b.now < end; {
			for range perTick {
				tag++
				b.acquire(tag, 20*time.Second, true)
				inUse = append(inUse, tag)
			}
			if len(inUse) > hold {
				for _, x := range inUse[:len(inUse)-hold] {
					b.release(x)
				}
				inUse = inUse[len(inUse)-hold:]
			}
			b.advance(200 * ms)
		}
		for _, x := range inUse {
			b.release(x)
		}
	}
	run(5*time.Second, 1, 2) // slow runs, no waiting
	if c := b.Capacity(b.now, "s/w"); c != 8 {
		t.Fatalf("without waiting the capacity is %d, want 8", c)
	}
	run(20*time.Second, 6, 30)
	low := b.Capacity(b.now, "s/w")
	if low != 3 {
		t.Errorf("in the burst the capacity is %d, want the minimum 3", low)
	}
	run(10*time.Second, 1, 2)
	if c := b.Capacity(b.now, "s/w"); c != 8 {
		t.Errorf("after the burst the capacity is %d, want 8", c)
	}
}

// A new coordinator grants nothing before all live routers have reported and the runs of unreachable ones are over.
func TestTakeoverWaitsForReports(t *testing.T) {
	g := New(1)
	now := units.Time(time.Hour)
	g.SetWorkers(map[string]Worker{"s/w": {Capacity: 2, MaxWaiting: 9}})
	g.SetRouters([]Peer{{Node: 1}, {Node: 2}}, map[units.NodeID]units.Time{3: now.Add(3 * time.Second)})
	if Coordinator([]Peer{{Node: 1}, {Node: 2}}, "s/w", "") != 1 {
		g.self = 2
	}
	g.Tick(now)
	b := &ledgerHarness{Ledger: g, now: now}
	b.acquire(1, 20*time.Second, true)
	b.collectReplies(g.Step(now, message.Message{From: 1, Kind: Report, Body: PackReport("s/w", nil, 0)}))
	b.advance(5 * time.Second)
	if b.wasGranted(1) {
		t.Fatal("granted before node 2 reported")
	}
	b.collectReplies(g.Step(b.now, message.Message{From: 2, Kind: Report, Body: PackReport("s/w", []HeldPermit{{Tag: 7, TimeLeft: 2000}}, 0)}))
	if !b.wasGranted(1) {
		t.Error("not granted although all have reported and the unreachable router's runs are over")
	}
	if b.acquire(2, 20*time.Second, true) != Queued {
		t.Error("node 2's permit is not counted")
	}
}
