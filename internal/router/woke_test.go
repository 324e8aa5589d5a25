package router

import (
	"testing"

	"seamshunt/internal/testutil"
)

// lent gives the permits out and whether the one worker's slots are lent at all.
func lent(v *Router) (n int, open bool) {
	v.ledgerMu.Lock()
	defer v.ledgerMu.Unlock()
	for _, k := range v.ledger.Status(v.Tasks.Now()) {
		return k.InUse, k.Open
	}
	return 0, false
}

// After a freeze a router throws its keeper's books away, collects them anew, and serves again; the permit that a
// stream holds meanwhile is found again.
func TestWokeKeepsAgain(t *testing.T) {
	t.Parallel()
	a, hands := scripted(t)
	v := rig(t, a)
	ask(t, v, "/chat")
	h := <-hands
	defer h.Close()
	v.woke(v.Tasks.Now())
	if v.ready.Load() {
		t.Error("a woken router takes prompts before its news is confirmed")
	}
	testutil.WaitUntil(t, "it lends again", func() bool { n, open := lent(v); return open && n == 1 })
}

// The slot of a run that was cut short is free only after its worker had time to notice the broken wire.
func TestCutRunKeepsItsSlotAWhile(t *testing.T) {
	t.Parallel()
	a, hands := scripted(t)
	v := rig(t, a)
	c := ask(t, v, "/chat")
	h := <-hands
	began := v.Tasks.Now()
	c.Close()
	gone(t, h)
	testutil.WaitUntil(t, "the slot is free", func() bool { n, _ := lent(v); return n == 0 })
	if d := v.Tasks.Now().Sub(began); d < 250_000_000 {
		t.Errorf("the slot was free after %v, when the worker may still have been running", d)
	}
}
