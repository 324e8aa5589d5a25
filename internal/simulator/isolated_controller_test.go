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
	isolationTime        = 20 * time.Second
	acknowledgementLimit = 4 * time.Second
	reconnectLimit       = 4 * time.Second // from the end of the cut until the controller acknowledges again
	leaseTerm            = 1200 * time.Millisecond
	retryInterval        = 100 * time.Millisecond
	isolationSeeds       = 24
)

// isolationRun is one run: a controller that is cut off and operators at it and at the others.
type isolationRun struct {
	*World
	t               *testing.T
	isolated        *Host
	reachesMajority bool
	isolatedAt      units.Time // when the cut began
	resultCounts    map[string]int
	longestRequest  time.Duration // the longest time that an order to the others took
}

// callIsolated calls the cut controller: writes on the number that it has heard of, on an older and on a newer one, and reads.
func (r *isolationRun) callIsolated(until units.Time) {
	if r.Now >= until {
		return
	}
	r.After(300*time.Millisecond, func() { r.callIsolated(until) })
	c := r.controllers[r.isolated]
	if r.isolated.Proc == nil {
		return
	}
	var knownVersion units.Version
	if it := c.configFeed.Items["config"]; it != nil {
		knownVersion = it.Version
	}
	r.lastSerial++
	a := register.Request{Key: "config"}
	if r.Rng.IntN(3) > 0 {
		a = register.Request{Key: "config", Write: true, RequestID: fmt.Sprint("cut", r.lastSerial), Data: []byte(configText(r.lastSerial)),
			ExpectedVersion: knownVersion + units.Version(r.Rng.IntN(2))}
	}
	sent, life := r.Now, r.isolated.generation
	r.submitWithTimeout(c, a, func(x register.Result) {
		switch {
		case r.isolated.generation != life:
			return
		case r.Now.Sub(sent) > time.Second:
			r.reportViolation("the cut controller answered after %v", r.Now.Sub(sent))
		case x.Code == resultcode.OK && !r.reachesMajority && r.Now < until:
			r.reportViolation("the cut controller acknowledged %+v with %+v", a, x)
		case x.Code != resultcode.OK && x.Code != resultcode.CommitUnknown && x.Code != resultcode.NoMajority && !r.reachesMajority && r.Now < until:
			r.reportViolation("the cut controller refused %+v with %+v", a, x)
		}
		r.resultCounts[fmt.Sprint("cut off: ", x.Code)]++
	})
}

// callOthers keeps sending orders to the other controllers, each until it is acknowledged, by one after the other.
func (r *isolationRun) callOthers(until units.Time) {
	if r.Now >= until {
		return
	}
	r.lastSerial++
	data, began := []byte(configText(r.lastSerial)), r.Now
	id := fmt.Sprint("others", r.lastSerial)
	at := r.Rng.IntN(len(r.controllerHosts))
	var base units.Version
	for _, a := range r.acknowledged {
		base = max(base, a.version)
	}
	var attempt func()
	retry := func() { r.After(retryInterval, attempt) }
	attempt = func() {
		if at++; r.controllerHosts[at%len(r.controllerHosts)] == r.isolated {
			at++
		}
		h := r.controllerHosts[at%len(r.controllerHosts)]
		r.submitWithTimeout(r.controllers[h], register.Request{Key: "config", Write: true, ExpectedVersion: base, RequestID: id, Data: data}, func(x register.Result) {
			r.resultCounts[fmt.Sprint("others: ", x.Code)]++
			took := r.Now.Sub(began)
			r.longestRequest = max(r.longestRequest, took)
			switch x.Code {
			case resultcode.OK:
				if took > acknowledgementLimit {
					r.reportViolation("an order at the others was acknowledged after %v", took)
				}
				r.After(200*time.Millisecond, func() { r.callOthers(until) })
			case resultcode.VersionConflict: // another's change came first: a new order on it
				base, began = x.Version, r.Now
				r.lastSerial++
				id = fmt.Sprint("others", r.lastSerial)
				retry()
			default:
				retry()
			}
		})
	}
	attempt()
}

// restartRouters ends each router during and after the cut, one after the other: a starting one must not serve with an
// older configuration than was acknowledged 2 s before, which watchConfig judges for all that are in touch.
func (r *isolationRun) restartRouters() {
	for i, h := range r.routerHosts {
		r.After(time.Duration(4+8*i)*time.Second, func() { r.restart(h, 300*time.Millisecond, true) })
	}
	r.After(isolationTime-200*time.Millisecond, func() { r.restart(r.routerHosts[0], 300*time.Millisecond, true) })
}

// checkStartVersions judges every router that serves, also one that the cut parts from the core: it never starts with an older
// configuration than one that was acknowledged 2 s before its start.
func (r *isolationRun) checkStartVersions(seen map[*Router]bool) {
	for _, h := range r.routerHosts {
		e := r.routers[h]
		if h.Proc == nil || !e.Ready || seen[e] {
			continue
		}
		seen[e] = true
		for _, a := range r.acknowledged {
			if a.version > e.ConfigVersion && r.Now.Sub(a.at) > 2*time.Second {
				r.reportViolation("%s starts to serve with %d, %d was acknowledged at %v", h.Addr, e.ConfigVersion, a.version, a.at)
			}
		}
	}
	r.After(25*time.Millisecond, func() { r.checkStartVersions(seen) })
}

func (r *isolationRun) run(isolate func(*World, *Host)) {
	r.Run(units.Time(6 * time.Second))
	r.writeConfig(r.t, 0)
	for _, h := range r.controllerHosts { // on most seeds it is the owner of the configuration that is cut off
		if c := r.controllers[h]; r.isolated == nil || c.Replica.Owner("config") == c.Self && r.Rng.IntN(4) > 0 {
			r.isolated = h
		}
	}
	r.checkStartVersions(map[*Router]bool{})
	r.isolatedAt = r.Now
	end := r.Now.Add(isolationTime)
	isolate(r.World, r.isolated)
	r.restartRouters()
	r.callIsolated(end)
	r.callOthers(end.Add(5 * time.Second))
	r.Run(end)
	back, ok := r.runUntil(reconnectLimit, func() bool {
		done := false
		r.submitWithTimeout(r.controllers[r.isolated], register.Request{Key: "config"}, func(x register.Result) { done = x.Code == resultcode.OK })
		r.Run(r.Now.Add(retryInterval))
		return done
	})
	if !ok {
		r.reportViolation("back in touch for %v, the controller still reads nothing", back)
	}
	r.Run(end.Add(10 * time.Second))
}

// checkHistory adds the history's faults to the run's, and leaves out a lease that two held for its term after false refusals.
func (r *isolationRun) checkHistory(kind string) {
	r.Violations = append(r.Violations, CheckHistory(r.History)...)
	if kind != connectionsRefused {
		return
	}
	r.Violations = slices.DeleteFunc(r.Violations, func(f string) bool {
		var at float64
		_, err := fmt.Sscanf(f, "%f s: 2 nodes hold one duty", &at)
		return err == nil && at < time.Duration(r.isolatedAt.Add(leaseTerm)).Seconds()
	})
}

// A controller is cut off for 20 s in every way, while operators call it and the others, and routers start.
func TestIsolatedController(t *testing.T) {
	for _, kind := range isolationKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			calls, long := map[string]int{}, []time.Duration{}
			for seed := *firstSeed; seed < *firstSeed+isolationSeeds; seed++ {
				disks := 3 + int(seed)%3
				r := &isolationRun{World: bootstrappedWorld(seed, disks), t: t, reachesMajority: kind.passes, resultCounts: calls}
				r.run(kind.part)
				r.checkHistory(kind.name)
				for _, f := range r.Violations {
					t.Errorf("%d disks, seed %d: %s", disks, seed, f)
				}
				mu.Lock()
				long = append(long, r.longestRequest)
				mu.Unlock()
			}
			t.Logf("%d seeds, answers %v; longest time of an order at the others: %s", isolationSeeds, calls, Percentiles(long))
		})
	}
}
