package capacity

import (
	"testing"
	"time"
)

// A ledger is busy while a worker's state isn't open or a request waits. It is not busy if permits are only in use.
func TestBusy(t *testing.T) {
	b := newHarness(Worker{Capacity: 1, MaxWaiting: 3, FirstTokenTime: 50 * ms})
	busy := func(want bool, when string) {
		t.Helper()
		if b.Busy() != want {
			t.Errorf("%s: busy is %v", when, !want)
		}
	}
	b.advance(20 * ms)
	busy(false, "open and idle")
	b.acquire(1, time.Second, false)
	busy(false, "one slot in use")
	b.acquire(2, time.Second, true)
	busy(true, "one request waits")
	b.release(1)
	busy(false, "the waiting request was granted")
	b.SetRouters([]Peer{{Node: 1}, {Node: 2}}, nil)
	busy(true, "another router appeared")
	g := New(1)
	g.SetWorkers(map[string]Worker{"s/w": {Capacity: 1}})
	g.SetRouters([]Peer{{Node: 1}}, nil)
	busy(true, "a worker to coordinate")
	g.Tick(b.now)
	if !g.Busy() {
		t.Error("not busy while reports are awaited")
	}
}
