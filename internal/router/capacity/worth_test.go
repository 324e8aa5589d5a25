package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// With all slots lent and the list full, a prompt of more worth takes the place of the least worth, in the order of
// deadlines; among equals the list is as it always was; who has no more worth than any is refused.
func TestWorth(t *testing.T) {
	b := newBench(Worker{Capacity: 1, MaxWaiting: 2, FirstTokenTime: 50 * ms})
	worth := func(tag uint64, left time.Duration, w uint16) (message.Kind, Header) {
		b.worth = w
		k := b.ask(tag, left, true)
		b.worth = 0
		return k, b.sent[len(b.sent)-1]
	}
	b.ask(1, time.Second, false)
	for tag, left := range map[uint64]time.Duration{11: 20 * time.Second, 12: 6 * time.Second} {
		if k, _ := worth(tag, left, 1); k != Queued {
			t.Fatal("there is room")
		}
	}
	if k, h := worth(13, 4*time.Second, 1); k != Refusal || h.Reason != ReasonQueueFull {
		t.Fatal("no more worth than those that wait: refused, as ever")
	}
	at := len(b.sent)
	if k, _ := worth(14, 4*time.Second, 3); k != Queued {
		t.Fatal("more worth than those that wait: it waits")
	}
	out := 0
	for i, h := range b.sent[at:] {
		if b.kind[at+i] == Refusal {
			if out++; h.Tag != 11 || h.Reason != ReasonQueueFull {
				t.Errorf("%d had to yield, with reason %d", h.Tag, h.Reason)
			}
		}
	}
	if out != 1 {
		t.Errorf("%d had to yield", out)
	}
	b.back(1)
	if !b.granted(14) || b.granted(12) {
		t.Error("the earliest deadline goes first")
	}
	b.back(14)
	if !b.granted(12) {
		t.Error("what did not have to yield still gets its turn")
	}
}

// Nobody yields in vain: a prompt that would be late even so is refused alone.
func TestNobodyYieldsInVain(t *testing.T) {
	b := newBench(Worker{Capacity: 1, MaxWaiting: 9, FirstTokenTime: 100 * ms})
	for tag := range uint64(4) {
		b.ask(tag+1, 30*time.Second, true)
		b.pass(time.Second)
		b.back(tag + 1)
	}
	b.ask(50, 30*time.Second, true)
	b.worth = 1
	b.ask(51, 2200*ms, true)
	b.ask(54, 2300*ms, true)
	at := len(b.sent)
	b.worth = 5
	if b.ask(52, 500*ms, true) != Refusal || len(b.sent) != at+1 {
		t.Errorf("%d notes: one refusal is wanted", len(b.sent)-at)
	}
	if b.ask(53, 2400*ms, true) != Queued {
		t.Error("in time once the one of less worth has yielded")
	}
	lost := 0
	for i, h := range b.sent[at:] {
		if b.kind[at+i] == Refusal && (h.Tag == 51 || h.Tag == 54) {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of less worth had to yield, one is enough", lost)
	}
}
