package simulator

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

const (
	cutSpan     = 20 * time.Second
	ackLimit    = 4 * time.Second
	touchLimit  = 4 * time.Second // from the end of the cut until the controller acknowledges again
	leaseTerm   = 1200 * time.Millisecond
	callPause   = 100 * time.Millisecond
	cutOffSeeds = 24
)

// cutOffRun is one run: a controller that is cut off and operators at it and at the others.
type cutOffRun struct {
	*World
	t      *testing.T
	cut    *Host
	passes bool
	began  units.Time // when the cut began
	calls  map[string]int
	longAt time.Duration // the longest time that an order to the others took
}

// atCut calls the cut controller: writes on the number that it has heard of, on an older and on a newer one, and reads.
func (r *cutOffRun) atCut(until units.Time) {
	if r.Now >= until {
		return
	}
	r.After(300*time.Millisecond, func() { r.atCut(until) })
	c := r.cores[r.cut]
	if r.cut.Proc == nil {
		return
	}
	var heard units.Version
	if it := c.feed.Items["config"]; it != nil {
		heard = it.Version
	}
	r.serial++
	a := register.Request{Key: "config"}
	if r.Rng.IntN(3) > 0 {
		a = register.Request{Key: "config", Write: true, RequestID: fmt.Sprint("cut", r.serial), Data: []byte(configText(r.serial)),
			ExpectedVersion: heard + units.Version(r.Rng.IntN(2))}
	}
	sent, life := r.Now, r.cut.life
	r.order(c, a, func(x register.Result) {
		switch {
		case r.cut.life != life:
			return
		case r.Now.Sub(sent) > time.Second:
			r.fault("the cut controller answered after %v", r.Now.Sub(sent))
		case x.Code == resultcode.OK && !r.passes && r.Now < until:
			r.fault("the cut controller acknowledged %+v with %+v", a, x)
		case x.Code != resultcode.OK && x.Code != resultcode.CommitUnknown && x.Code != resultcode.NoMajority && !r.passes && r.Now < until:
			r.fault("the cut controller refused %+v with %+v", a, x)
		}
		r.calls[fmt.Sprint("cut off: ", x.Code)]++
	})
}

// atOthers keeps sending orders to the other controllers, each until it is acknowledged, by one after the other.
func (r *cutOffRun) atOthers(until units.Time) {
	if r.Now >= until {
		return
	}
	r.serial++
	data, began := []byte(configText(r.serial)), r.Now
	id := fmt.Sprint("others", r.serial)
	at := r.Rng.IntN(len(r.coreH))
	var base units.Version
	for _, a := range r.acked {
		base = max(base, a.num)
	}
	var try func()
	again := func() { r.After(callPause, try) }
	try = func() {
		if at++; r.coreH[at%len(r.coreH)] == r.cut {
			at++
		}
		h := r.coreH[at%len(r.coreH)]
		r.order(r.cores[h], register.Request{Key: "config", Write: true, ExpectedVersion: base, RequestID: id, Data: data}, func(x register.Result) {
			r.calls[fmt.Sprint("others: ", x.Code)]++
			took := r.Now.Sub(began)
			r.longAt = max(r.longAt, took)
			switch x.Code {
			case resultcode.OK:
				if took > ackLimit {
					r.fault("an order at the others was acknowledged after %v", took)
				}
				r.After(200*time.Millisecond, func() { r.atOthers(until) })
			case resultcode.VersionConflict: // another's change came first: a new order on it
				base, began = x.Version, r.Now
				r.serial++
				id = fmt.Sprint("others", r.serial)
				again()
			default:
				again()
			}
		})
	}
	try()
}

// restartRouters ends each router during and after the cut, one after the other: a starting one must not serve with an
// older configuration than was acknowledged 2 s before, which watchConfig judges for all that are in touch.
func (r *cutOffRun) restartRouters() {
	for i, h := range r.edgeH {
		r.After(time.Duration(4+8*i)*time.Second, func() { r.bounce(h, 300*time.Millisecond, true) })
	}
	r.After(cutSpan-200*time.Millisecond, func() { r.bounce(r.edgeH[0], 300*time.Millisecond, true) })
}

// noOldStart judges every router that serves, also one that the cut parts from the core: it never starts with an older
// configuration than one that was acknowledged 2 s before its start.
func (r *cutOffRun) noOldStart(seen map[*Router]bool) {
	for _, h := range r.edgeH {
		e := r.edges[h]
		if h.Proc == nil || !e.Ready || seen[e] {
			continue
		}
		seen[e] = true
		for _, a := range r.acked {
			if a.num > e.ConfigVersion && r.Now.Sub(a.at) > 2*time.Second {
				r.fault("%s starts to serve with %d, %d was acknowledged at %v", h.Addr, e.ConfigVersion, a.num, a.at)
			}
		}
	}
	r.After(25*time.Millisecond, func() { r.noOldStart(seen) })
}

func (r *cutOffRun) play(part func(*World, *Host)) {
	r.Run(units.Time(6 * time.Second))
	r.put(r.t, 0)
	for _, h := range r.coreH { // on most seeds it is the owner of the configuration that is cut off
		if c := r.cores[h]; r.cut == nil || c.Replica.Owner("config") == c.Self && r.Rng.IntN(4) > 0 {
			r.cut = h
		}
	}
	r.noOldStart(map[*Router]bool{})
	r.began = r.Now
	end := r.Now.Add(cutSpan)
	part(r.World, r.cut)
	r.restartRouters()
	r.atCut(end)
	r.atOthers(end.Add(5 * time.Second))
	r.Run(end)
	back, ok := r.until(touchLimit, func() bool {
		done := false
		r.order(r.cores[r.cut], register.Request{Key: "config"}, func(x register.Result) { done = x.Code == resultcode.OK })
		r.Run(r.Now.Add(callPause))
		return done
	})
	if !ok {
		r.fault("back in touch for %v, the controller still reads nothing", back)
	}
	r.Run(end.Add(10 * time.Second))
}

// judge adds the history's faults to the run's, and leaves out a lease that two held for its term after false refusals.
func (r *cutOffRun) judge(kind string) {
	r.Violations = append(r.Violations, CheckHistory(r.History)...)
	if kind != refused {
		return
	}
	r.Violations = slices.DeleteFunc(r.Violations, func(f string) bool {
		var at float64
		_, err := fmt.Sscanf(f, "%f s: 2 nodes hold one duty", &at)
		return err == nil && at < time.Duration(r.began.Add(leaseTerm)).Seconds()
	})
}

// A controller is cut off for 20 s in every way, while operators call it and the others, and routers start.
func TestCutOffController(t *testing.T) {
	for _, kind := range cutKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			calls, long := map[string]int{}, []time.Duration{}
			for seed := *from; seed < *from+cutOffSeeds; seed++ {
				disks := 3 + int(seed)%3
				r := &cutOffRun{World: grown(seed, disks), t: t, passes: kind.passes, calls: calls}
				r.play(kind.part)
				r.judge(kind.name)
				for _, f := range r.Violations {
					t.Errorf("%d disks, seed %d: %s", disks, seed, f)
				}
				mu.Lock()
				long = append(long, r.longAt)
				mu.Unlock()
			}
			t.Logf("%d seeds, answers %v; longest time of an order at the others: %s", cutOffSeeds, calls, Percentiles(long))
		})
	}
}
