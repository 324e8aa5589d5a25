package capacity

import (
	"testing"
	"time"
)

// A keeper is busy while a book is not open or a prompt waits, and not with nothing but lent slots.
func TestBusy(t *testing.T) {
	b := newBench(Worker{Capacity: 1, MaxWaiting: 3, FirstTokenTime: 50 * ms})
	busy := func(want bool, when string) {
		t.Helper()
		if b.Busy() != want {
			t.Errorf("%s: busy is %v", when, !want)
		}
	}
	b.pass(20 * ms)
	busy(false, "open and idle")
	b.ask(1, time.Second, false)
	busy(false, "one slot lent")
	b.ask(2, time.Second, true)
	busy(true, "one prompt waits")
	b.back(1)
	busy(false, "it has gone in")
	b.SetRouters([]Peer{{Node: 1}, {Node: 2}}, nil)
	busy(true, "another router came")
	g := New(1)
	g.SetWorkers(map[string]Worker{"s/w": {Capacity: 1}})
	g.SetRouters([]Peer{{Node: 1}}, nil)
	busy(true, "a worker to keep")
	g.Tick(b.now)
	if !g.Busy() {
		t.Error("a book that awaits reports is no business")
	}
}
