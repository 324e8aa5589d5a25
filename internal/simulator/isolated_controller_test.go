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
	reconnectLimit       = 4 * time.Second // from the end of the isolation until the controller answers reads again
	leaseTerm            = 1200 * time.Millisecond
	retryInterval        = 100 * time.Millisecond
	isolationSeeds       = 24
)

// isolationRun is a run in which one controller is isolated while operators call it and the others.
type isolationRun struct {
	*World
	t               *testing.T
	isolated        *Host
	reachesMajority bool
	isolatedAt      units.Time // when the isolation began
	resultCounts    map[string]int
	longestRequest  time.Duration // longest time until the others acknowledged a request
}

// callIsolated calls the isolated controller: reads, and writes that expect the version that it knows or the next one.
func (r *isolationRun) callIsolated(until units.Time) {
	if r.Now >= until {
		return
	}
	r.After(300*time.Millisecond, func() { r.callIsolated(until) })
	controller := r.controllers[r.isolated]
	if r.isolated.Proc == nil {
		return
	}
	var knownVersion units.Version
	if it := controller.configFeed.Items["config"]; it != nil {
		knownVersion = it.Version
	}
	r.lastSerial++
	request := register.Request{Key: "config"}
	if r.Rng.IntN(3) > 0 {
		request = register.Request{Key: "config", Write: true, RequestID: fmt.Sprint("cut", r.lastSerial),
			Data:            []byte(configText(r.lastSerial)),
			ExpectedVersion: knownVersion + units.Version(r.Rng.IntN(2))}
	}
	sent, generation := r.Now, r.isolated.generation
	r.submitWithTimeout(controller, request, func(result register.Result) {
		switch {
		case r.isolated.generation != generation:
			return
		case r.Now.Sub(sent) > time.Second:
			r.reportViolation("the isolated controller answered after %v", r.Now.Sub(sent))
		case result.Code == resultcode.OK && !r.reachesMajority && r.Now < until:
			r.reportViolation("the isolated controller acknowledged %+v with %+v", request, result)
		case result.Code != resultcode.OK && result.Code != resultcode.CommitUnknown &&
			result.Code != resultcode.NoMajority && !r.reachesMajority && r.Now < until:
			r.reportViolation("the isolated controller refused %+v with %+v", request, result)
		}
		r.resultCounts[fmt.Sprint("isolated: ", result.Code)]++
	})
}

// callOthers sends writes through the other controllers, each until one of them acknowledges it.
func (r *isolationRun) callOthers(until units.Time) {
	if r.Now >= until {
		return
	}
	r.lastSerial++
	document, startedAt := []byte(configText(r.lastSerial)), r.Now
	requestID := fmt.Sprint("others", r.lastSerial)
	index := r.Rng.IntN(len(r.controllerHosts))
	var expected units.Version
	for _, a := range r.acknowledged {
		expected = max(expected, a.version)
	}
	var attempt func()
	retry := func() { r.After(retryInterval, attempt) }
	attempt = func() {
		if index++; r.controllerHosts[index%len(r.controllerHosts)] == r.isolated {
			index++
		}
		h := r.controllerHosts[index%len(r.controllerHosts)]
		r.submitWithTimeout(r.controllers[h], register.Request{Key: "config", Write: true, ExpectedVersion: expected,
			RequestID: requestID, Data: document}, func(result register.Result) {
			r.resultCounts[fmt.Sprint("others: ", result.Code)]++
			elapsed := r.Now.Sub(startedAt)
			r.longestRequest = max(r.longestRequest, elapsed)
			switch result.Code {
			case resultcode.OK:
				if elapsed > acknowledgementLimit {
					r.reportViolation("a request to the other controllers was acknowledged after %v", elapsed)
				}
				r.After(200*time.Millisecond, func() { r.callOthers(until) })
			case resultcode.VersionConflict: // another change was first: write on top of it
				expected, startedAt = result.Version, r.Now
				r.lastSerial++
				requestID = fmt.Sprint("others", r.lastSerial)
				retry()
			default:
				retry()
			}
		})
	}
	attempt()
}

// restartRouters restarts each router during and after the isolation. A started router must not serve with an older
// configuration than one acknowledged 2 s before; checkConfigVersions checks this for all connected routers.
func (r *isolationRun) restartRouters() {
	for i, h := range r.routerHosts {
		r.After(time.Duration(4+8*i)*time.Second, func() { r.restart(h, 300*time.Millisecond, true) })
	}
	r.After(isolationTime-200*time.Millisecond, func() { r.restart(r.routerHosts[0], 300*time.Millisecond, true) })
}

// checkStartVersions checks that no router, connected or not, becomes ready with an older configuration than one that was
// acknowledged 2 s before.
func (r *isolationRun) checkStartVersions(checked map[*Router]bool) {
	for _, h := range r.routerHosts {
		router := r.routers[h]
		if h.Proc == nil || !router.Ready || checked[router] {
			continue
		}
		checked[router] = true
		for _, config := range r.acknowledged {
			if config.version > router.ConfigVersion && r.Now.Sub(config.at) > 2*time.Second {
				r.reportViolation("%s becomes ready with configuration %d, %d was acknowledged at %v", h.Addr,
					router.ConfigVersion, config.version, config.at)
			}
		}
	}
	r.After(25*time.Millisecond, func() { r.checkStartVersions(checked) })
}

func (r *isolationRun) run(isolate func(*World, *Host)) {
	r.Run(units.Time(6 * time.Second))
	r.writeConfig(r.t, 0)
	for _, h := range r.controllerHosts { // on most seeds the owner of the configuration is isolated
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
	elapsed, ok := r.runUntil(reconnectLimit, func() bool {
		done := false
		r.submitWithTimeout(r.controllers[r.isolated], register.Request{Key: "config"},
			func(result register.Result) { done = result.Code == resultcode.OK })
		r.Run(r.Now.Add(retryInterval))
		return done
	})
	if !ok {
		r.reportViolation("connected again for %v, the controller still answers no read", elapsed)
	}
	r.Run(end.Add(10 * time.Second))
}

// checkHistory adds the violations in the history. It removes those of a lease held twice for one term after false
// connection refusals, which are accepted.
func (r *isolationRun) checkHistory(kind string) {
	r.Violations = append(r.Violations, CheckHistory(r.History)...)
	if kind != connectionsRefused {
		return
	}
	r.Violations = slices.DeleteFunc(r.Violations, func(f string) bool {
		var at float64
		_, err := fmt.Sscanf(f, "%f s: 2 nodes hold one lease", &at)
		return err == nil && at < time.Duration(r.isolatedAt.Add(leaseTerm)).Seconds()
	})
}

// A controller is isolated for 20 s in each of several ways, while operators call it and the others, and routers restart.
func TestIsolatedController(t *testing.T) {
	for _, kind := range isolationKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			resultCounts, longest := map[string]int{}, []time.Duration{}
			for seed := *firstSeed; seed < *firstSeed+isolationSeeds; seed++ {
				disks := 3 + int(seed)%3
				r := &isolationRun{World: bootstrappedWorld(seed, disks), t: t, reachesMajority: kind.reachesMajority,
					resultCounts: resultCounts}
				r.run(kind.isolate)
				r.checkHistory(kind.name)
				for _, f := range r.Violations {
					t.Errorf("%d disks, seed %d: %s", disks, seed, f)
				}
				mu.Lock()
				longest = append(longest, r.longestRequest)
				mu.Unlock()
			}
			t.Logf("%d seeds, results %v; longest request to the others: %s", isolationSeeds, resultCounts,
				Percentiles(longest))
		})
	}
}
