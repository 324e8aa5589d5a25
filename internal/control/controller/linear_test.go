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

// door is one operator at an adapter's calls, with a chance for each answer to be lost.
type door struct {
	t     *testing.T
	cores []*Controller
	rng   *rand.Rand
	began time.Time
	lost  float64
	mu    *sync.Mutex
	calls *[]linearizability.Call
}

func (d *door) at() *Controller { return d.cores[d.rng.IntN(len(d.cores))] }

func (d *door) now() int64 { return int64(time.Since(d.began)) }

func (d *door) keep(c linearizability.Call) {
	d.mu.Lock()
	*d.calls = append(*d.calls, c)
	d.mu.Unlock()
}

// version reads what is in force.
func (d *door) version() uint64 {
	for range 200 {
		from := d.now()
		data, version, code := d.at().Control().Read()
		if code == resultcode.OK || code == resultcode.NotFound {
			d.keep(linearizability.Call{CalledAt: from, ReturnedAt: d.now(), Version: version, Data: string(data), Outcome: linearizability.Succeeded})
			return version
		}
	}
	d.t.Error("no read is answered")
	return 0
}

// order makes one change by as many copies as it takes, and says whether any was refused and any acknowledged: also those
// whose answers are lost.
func (d *door) order(serial int) {
	builds := d.version()
	next := builds + 1 + uint64(d.rng.IntN(3))
	text := fmt.Sprint(serial)
	c := linearizability.Call{Kind: linearizability.Write, CalledAt: d.now(), ExpectedVersion: builds, Version: next, Data: fmt.Sprintf(`{"v":%d,"x":%q}`, next, text)}
	taken, refused := false, false
	for range 30 {
		code, _ := d.at().Control().Put(builds, []byte(c.Data))
		taken, refused = taken || code == resultcode.OK, refused || code == resultcode.VersionConflict
		if isClear := code == resultcode.OK || code == resultcode.VersionConflict; isClear && d.rng.Float64() >= d.lost {
			c.ReturnedAt, c.Outcome = d.now(), linearizability.Rejected
			if code == resultcode.OK {
				c.Outcome = linearizability.Succeeded
			}
			break
		}
	}
	if taken && refused {
		d.t.Errorf("the change from %d to %d was taken, and refused", builds, next)
	}
	d.keep(c)
}

// Eight operators at the doors of four controllers, most of whose answers are lost: their calls are linearizable, and
// nothing is refused that was taken.
func TestControlIsLinearizable(t *testing.T) {
	t.Parallel()
	cores := grownCore(t, 4, toyBook())
	var mu sync.Mutex
	var calls []linearizability.Call
	var wg sync.WaitGroup
	began := time.Now()
	for i := range 8 {
		wg.Go(func() {
			d := &door{t, cores, rand.New(rand.NewPCG(uint64(i), 7)), began, 0.7, &mu, &calls}
			for n := range 12 {
				d.order(100*i + n)
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

// A zone's evacuation that was held up inside a node undoes nothing: it builds on the number that the node knew, and a node
// that has not heard of a newer one leaves the call open. A wish that is fulfilled already is acknowledged with a number of its
// own, which changes nothing else.
func TestLateEvacuationUndoesNothing(t *testing.T) {
	t.Parallel()
	cores := grownCore(t, 3, toyBook())
	set := func(c *Controller, out bool) resultcode.Code {
		return sure(t, func() (resultcode.Code, []*resultcode.Fault) { return c.Control().EvacuateZone(nil, "z9", out), nil })
	}
	if a, b := set(cores[0], true), set(cores[1], false); a != resultcode.OK || b != resultcode.OK {
		t.Fatalf("set and withdrawn: %d, %d", a, b)
	}
	for _, c := range cores {
		before, _ := c.heardOf("zone/z9")
		if code := set(c, false); code != resultcode.OK {
			t.Errorf("withdrawn again: %d", code)
		}
		if num, state := c.heardOf("zone/z9"); num <= before || string(state) != `{"evacuated":false}` {
			t.Errorf("withdrawn again on number %d: acknowledged with %d, %s", before, num, state)
		}
	}
	// A call that a node was held up with since before the withdrawal, when the zone was set or was not yet.
	on, off := []byte(`{"evacuated":true}`), []byte(`{"evacuated":false}`)
	for _, state := range [][]byte{on, off} {
		code := sure(t, func() (resultcode.Code, []*resultcode.Fault) {
			code := cores[2].writeZone(context.Background(), &zoneOrder{key: "zone/z9", wanted: on, num: 1, state: state, mayChange: true})
			if code == resultcode.CommitUnknown { // the clear answer that is wanted here
				return 0, nil
			}
			return code, nil
		})
		if code != 0 {
			t.Errorf("a late evacuation from %s: %d", state, code)
		}
	}
	if _, b := call(t, cores[1], "GET", "/v1/zones/z9", ""); string(b) != `{"evacuated":false}` {
		t.Errorf("the withdrawal was undone: %s", b)
	}
}
