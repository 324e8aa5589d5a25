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

// parted says whether the cut is between two machines: a former member and the router reach each other alone.
func (q *oldQuorum) parted(a, b *Host) bool {
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
	fresh := q.AddController(fmt.Sprintf("core%d", len(q.coreH)+1), "z4", 3, nil, &BootstrapSettings{MayVote: true, Seeds: q.seeds}, q.cores)
	q.coreH = append(q.coreH, fresh)
	replaced := func() bool { return q.voters().Has(fresh.Disk.ID) && !q.voters().Has(old.Disk.ID) }
	if _, ok := q.until(20*time.Second, replaced); !ok {
		q.t.Fatalf("%s was not replaced: %v", old.Addr, q.voters())
	}
}

// write acknowledges a configuration on the side of the quorum.
func (q *oldQuorum) write(base units.Version) units.Version {
	q.t.Helper()
	var num units.Version
	request := register.Request{Key: "config", Write: true, ExpectedVersion: base, RequestID: "next", Data: []byte(configText(1))}
	acked := func() bool {
		q.callAt(q.cores[q.coreH[2]], request, func(o *Op) {
			if o.Code == resultcode.OK {
				num = o.Version
			}
		})
		q.Run(q.Now.Add(500 * time.Millisecond))
		return num > 0
	}
	if _, ok := q.until(20*time.Second, acked); !ok {
		q.t.Fatal("the quorum acknowledges nothing")
	}
	return num
}

// The quorum changes while the former members are cut off, and a new configuration is acknowledged. The
// router, which was down meanwhile, starts and hears of the old quorum and the old configuration from its former members, who are a majority
// of that quorum: it must not serve before it is in touch again.
func TestRouterOfAnOldQuorumDoesNotServe(t *testing.T) {
	t.Parallel()
	heardOld := 0
	for seed := *from; seed < *from+40; seed++ {
		w := grown(seed, 3)
		w.Run(units.Time(6 * time.Second))
		_, base := w.put(t, 0)
		w.Run(w.Now.Add(time.Second))
		q := &oldQuorum{World: w, t: t, router: w.edgeH[0]}
		w.Kill(q.router)
		healed := false
		w.cut(time.Hour, func(a, b *Host) bool { return !healed && len(q.former) > 0 && q.parted(a, b) })
		q.replaceMember(w.coreH[0])
		q.replaceMember(w.coreH[1])
		newest := q.write(base)
		w.Run(w.Now.Add(3 * time.Second))
		w.LossRate = 0.3 // so that news and vouching come in any order
		w.Start(q.router)
		w.Run(w.Now.Add(400 * time.Millisecond))
		if _, served := w.until(10*time.Second, func() bool { return w.edges[q.router].Ready }); served {
			t.Errorf("seed %d: the router serves with %d, %d was acknowledged", seed, w.edges[q.router].ConfigVersion, newest)
		}
		if w.edges[q.router].Config != nil {
			heardOld++
		}
		healed, w.LossRate = true, 0
		if took, ok := w.until(4*time.Second, func() bool { return w.edges[q.router].Ready }); !ok || w.edges[q.router].ConfigVersion != newest {
			t.Errorf("seed %d: back in touch for %v, the router serves: %v, with %d", seed, took, ok, w.edges[q.router].ConfigVersion)
		}
	}
	if heardOld < 30 {
		t.Errorf("only in %d of 40 runs did the router hear of the old configuration", heardOld)
	}
}
