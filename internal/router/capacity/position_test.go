package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// With all slots in use and the waitlist full, a request of higher worth displaces one of the lowest worth, and the waitlist
// stays ordered by deadline. A request whose worth is no higher than any waiting one's is refused.
func TestHigherWorthDisplacesLower(t *testing.T) {
	b := newHarness(Worker{Capacity: 1, MaxWaiting: 2, FirstTokenTime: 50 * ms})
	acquireWithWorth := func(tag uint64, left time.Duration, w uint16) (message.Kind, Header) {
		b.worth = w
		k := b.acquire(tag, left, true)
		b.worth = 0
		return k, b.replies[len(b.replies)-1]
	}
	b.acquire(1, time.Second, false)
	for tag, left := range map[uint64]time.Duration{11: 20 * time.Second, 12: 6 * time.Second} {
		if k, _ := acquireWithWorth(tag, left, 1); k != Queued {
			t.Fatal("refused although the waitlist has room")
		}
	}
	if k, h := acquireWithWorth(13, 4*time.Second, 1); k != Refusal || h.Reason != ReasonQueueFull {
		t.Fatal("a request of equal worth is not refused")
	}
	at := len(b.replies)
	if k, _ := acquireWithWorth(14, 4*time.Second, 3); k != Queued {
		t.Fatal("a request of higher worth may not wait")
	}
	displaced := 0
	for i, h := range b.replies[at:] {
		if b.kinds[at+i] == Refusal {
			if displaced++; h.Tag != 11 || h.Reason != ReasonQueueFull {
				t.Errorf("request %d was displaced, with reason %d", h.Tag, h.Reason)
			}
		}
	}
	if displaced != 1 {
		t.Errorf("%d requests were displaced, want 1", displaced)
	}
	b.release(1)
	if !b.wasGranted(14) || b.wasGranted(12) {
		t.Error("the earliest deadline was not granted first")
	}
	b.release(14)
	if !b.wasGranted(12) {
		t.Error("the request that was not displaced was not granted")
	}
}

// A request that would miss its deadline even after displacing others is refused, and displaces none.
func TestNobodyIsDisplacedInVain(t *testing.T) {
	b := newHarness(Worker{Capacity: 1, MaxWaiting: 9, FirstTokenTime: 100 * ms})
	for tag := range uint64(4) {
		b.acquire(tag+1, 30*time.Second, true)
		b.advance(time.Second)
		b.release(tag + 1)
	}
	b.acquire(50, 30*time.Second, true)
	b.worth = 1
	b.acquire(51, 2200*ms, true)
	b.acquire(54, 2300*ms, true)
	at := len(b.replies)
	b.worth = 5
	if b.acquire(52, 500*ms, true) != Refusal || len(b.replies) != at+1 {
		t.Errorf("%d replies, want one refusal", len(b.replies)-at)
	}
	if b.acquire(53, 2400*ms, true) != Queued {
		t.Error("refused although displacing one request meets the deadline")
	}
	displaced := 0
	for i, h := range b.replies[at:] {
		if b.kinds[at+i] == Refusal && (h.Tag == 51 || h.Tag == 54) {
			displaced++
		}
	}
	if displaced != 1 {
		t.Errorf("%d of lower worth were displaced, want 1", displaced)
	}
}
