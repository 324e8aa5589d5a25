package router

import (
	"testing"

	"seamshunt/internal/testutil"
)

// lentPermits gives the permits out and whether the one worker's slots are lent at all.
func lentPermits(v *Router) (lent int, open bool) {
	v.coordinatorMu.Lock()
	defer v.coordinatorMu.Unlock()
	for _, k := range v.coordinator.Kept(v.Tasks.Now()) {
		return k.Lent, k.Open
	}
	return 0, false
}

// After a freeze a router throws its keeper's books away, collects them anew, and serves again; the permit that a
// stream holds meanwhile is found again.
func TestCoordinatorRestartsAfterPause(t *testing.T) {
	t.Parallel()
	a, conns := startNativeWorker(t)
	v := newTestRouter(t, a)
	sendPrompt(t, v, "/chat")
	h := <-conns
	defer h.Close()
	v.onResume(v.Tasks.Now())
	if v.ready.Load() {
		t.Error("a woken router takes prompts before its news is confirmed")
	}
	testutil.Until(t, "it lends again", func() bool { n, open := lentPermits(v); return open && n == 1 })
}

// The slot of a run that was cut short is free only after its worker had time to notice the broken wire.
func TestAbortedRunHoldsItsSlot(t *testing.T) {
	t.Parallel()
	a, conns := startNativeWorker(t)
	v := newTestRouter(t, a)
	c := sendPrompt(t, v, "/chat")
	h := <-conns
	startedAt := v.Tasks.Now()
	c.Close()
	awaitWorkerDisconnect(t, h)
	testutil.Until(t, "the slot is free", func() bool { n, _ := lentPermits(v); return n == 0 })
	if d := v.Tasks.Now().Sub(startedAt); d < 250_000_000 {
		t.Errorf("the slot was free after %v, when the worker may still have been running", d)
	}
}
