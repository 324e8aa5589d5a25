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

func spread(zones []string, counts ...int) []string {
	var l []string
	for i, n := range counts {
		for range n {
			l = append(l, zones[i])
		}
	}
	return l
}

// The two deployments.
var (
	Vatuloa = Deployment{Name: "vatuloa", ControllerZones: []string{"v1", "v2", "v3"}, RouterZones: spread([]string{"v1", "v2", "v3"}, 3, 3, 3), WorkerZones: spread([]string{"v1", "v2", "v3"}, 6, 6, 6), DisksCanFill: true}
	Council = Deployment{Name: "council", ControllerZones: []string{"t1", "t2", "t3", "t4"}, RouterZones: spread([]string{"t1", "t2", "t3", "t4"}, 2, 2, 2, 1),
		WorkerZones: spread([]string{"t1", "t2", "t3", "t4"}, 5, 5, 4, 4)}
)

const workerCap = 4

// World is a deployment in the simulator with its workers, prompts, operators and platform.
type World struct {
	*Sim
	Deployment
	cores         map[*Host]*Controller
	edges         map[*Host]*Router
	coreH         []*Host
	edgeH         []*Host
	seeds         []string
	workers       map[string]*work
	listed        []config.Worker
	born          map[string]units.Time
	mood          string          // how the platform is: well, gone, refuse, empty, slow, old
	before        []config.Worker // what it lists while it is old
	History       []Op
	Violations    []string
	Stats         Statistics
	down          []window // spans without a majority of healthy disks
	evac          map[string]units.Time
	rate          float64
	keptAt        map[string]units.Time    // when each worker last had a keeper that lent
	lateZ         map[string]time.Duration // by evacuated zone, the last run begun after the acknowledgement
	hot           float64                  // share of the prompts that have one and the same prefix
	full          units.Time               // when all was started again after a full loss, until service is back
	serial        int
	asks          []units.Time         // questions that the platform got
	shut          map[*Host]bool       // core machines that can't reach the platform
	markAt        map[*Host]units.Time // when a machine last had no path to a core machine that reaches the platform
	acked         []ackedConfig
	nums          map[*Router]units.Version
	cutAt         map[*Host]units.Time // when a machine last had no path to the core's majority
	FaultSchedule []string
	ran           map[string]int        // runs by key, for prompts that may not repeat
	weak          map[string]units.Time // when a key was claimed without the core's disks
	lost          units.Time            // when all was last lost at once
	never         map[string]bool       // keys whose prompt was said not to run
}

type window struct{ from, to units.Time }

// NewWorld builds a deployment; nothing has found anything yet.
func NewWorld(p Deployment, seed uint64) *World {
	w := &World{Sim: New(seed), Deployment: p, cores: map[*Host]*Controller{}, edges: map[*Host]*Router{}, workers: map[string]*work{},
		born: map[string]units.Time{}, evac: map[string]units.Time{}, lateZ: map[string]time.Duration{}, keptAt: map[string]units.Time{}, rate: 40, nums: map[*Router]units.Version{}, shut: map[*Host]bool{}, markAt: map[*Host]units.Time{}, cutAt: map[*Host]units.Time{}, ran: map[string]int{}, never: map[string]bool{}, weak: map[string]units.Time{}}
	for i := range p.ControllerZones {
		w.seeds = append(w.seeds, fmt.Sprintf("core%d", i+1))
	}
	w.seeds = w.seeds[:min(3, len(w.seeds))]
	w.PollPlatform = w.poll
	for i, z := range p.ControllerZones {
		var g *BootstrapSettings
		if p.GrowsFromSeeds {
			g = &BootstrapSettings{MayVote: !slices.Contains(p.NonVoting, i), FirstStart: true, Seeds: w.seeds, ToleratedLosses: (len(p.ControllerZones) - len(p.NonVoting) - 1) / 2}
		}
		w.coreH = append(w.coreH, w.AddController(fmt.Sprintf("core%d", i+1), z, len(p.ControllerZones), w.seeds, g, w.cores))
	}
	for i, z := range p.RouterZones {
		w.edgeH = append(w.edgeH, w.AddRouter(fmt.Sprintf("n%d", i+1), z, w.seeds, w.edges))
	}
	for _, z := range p.WorkerZones {
		w.addWorker(z, time.Hour)
	}
	w.After(100*time.Millisecond, w.watchLoop)
	return w
}

func (w *World) fault(format string, a ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%8.3f s: ", time.Duration(w.Now).Seconds())+fmt.Sprintf(format, a...))
}

func (w *World) addWorker(zone string, age time.Duration) *work {
	w.serial++
	id := fmt.Sprintf("w%02d", w.serial)
	x := &work{id: id, zone: zone, runs: map[*run]bool{}, up: true, start: w.Now.Add(-age)}
	w.workers[id] = x
	w.listed = append(w.listed, listing(x))
	return x
}

func listing(x *work) config.Worker { return config.Worker{ID: x.id, Addr: x.id, Zone: x.zone} }

func (w *World) alive(h *Host) bool { return h.Proc != nil && !h.Paused && !h.Isolated }

// healthy says whether a majority of the voters' disks could answer now.
func (w *World) healthy() bool {
	v := w.voters()
	ok := map[units.NodeID]bool{}
	for _, h := range w.coreH {
		if w.alive(h) && !h.Disk.Stalled && !h.Disk.out() && h.Disk.Delay < 400*time.Millisecond {
			reach := 0
			for _, o := range w.coreH {
				if w.alive(o) && !w.Partitioned(h, o) && !w.Partitioned(o, h) {
					reach++
				}
			}
			ok[h.Disk.ID] = reach > len(v.Members)/2
		}
	}
	return v.HasMajority(ok) && w.LossRate < 0.2
}

// excused says whether control could not act for a time within the span: then a limit can't be kept (docs/promises.md).
func (w *World) excused(from, to units.Time) bool {
	for _, x := range w.down {
		if x.from <= to && (x.to == 0 || x.to.Add(settle) >= from) {
			return true
		}
	}
	return false
}

// settle is what control may take to be itself again once a majority is back: the duty's term, owners' epochs.
const settle = 4 * time.Second

// watchLoop looks at the promises that hold at every moment.
func (w *World) watchLoop() {
	w.After(50*time.Millisecond, w.watchLoop)
	n := len(w.down)
	open := n > 0 && w.down[n-1].to == 0
	switch ok := w.healthy(); {
	case !ok && !open:
		w.down = append(w.down, window{from: w.Now})
	case ok && open:
		w.down[n-1].to = w.Now
	}
	holders := 0
	for _, h := range w.coreH {
		if h.Proc != nil && !h.Paused && w.cores[h].Lease.Holds(w.Now) {
			holders++
		}
	}
	if holders > 1 {
		w.fault("%d nodes hold one duty", holders)
	}
	w.watchPaths()
	w.watchConfig()
	w.watchKeepers()
}
