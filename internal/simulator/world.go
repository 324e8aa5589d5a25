package simulator

import (
	"fmt"
	"slices"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Deployment describes the hosts and workers of a simulated deployment.
type Deployment struct {
	Name            string
	ControllerZones []string // zone of each controller
	RouterZones     []string
	WorkerZones     []string // zone of each worker
	DisksCanFill    bool     // whether faults may fill its disks
	GrowsFromSeeds  bool     // bootstrap from seeds; the quorum set grows with the controllers
	NonVoting       []int    // indices of controllers whose disk may not vote
}

func zonesOf(zones []string, counts ...int) []string {
	var list []string
	for i, n := range counts {
		for range n {
			list = append(list, zones[i])
		}
	}
	return list
}

// The two deployments that most tests use.
var (
	Vatuloa = Deployment{Name: "vatuloa", ControllerZones: []string{"v1", "v2", "v3"},
		RouterZones: zonesOf([]string{"v1", "v2", "v3"}, 3, 3, 3), WorkerZones: zonesOf([]string{"v1", "v2", "v3"}, 6, 6,
			6), DisksCanFill: true}
	Council = Deployment{Name: "council", ControllerZones: []string{"t1", "t2", "t3", "t4"},
		RouterZones: zonesOf([]string{"t1", "t2", "t3", "t4"}, 2, 2, 2, 1),
		WorkerZones: zonesOf([]string{"t1", "t2", "t3", "t4"}, 5, 5, 4, 4)}
)

const workerCapacity = 4

// World is a simulated deployment with its workers, client requests, operators and platform. Its checks record violations
// of invariants.
type World struct {
	*Sim
	Deployment
	controllers            map[*Host]*Controller
	routers                map[*Host]*Router
	controllerHosts        []*Host
	routerHosts            []*Host
	seeds                  []string
	workers                map[string]*worker
	listedWorkers          []config.Worker
	workerStartTimes       map[string]units.Time
	platformMode           string          // fault of the platform: gone (unreachable), refuse, empty, slow or old (stale list); "" for none
	staleList              []config.Worker // the list that it returns in mode old
	History                []Op
	Violations             []string
	Stats                  Statistics
	outages                []timeRange // when no majority of the quorum set was healthy
	evacuatedAt            map[string]units.Time
	requestRate            float64
	coordinatedAt          map[string]units.Time    // when each worker last had a coordinator that granted permits
	lastRunAfterEvacuation map[string]time.Duration // by zone: delay of the last run that started after the evacuation was acknowledged
	hotPrefixShare         float64                  // share of the requests that have the same prefix
	recoveringSince        units.Time               // when everything was restarted after a full loss; zero once requests run again
	lastSerial             int
	polledAt               []units.Time         // times of the queries to the platform
	platformUnreachable    map[*Host]bool       // controllers that can't reach the platform
	platformPathLostAt     map[*Host]units.Time // when a host last had no path to a controller that reaches the platform
	acknowledged           []acknowledgedConfig
	configVersions         map[*Router]units.Version
	majorityPathLostAt     map[*Host]units.Time // when a host last had no path to a majority of the controllers
	FaultSchedule          []string
	runsByKey              map[string]int        // runs by idempotency key
	nonDurableClaimAt      map[string]units.Time // when a key was first claimed without the controllers' disks
	allLostAt              units.Time            // when all processes were last lost at once
	reportedNotRun         map[string]bool       // keys whose clients were told that the request did not run
}

type timeRange struct{ from, to units.Time }

// NewWorld builds a deployment whose processes have not discovered each other yet.
func NewWorld(deployment Deployment, seed uint64) *World {
	w := &World{Sim: New(seed), Deployment: deployment, controllers: map[*Host]*Controller{}, routers: map[*Host]*Router{},
		workers:          map[string]*worker{},
		workerStartTimes: map[string]units.Time{}, evacuatedAt: map[string]units.Time{},
		lastRunAfterEvacuation: map[string]time.Duration{}, coordinatedAt: map[string]units.Time{}, requestRate: 40,
		configVersions: map[*Router]units.Version{}, platformUnreachable: map[*Host]bool{},
		platformPathLostAt: map[*Host]units.Time{}, majorityPathLostAt: map[*Host]units.Time{},
		runsByKey: map[string]int{}, reportedNotRun: map[string]bool{}, nonDurableClaimAt: map[string]units.Time{}}
	for i := range deployment.ControllerZones {
		w.seeds = append(w.seeds, fmt.Sprintf("core%d", i+1))
	}
	w.seeds = w.seeds[:min(3, len(w.seeds))]
	w.PollPlatform = w.poll
	for i, zone := range deployment.ControllerZones {
		var bootstrap *BootstrapSettings
		if deployment.GrowsFromSeeds {
			bootstrap = &BootstrapSettings{MayVote: !slices.Contains(deployment.NonVoting, i), FirstStart: true,
				Seeds: w.seeds, ToleratedLosses: (len(deployment.ControllerZones) - len(deployment.NonVoting) - 1) / 2}
		}
		w.controllerHosts = append(w.controllerHosts, w.AddController(fmt.Sprintf("core%d", i+1), zone,
			len(deployment.ControllerZones), w.seeds, bootstrap, w.controllers))
	}
	for i, zone := range deployment.RouterZones {
		w.routerHosts = append(w.routerHosts, w.AddRouter(fmt.Sprintf("n%d", i+1), zone, w.seeds, w.routers))
	}
	for _, zone := range deployment.WorkerZones {
		w.addWorker(zone, time.Hour)
	}
	w.After(100*time.Millisecond, w.checkInvariants)
	return w
}

func (w *World) reportViolation(format string, a ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%8.3f s: ", time.Duration(w.Now).Seconds())+fmt.Sprintf(format, a...))
}

func (w *World) addWorker(zone string, age time.Duration) *worker {
	w.lastSerial++
	id := fmt.Sprintf("w%02d", w.lastSerial)
	added := &worker{id: id, zone: zone, runs: map[*run]bool{}, running: true, startedAt: w.Now.Add(-age)}
	w.workers[id] = added
	w.listedWorkers = append(w.listedWorkers, listedWorker(added))
	return added
}

func listedWorker(x *worker) config.Worker { return config.Worker{ID: x.id, Addr: x.id, Zone: x.zone} }

func (w *World) alive(h *Host) bool { return h.Proc != nil && !h.Paused && !h.Isolated }

// hasHealthyMajority reports whether a majority of the quorum set could respond now.
func (w *World) hasHealthyMajority() bool {
	quorum := w.newestQuorum()
	ok := map[units.NodeID]bool{}
	for _, h := range w.controllerHosts {
		if w.alive(h) && !h.Disk.Stalled && !h.Disk.reserveExhausted() && h.Disk.Delay < 400*time.Millisecond {
			reachable := 0
			for _, o := range w.controllerHosts {
				if w.alive(o) && !w.Partitioned(h, o) && !w.Partitioned(o, h) {
					reachable++
				}
			}
			ok[h.Disk.ID] = reachable > len(quorum.Members)/2
		}
	}
	return quorum.HasMajority(ok) && w.LossRate < 0.2
}

// majorityLostWithin reports whether the control plane could not act at some time in the interval; time limits don't apply
// then (docs/promises.md).
func (w *World) majorityLostWithin(from, to units.Time) bool {
	for _, outage := range w.outages {
		if outage.from <= to && (outage.to == 0 || outage.to.Add(recoveryTime) >= from) {
			return true
		}
	}
	return false
}

// recoveryTime is how long the control plane may take to recover once a majority is back: until a lease expires and owners
// have prepared new epochs.
const recoveryTime = 4 * time.Second

// checkInvariants periodically checks the invariants that hold at all times.
func (w *World) checkInvariants() {
	w.After(50*time.Millisecond, w.checkInvariants)
	n := len(w.outages)
	open := n > 0 && w.outages[n-1].to == 0
	switch ok := w.hasHealthyMajority(); {
	case !ok && !open:
		w.outages = append(w.outages, timeRange{from: w.Now})
	case ok && open:
		w.outages[n-1].to = w.Now
	}
	holders := 0
	for _, h := range w.controllerHosts {
		if h.Proc != nil && !h.Paused && w.controllers[h].Lease.Holds(w.Now) {
			holders++
		}
	}
	if holders > 1 {
		w.reportViolation("%d nodes hold one lease", holders)
	}
	w.recordLostPaths()
	w.checkConfigVersions()
	w.measureCoordinatorGaps()
}
