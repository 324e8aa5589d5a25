package router

import (
	"testing"

	"seamshunt/internal/testutil"
)

// lentPermits returns the number of permits that are lent for the only worker, and whether its coordinator lends any at all.
func lentPermits(v *Router) (lent int, open bool) {
	v.coordinatorMu.Lock()
	defer v.coordinatorMu.Unlock()
	for _, status := range v.coordinator.Status(v.Tasks.Now()) {
		return status.InUse, status.Open
	}
	return 0, false
}

// After a pause a router discards its coordinator's state, collects it again from all routers and lends permits again. The
// permit that a running stream holds is counted again.
func TestCoordinatorRestartsAfterPause(t *testing.T) {
	t.Parallel()
	a, conns := startNativeWorker(t)
	v := newTestRouter(t, a)
	sendPrompt(t, v, "/chat")
	h := <-conns
	defer h.Close()
	v.onResume(v.Tasks.Now())
	if v.ready.Load() {
		t.Error("a resumed router accepts prompts before its configuration is confirmed")
	}
	testutil.WaitUntil(t, "the coordinator lends again", func() bool { n, open := lentPermits(v); return open && n == 1 })
}

// The slot of an aborted run becomes free only after its worker has had time to notice the closed connection.
func TestAbortedRunHoldsItsSlot(t *testing.T) {
	t.Parallel()
	a, conns := startNativeWorker(t)
	v := newTestRouter(t, a)
	c := sendPrompt(t, v, "/chat")
	h := <-conns
	startedAt := v.Tasks.Now()
	c.Close()
	awaitWorkerDisconnect(t, h)
	testutil.WaitUntil(t, "the slot is free", func() bool { n, _ := lentPermits(v); return n == 0 })
	if d := v.Tasks.Now().Sub(startedAt); d < 250_000_000 {
		t.Errorf("the slot was free after %v, when the worker may still have been running", d)
	}
}
