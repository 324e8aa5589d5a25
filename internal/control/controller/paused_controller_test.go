package controller

import (
	"bufio"
	"sync/atomic"
	"testing"

	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Invariant EVAC: a withdrawal waited in the socket of a paused controller, and its client gave up without closing the
// connection. The delayed request must not be applied; the same holds for an evacuation. A client that receives the
// unknown outcome may send it again.
func TestRequestFromBeforeAPauseUndoesNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, zoneAdapter())
	for _, x := range []struct {
		name, request string
		evacuated     bool // the state that was acknowledged last
	}{{"withdrawal", withdrawal, true}, {"evacuation", evacuation, false}} {
		t.Run(x.name, func(t *testing.T) {
			pauseStart := controllers[0].Tasks.Now()
			conn := holdRequest(t, x.request)
			latest := toggleZone(t, controllers[1], controllers[0], x.evacuated)
			var backlogRead atomic.Bool
			resumed := &operatorListener{Listener: conn.listener.Listener, earliestArrival: func() units.Time {
				if backlogRead.Load() {
					return controllers[0].Tasks.Now()
				}
				return pauseStart
			}}
			controllers[0].Tasks.Go(func() { _ = controllers[0].httpServer.Serve(resumed) })
			answers := bufio.NewReader(conn)
			if status := exchange(t, conn, answers, ""); status != 503 {
				t.Errorf("answered %d", status)
			}
			expectState(t, controllers[1], latest, x.evacuated)
			backlogRead.Store(true)
			exchange(t, conn, answers, readRequest)
			if status := exchange(t, conn, answers, x.request); status != 200 {
				t.Errorf("sent again: answered %d", status)
			}
			expectState(t, controllers[1], latest+1, !x.evacuated)
		})
	}
}

// Invariant EVAC: a withdrawal was delayed inside the fleet. Its client gave up, and the evacuation was acknowledged
// again, with a newer version. The delayed withdrawal must get a conflict.
func TestDelayedWithdrawalConflictsWithANewerWrite(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, testAdapter())
	for round, evacuated := range []bool{true, false, true, false} {
		setZoneUntilClear(t, controllers[0], evacuated)
		baseVersion, _ := readZone(t, controllers[0])
		opposite := register.Request{Key: node.ZonePrefix + testZone, ExpectedVersion: baseVersion, Data: []byte(stateText(!evacuated))}
		setZoneUntilClear(t, controllers[1+round%2], evacuated)
		code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
			ctx, cancel := withAnswerTimeout(register.AnswerTimeout)
			defer cancel()
			return controllers[2-round%2].writeAudited(ctx, opposite).Code, nil
		})
		if _, state := readZone(t, controllers[0]); code != resultcode.VersionConflict || state != stateText(evacuated) {
			t.Errorf("round %d: the delayed request got %d, the zone is %s", round, code, state)
		}
	}
}
