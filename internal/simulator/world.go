package simulator

import (
	"fmt"
	"slices"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// Deployment is a deployment's shape.
type Deployment struct {
	Name            string
	ControllerZones []string // zone of each machine with a disk
	RouterZones     []string
	WorkerZones     []string // zone of each worker
	DisksCanFill    bool     // its disks may fill
	GrowsFromSeeds  bool     // founded from seeds, voters grow
	NonVoting       []int    // which core machines have a disk that doesn't count
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

// The two deployments.
var (
	Vatuloa = Deployment{Name: "vatuloa", ControllerZones: []string{"v1", "v2", "v3"}, RouterZones: zonesOf([]string{"v1", "v2", "v3"}, 3, 3, 3), WorkerZones: zonesOf([]string{"v1", "v2", "v3"}, 6, 6, 6), DisksCanFill: true}
	Council = Deployment{Name: "council", ControllerZones: []string{"t1", "t2", "t3", "t4"}, RouterZones: zonesOf([]string{"t1", "t2", "t3", "t4"}, 2, 2, 2, 1),
		WorkerZones: zonesOf([]string{"t1", "t2", "t3", "t4"}, 5, 5, 4, 4)}
)

const workerCapacity = 4

// World is a deployment in the simulator with its workers, prompts, operators and platform.
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
	platformMode           string          // how the platform is: well, gone, refuse, empty, slow, old
	staleList              []config.Worker // what it lists while it is old
	History                []Op
	Violations             []string
	Stats                  Statistics
	outages                []timeRange // spans without a majority of healthy disks
	evacuatedAt            map[string]units.Time
	requestRate            float64
	coordinatedAt          map[string]units.Time    // when each worker last had a keeper that lent
	lastRunAfterEvacuation map[string]time.Duration // by evacuated zone, the last run begun after the acknowledgement
	hotPrefixShare         float64                  // share of the prompts that have one and the same prefix
	recoveringSince        units.Time               // when all was started again after a full loss, until service is back
	lastSerial             int
	polledAt               []units.Time         // questions that the platform got
	platformUnreachable    map[*Host]bool       // core machines that can't reach the platform
	platformPathLostAt     map[*Host]units.Time // when a machine last had no path to a core machine that reaches the platform
	acknowledged           []acknowledgedConfig
	configVersions         map[*Router]units.Version
	majorityPathLostAt     map[*Host]units.Time // when a machine last had no path to the core's majority
	FaultSchedule          []string
	runsByKey              map[string]int        // runs by key, for prompts that may not repeat
	nonDurableClaimAt      map[string]units.Time // when a key was claimed without the core's disks
	allLostAt              units.Time            // when all was last lost at once
	reportedNotRun         map[string]bool       // keys whose prompt was said not to run
}

type timeRange struct{ from, to units.Time }

// NewWorld builds a deployment; nothing has found anything yet.
func NewWorld(deployment Deployment, seed uint64) *World {
	w := &World{Sim: New(seed), Deployment: deployment, controllers: map[*Host]*Controller{}, routers: map[*Host]*Router{}, workers: map[string]*worker{},
		workerStartTimes: map[string]units.Time{}, evacuatedAt: map[string]units.Time{}, lastRunAfterEvacuation: map[string]time.Duration{}, coordinatedAt: map[string]units.Time{}, requestRate: 40, configVersions: map[*Router]units.Version{}, platformUnreachable: map[*Host]bool{}, platformPathLostAt: map[*Host]units.Time{}, majorityPathLostAt: map[*Host]units.Time{}, runsByKey: map[string]int{}, reportedNotRun: map[string]bool{}, nonDurableClaimAt: map[string]units.Time{}}
	for i := range deployment.ControllerZones {
		w.seeds = append(w.seeds, fmt.Sprintf("core%d", i+1))
	}
	w.seeds = w.seeds[:min(3, len(w.seeds))]
	w.PollPlatform = w.poll
	for i, zone := range deployment.ControllerZones {
		var bootstrap *BootstrapSettings
		if deployment.GrowsFromSeeds {
			bootstrap = &BootstrapSettings{MayVote: !slices.Contains(deployment.NonVoting, i), FirstStart: true, Seeds: w.seeds, ToleratedLosses: (len(deployment.ControllerZones) - len(deployment.NonVoting) - 1) / 2}
		}
		w.controllerHosts = append(w.controllerHosts, w.AddController(fmt.Sprintf("core%d", i+1), zone, len(deployment.ControllerZones), w.seeds, bootstrap, w.controllers))
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
	x := &worker{id: id, zone: zone, runs: map[*run]bool{}, running: true, startedAt: w.Now.Add(-age)}
	w.workers[id] = x
	w.listedWorkers = append(w.listedWorkers, listedWorker(x))
	return x
}

func listedWorker(x *worker) config.Worker { return config.Worker{ID: x.id, Addr: x.id, Zone: x.zone} }

func (w *World) alive(h *Host) bool { return h.Proc != nil && !h.Paused && !h.Isolated }

// hasHealthyMajority says whether a majority of the voters' disks could answer now.
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

// majorityLostWithin says whether control could not act for a time within the span: then a limit can't be kept (docs/promises.md).
func (w *World) majorityLostWithin(from, to units.Time) bool {
	for _, x := range w.outages {
		if x.from <= to && (x.to == 0 || x.to.Add(recoveryTime) >= from) {
			return true
		}
	}
	return false
}

// recoveryTime is what control may take to be itself again once a majority is back: the duty's term, owners' epochs.
const recoveryTime = 4 * time.Second

// checkInvariants looks at the promises that hold at every moment.
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
		w.reportViolation("%d nodes hold one duty", holders)
	}
	w.recordLostPaths()
	w.checkConfigVersions()
	w.measureCoordinatorGaps()
}
