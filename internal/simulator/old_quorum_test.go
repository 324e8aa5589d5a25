package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// oldQuorum is a quorum set of three, two of which are isolated and replaced one after the other. A router reaches only the
// two former members.
type oldQuorum struct {
	*World
	t      *testing.T
	former []*Host
	router *Host
}

// partitionedHosts reports whether the partition separates two hosts: the former members and the router reach each other, but
// no others.
func (q *oldQuorum) partitionedHosts(a, b *Host) bool {
	if a == b {
		return false
	}
	if a == q.router || b == q.router {
		return !slices.Contains(q.former, a) && !slices.Contains(q.former, b)
	}
	return slices.Contains(q.former, a) || slices.Contains(q.former, b)
}

// replaceMember isolates a controller and waits until a new one has replaced it in the quorum set.
func (q *oldQuorum) replaceMember(old *Host) {
	q.t.Helper()
	q.former = append(q.former, old)
	replacement := q.AddController(fmt.Sprintf("core%d", len(q.controllerHosts)+1), "z4", 3, nil,
		&BootstrapSettings{MayVote: true, Seeds: q.seeds}, q.controllers)
	q.controllerHosts = append(q.controllerHosts, replacement)
	replaced := func() bool { return q.newestQuorum().Has(replacement.Disk.ID) && !q.newestQuorum().Has(old.Disk.ID) }
	if _, ok := q.runUntil(20*time.Second, replaced); !ok {
		q.t.Fatalf("%s was not replaced: %v", old.Addr, q.newestQuorum())
	}
}

// write writes a configuration through the current quorum set and returns the acknowledged version.
func (q *oldQuorum) write(expected units.Version) units.Version {
	q.t.Helper()
	var version units.Version
	request := register.Request{Key: "config", Write: true, ExpectedVersion: expected, RequestID: "next",
		Data: []byte(configText(1))}
	acknowledged := func() bool {
		q.callAt(q.controllers[q.controllerHosts[2]], request, func(o *Op) {
			if o.Code == resultcode.OK {
				version = o.Version
			}
		})
		q.Run(q.Now.Add(500 * time.Millisecond))
		return version > 0
	}
	if _, ok := q.runUntil(20*time.Second, acknowledged); !ok {
		q.t.Fatal("the quorum set acknowledges no write")
	}
	return version
}

// The quorum set changes while its former members are isolated, and a new configuration is acknowledged. A router that was
// down meanwhile starts and learns the old quorum set and configuration from the former members, a majority of the old set.
// It must not become ready before it reaches the current members.
func TestRouterWithOldQuorumDoesNotServe(t *testing.T) {
	t.Parallel()
	heardOld := 0
	for seed := *firstSeed; seed < *firstSeed+40; seed++ {
		w := bootstrappedWorld(seed, 3)
		w.Run(units.Time(6 * time.Second))
		_, base := w.writeConfig(t, 0)
		w.Run(w.Now.Add(time.Second))
		q := &oldQuorum{World: w, t: t, router: w.routerHosts[0]}
		w.Kill(q.router)
		healed := false
		w.partition(time.Hour, func(a, b *Host) bool { return !healed && len(q.former) > 0 && q.partitionedHosts(a, b) })
		q.replaceMember(w.controllerHosts[0])
		q.replaceMember(w.controllerHosts[1])
		newest := q.write(base)
		w.Run(w.Now.Add(3 * time.Second))
		w.LossRate = 0.3 // so that updates and confirmations arrive in any order
		w.Start(q.router)
		w.Run(w.Now.Add(400 * time.Millisecond))
		if _, served := w.runUntil(10*time.Second, func() bool { return w.routers[q.router].Ready }); served {
			t.Errorf("seed %d: the router serves configuration %d, %d was acknowledged", seed,
				w.routers[q.router].ConfigVersion, newest)
		}
		if w.routers[q.router].Config != nil {
			heardOld++
		}
		healed, w.LossRate = true, 0
		if took, ok := w.runUntil(4*time.Second, func() bool { return w.routers[q.router].Ready }); !ok ||
			w.routers[q.router].ConfigVersion != newest {
			t.Errorf("seed %d: connected again for %v, the router is ready: %v, with configuration %d", seed, took, ok,
				w.routers[q.router].ConfigVersion)
		}
	}
	if heardOld < 30 {
		t.Errorf("the router learned the old configuration in only %d of 40 runs", heardOld)
	}
}
