package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"seamshunt/internal/linearizability"
	"seamshunt/internal/resultcode"
)

// operator makes an adapter's calls. Each answer is lost with a probability of lossProbability.
type operator struct {
	t               *testing.T
	controllers     []*Controller
	rng             *rand.Rand
	startedAt       time.Time
	lossProbability float64
	mu              *sync.Mutex
	calls           *[]linearizability.Call
}

func (o *operator) pick() *Controller { return o.controllers[o.rng.IntN(len(o.controllers))] }

func (o *operator) now() int64 { return int64(time.Since(o.startedAt)) }

func (o *operator) recordCall(c linearizability.Call) {
	o.mu.Lock()
	*o.calls = append(*o.calls, c)
	o.mu.Unlock()
}

// readVersion reads the version in force and records the read.
func (o *operator) readVersion() uint64 {
	for range 200 {
		from := o.now()
		data, version, code := o.pick().Control().Read()
		if code == resultcode.OK || code == resultcode.NotFound {
			o.recordCall(linearizability.Call{CalledAt: from, ReturnedAt: o.now(), Version: version, Data: string(data), Outcome: linearizability.Succeeded})
			return version
		}
	}
	o.t.Error("no read was answered")
	return 0
}

// makeChange sends one change repeatedly until an answer gets through. It reports an error if one copy was acknowledged
// and another was refused, counting lost answers too.
func (o *operator) makeChange(serial int) {
	base := o.readVersion()
	next := base + 1 + uint64(o.rng.IntN(3))
	text := fmt.Sprint(serial)
	change := linearizability.Call{Kind: linearizability.Write, CalledAt: o.now(), ExpectedVersion: base, Version: next, Data: fmt.Sprintf(`{"v":%d,"x":%q}`, next, text)}
	acknowledged, refused := false, false
	for range 30 {
		code, _ := o.pick().Control().Put(base, []byte(change.Data))
		acknowledged, refused = acknowledged || code == resultcode.OK, refused || code == resultcode.VersionConflict
		if isClear := code == resultcode.OK || code == resultcode.VersionConflict; isClear && o.rng.Float64() >= o.lossProbability {
			change.ReturnedAt, change.Outcome = o.now(), linearizability.Rejected
			if code == resultcode.OK {
				change.Outcome = linearizability.Succeeded
			}
			break
		}
	}
	if acknowledged && refused {
		o.t.Errorf("the change from %d to %d was both acknowledged and refused", base, next)
	}
	o.recordCall(change)
}

// TestControlIsLinearizable has eight operators call four controllers while most answers are lost: the calls are
// linearizable, and no change is both acknowledged and refused.
func TestControlIsLinearizable(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 4, testAdapter())
	var mu sync.Mutex
	var calls []linearizability.Call
	var wg sync.WaitGroup
	startedAt := time.Now()
	for i := range 8 {
		wg.Go(func() {
			op := &operator{t, controllers, rand.New(rand.NewPCG(uint64(i), 7)), startedAt, 0.7, &mu, &calls}
			for n := range 12 {
				op.makeChange(100*i + n)
			}
		})
	}
	wg.Wait()
	done := 0
	for _, c := range calls {
		if c.Kind == linearizability.Write && c.Outcome == linearizability.Succeeded {
			done++
		}
	}
	if got := linearizability.Check(calls, time.Minute); got != porcupine.Ok || done < 10 {
		t.Errorf("the history of %d calls with %d changes is %s", len(calls), done, got)
	}
}

// TestLateEvacuationUndoesNothing delays a zone's evacuation inside a node. It builds on the version that the node knew
// at that time, so it conflicts with the newer write and its outcome stays unknown. A request for a state that is in
// force already is acknowledged with a version of its own and changes nothing else.
func TestLateEvacuationUndoesNothing(t *testing.T) {
	t.Parallel()
	controllers := startSeededControllers(t, 3, testAdapter())
	set := func(c *Controller, evacuated bool) resultcode.Code {
		return retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
			return c.Control().EvacuateZone(nil, "z9", evacuated), nil
		})
	}
	if a, b := set(controllers[0], true), set(controllers[1], false); a != resultcode.OK || b != resultcode.OK {
		t.Fatalf("evacuated and withdrawn: %d, %d", a, b)
	}
	for _, c := range controllers {
		before, _ := c.knownValue("zone/z9")
		if code := set(c, false); code != resultcode.OK {
			t.Errorf("withdrawn again: %d", code)
		}
		if version, state := c.knownValue("zone/z9"); version <= before || string(state) != `{"evacuated":false}` {
			t.Errorf("withdrawn again on version %d: acknowledged with %d, %s", before, version, state)
		}
	}
	// A call that has been delayed inside a node since before the withdrawal, when the zone was evacuated or not yet.
	on, off := []byte(`{"evacuated":true}`), []byte(`{"evacuated":false}`)
	for _, state := range [][]byte{on, off} {
		code := retryUntilClear(t, func() (resultcode.Code, []*resultcode.Fault) {
			code := controllers[2].writeZoneState(context.Background(), &zoneRequest{key: "zone/z9", desired: on, baseVersion: 1, baseState: state, mayChange: true})
			if code == resultcode.CommitUnknown { // the expected result
				return 0, nil
			}
			return code, nil
		})
		if code != 0 {
			t.Errorf("a late evacuation from %s: %d", state, code)
		}
	}
	if _, b := sendRequest(t, controllers[1], "GET", "/v1/zones/z9", ""); string(b) != `{"evacuated":false}` {
		t.Errorf("the withdrawal was undone: %s", b)
	}
}
