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

// oldQuorum is a core of three disks of which two are cut off, one after the other, and replaced; a router reaches the two
// former members and nobody else.
type oldQuorum struct {
	*World
	t      *testing.T
	former []*Host
	router *Host
}

// partitionedHosts says whether the cut is between two machines: a former member and the router reach each other alone.
func (q *oldQuorum) partitionedHosts(a, b *Host) bool {
	if a == b {
		return false
	}
	if a == q.router || b == q.router {
		return !slices.Contains(q.former, a) && !slices.Contains(q.former, b)
	}
	return slices.Contains(q.former, a) || slices.Contains(q.former, b)
}

// replaceMember cuts a controller off and has a new machine's disk take its place in the quorum.
func (q *oldQuorum) replaceMember(old *Host) {
	q.t.Helper()
	q.former = append(q.former, old)
	fresh := q.AddController(fmt.Sprintf("core%d", len(q.controllerHosts)+1), "z4", 3, nil, &BootstrapSettings{MayVote: true, Seeds: q.seeds}, q.controllers)
	q.controllerHosts = append(q.controllerHosts, fresh)
	replaced := func() bool { return q.newestQuorum().Has(fresh.Disk.ID) && !q.newestQuorum().Has(old.Disk.ID) }
	if _, ok := q.runUntil(20*time.Second, replaced); !ok {
		q.t.Fatalf("%s was not replaced: %v", old.Addr, q.newestQuorum())
	}
}

// write acknowledges a configuration on the side of the quorum.
func (q *oldQuorum) write(base units.Version) units.Version {
	q.t.Helper()
	var num units.Version
	request := register.Request{Key: "config", Write: true, ExpectedVersion: base, RequestID: "next", Data: []byte(configText(1))}
	acked := func() bool {
		q.callAt(q.controllers[q.controllerHosts[2]], request, func(o *Op) {
			if o.Code == resultcode.OK {
				num = o.Version
			}
		})
		q.Run(q.Now.Add(500 * time.Millisecond))
		return num > 0
	}
	if _, ok := q.runUntil(20*time.Second, acked); !ok {
		q.t.Fatal("the quorum acknowledges nothing")
	}
	return num
}

// The quorum changes while the former members are cut off, and a new configuration is acknowledged. The
// router, which was down meanwhile, starts and hears of the old quorum and the old configuration from its former members, who are a majority
// of that quorum: it must not serve before it is in touch again.
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
		w.LossRate = 0.3 // so that news and vouching come in any order
		w.Start(q.router)
		w.Run(w.Now.Add(400 * time.Millisecond))
		if _, served := w.runUntil(10*time.Second, func() bool { return w.routers[q.router].Ready }); served {
			t.Errorf("seed %d: the router serves with %d, %d was acknowledged", seed, w.routers[q.router].ConfigVersion, newest)
		}
		if w.routers[q.router].Config != nil {
			heardOld++
		}
		healed, w.LossRate = true, 0
		if took, ok := w.runUntil(4*time.Second, func() bool { return w.routers[q.router].Ready }); !ok || w.routers[q.router].ConfigVersion != newest {
			t.Errorf("seed %d: back in touch for %v, the router serves: %v, with %d", seed, took, ok, w.routers[q.router].ConfigVersion)
		}
	}
	if heardOld < 30 {
		t.Errorf("only in %d of 40 runs did the router hear of the old configuration", heardOld)
	}
}
