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

// EVAC: a withdrawal waited in the socket of a controller that stood still, and its caller went on without closing its
// connection. The same the other way round, for an evacuation. A caller that learns that its order is left open may give it again.
func TestOrderFromBeforeAFreezeUndoesNothing(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, zoneBook())
	for _, x := range []struct {
		name, late string
		out        bool // what the others have acknowledged last
	}{{"withdrawal", withdrawal, true}, {"evacuation", evacuation, false}} {
		t.Run(x.name, func(t *testing.T) {
			began := cs[0].Tasks.Now()
			conn := holdRequest(t, x.late)
			newest := turnTwice(t, cs[1], cs[0], x.out)
			var settled atomic.Bool
			woken := &callers{Listener: conn.listener.Listener, arrivedAfter: func() units.Time {
				if settled.Load() {
					return cs[0].Tasks.Now()
				}
				return began
			}}
			cs[0].Tasks.Go(func() { _ = cs[0].web.Serve(woken) })
			answers := bufio.NewReader(conn)
			if status := exchange(t, conn, answers, ""); status != 503 {
				t.Errorf("answered %d", status)
			}
			expectState(t, cs[1], newest, x.out)
			settled.Store(true)
			exchange(t, conn, answers, readRequest)
			if status := exchange(t, conn, answers, x.late); status != 200 {
				t.Errorf("given again: answered %d", status)
			}
			expectState(t, cs[1], newest+1, !x.out)
		})
	}
}

// EVAC: a withdrawal was held inside the system. Its caller gave it up and had the evacuation acknowledged once more.
func TestHeldWithdrawalMeetsANewerNumber(t *testing.T) {
	t.Parallel()
	cs := grownCore(t, 3, toyBook())
	for round, out := range []bool{true, false, true, false} {
		setZone(t, cs[0], out)
		held, _ := stateOf(t, cs[0])
		opposite := register.Request{Key: node.ZonePrefix + lateZone, ExpectedVersion: held, Data: []byte(stateText(!out))}
		setZone(t, cs[1+round%2], out)
		code := sure(t, func() (resultcode.Code, []*resultcode.Fault) {
			ctx, release := answerTime(register.AnswerTimeout)
			defer release()
			return cs[2-round%2].record(ctx, opposite).Code, nil
		})
		if _, state := stateOf(t, cs[0]); code != resultcode.VersionConflict || state != stateText(out) {
			t.Errorf("round %d: the held order got %d, the zone is %s", round, code, state)
		}
	}
}
