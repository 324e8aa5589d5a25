package scaletest

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
)

// Experiment is one situation in which a site is measured.
type Experiment struct {
	Name, Description string
	duration          time.Duration
	prepare           func(*Simulation)                // after all routers serve, before the measurement
	run               func(*Simulation, time.Duration) // schedules what happens during the measurement
}

// settleTime is how long it takes after the start until messages no longer carry membership changes.
const settleTime = 8 * time.Second

func letSettle(s *Simulation) { s.Advance(settleTime) }

// Experiments are all experiments, in the order of the table.
var Experiments = []Experiment{
	{"start", "all routers started at once, from their start on", 10 * time.Second, nil, nil},
	{"rest", "nothing happens", 10 * time.Second, letSettle, nil},
	{"serve", "requests at the peak, long streams", 20 * time.Second,
		func(s *Simulation) { s.startTraffic(true, false); s.Advance(45 * time.Second) }, nil},
	{"claim", "a key claimed for every request of the peak, no permits", 10 * time.Second,
		func(s *Simulation) { letSettle(s); s.startTraffic(false, true) }, nil},
	{"config", "a change of the configuration every 2 s", 10 * time.Second, letSettle,
		func(s *Simulation, d time.Duration) { s.repeat(2*time.Second, d, s.WriteConfig) }},
	{"workers", "a worker listed and one taken off, every 2 s", 10 * time.Second, letSettle,
		func(s *Simulation, d time.Duration) { s.repeat(2*time.Second, d, s.replaceWorker) }},
	{"restart", "a router restarted every 4 s", 20 * time.Second, letSettle,
		func(s *Simulation, d time.Duration) { s.repeat(4*time.Second, d, s.restartRouter) }},
	{"region", "a region cut off: its first 20 s", 20 * time.Second, letSettle,
		func(s *Simulation, _ time.Duration) { s.partitionedRegion = "c" }},
	{"heal", "the 20 s after a region was cut off for 20 s", 20 * time.Second,
		func(s *Simulation) { letSettle(s); s.partitionedRegion = "c"; s.Advance(20 * time.Second) },
		func(s *Simulation, _ time.Duration) { s.partitionedRegion = "" }},
}

// FindExperiments returns the experiments with these names, or an error that lists all names.
func FindExperiments(names []string) (found []Experiment, err error) {
	for _, name := range names {
		i := slices.IndexFunc(Experiments, func(e Experiment) bool { return e.Name == name })
		if i < 0 {
			var all []string
			for _, e := range Experiments {
				all = append(all, e.Name)
			}
			return nil, fmt.Errorf("no experiment %q: there are %q", name, all)
		}
		found = append(found, Experiments[i])
	}
	return found, nil
}

// Row is the cost of one part of one role, per node and second of virtual time. The tags keep the names of the JSON
// output.
type Row struct {
	Experiment   string
	Size         int
	Role         string
	Part         string
	Messages     float64 `json:"Notes"` // sent
	BytesOut     float64 `json:"Out"`
	BytesIn      float64 `json:"In"`
	MaxNodeBytes float64 `json:"Most"` // of the busiest node: bytes sent or received, whichever is more
	CorePercent  float64 `json:"Core"`
	HeapKB       float64
	DiskSyncs    float64 `json:"Writes"` // of a controller
	DiskBytes    float64 `json:"Disk"`   // of a controller's records
}

// partNames are the names of the parts in the tables.
var partNames = map[message.Kind]string{0: "loop", message.KindMembership: "membership", message.KindRegister: "control state",
	message.KindConfigPush: "news", message.KindLease: "ballot", message.KindCapacity: "permits", message.KindClaim: "claims",
	message.KindAntiEntropy: "repair"}

// Result is the result of one run: its rows and some further figures. The tags keep the names of the JSON output.
type Result struct {
	Rows          []Row
	ReadyAfter    time.Duration           `json:"Ready"` // until all routers served and every node knew all others
	MaxApplyTime  time.Duration           `json:"Force"` // the longest time until all routers had applied a change
	ChangeResults map[resultcode.Code]int `json:"Changes"`
	Decisions     map[resultcode.Code]int `json:"Verdicts"`
	ClaimResults  map[resultcode.Code]int `json:"Claimed"`
	Polls         int
	CPUTime       time.Duration `json:"Real"` // processor time of the measurement
}

// Measure runs one experiment at one site size.
func Measure(e Experiment, size SiteSize) (Result, error) {
	var result Result
	baseHeap := liveHeap()
	sim, err := NewSimulation(size)
	if err != nil {
		return result, err
	}
	if e.Name != "start" {
		if result.ReadyAfter, err = sim.StartRouters(); err != nil {
			return result, err
		}
	}
	if e.prepare != nil {
		e.prepare(sim)
	}
	clear(sim.usageByPart)
	sim.DiskSyncs, sim.SyncedBytes = 0, 0
	for _, n := range sim.nodes {
		n.bytesOut, n.bytesIn = 0, 0
	}
	runtime.GC()
	startCPU, startedAt := processCPU(), sim.Now
	if e.Name == "start" {
		if result.ReadyAfter, err = sim.StartRouters(); err != nil {
			return result, err
		}
	}
	if e.run != nil {
		e.run(sim, e.duration)
	}
	sim.Advance(e.duration - sim.Now.Sub(startedAt))
	result.CPUTime = processCPU() - startCPU
	result.addRows(sim, e, sim.Now.Sub(startedAt).Seconds(), liveHeap()-baseHeap)
	result.MaxApplyTime, result.ChangeResults, result.Decisions, result.ClaimResults, result.Polls = sim.MaxApplyTime,
		sim.ChangeResults, sim.Decisions, sim.ClaimResults, sim.Polls
	return result, nil
}

// addRows adds the rows of both roles. Processor time is divided among the parts in proportion to the time of their calls,
// so that it includes their share of the garbage collector and of this package's simulated network.
func (r *Result) addRows(sim *Simulation, e Experiment, seconds float64, heapBytes float64) {
	var callTime time.Duration
	for _, u := range sim.usageByPart {
		callTime += u.CallTime
	}
	cpuPerCallTime := r.CPUTime.Seconds() / max(callTime.Seconds(), 1e-9)
	for _, role := range []membership.Role{membership.Router, membership.Controller} {
		nodes, name := float64(sim.Routers), "router"
		if role == membership.Controller {
			nodes, name = ControllerCount, "controller"
		}
		all := Row{Experiment: e.Name, Size: sim.Routers, Role: name, Part: "all"}
		for _, n := range sim.nodes {
			if n.role == role {
				all.MaxNodeBytes = max(all.MaxNodeBytes, float64(max(n.bytesOut, n.bytesIn))/seconds)
			}
		}
		for _, kind := range []message.Kind{0, message.KindMembership, message.KindConfigPush, message.KindCapacity,
			message.KindClaim, message.KindRegister, message.KindLease, message.KindAntiEntropy} {
			u := sim.usageByPart[partKey{role, kind}]
			if u == nil {
				continue
			}
			nodeSeconds := seconds * nodes
			row := Row{Experiment: e.Name, Size: sim.Routers, Role: name, Part: partNames[kind],
				Messages: float64(u.Messages) / nodeSeconds, BytesOut: float64(u.BytesOut) / nodeSeconds,
				BytesIn:     float64(u.BytesIn) / nodeSeconds,
				CorePercent: 100 * u.CallTime.Seconds() * cpuPerCallTime / nodeSeconds}
			all.Messages, all.BytesOut, all.BytesIn, all.CorePercent = all.Messages+row.Messages, all.BytesOut+row.BytesOut,
				all.BytesIn+row.BytesIn, all.CorePercent+row.CorePercent
			r.Rows = append(r.Rows, row)
		}
		all.HeapKB = heapBytes / 1024 / float64(sim.Routers+ControllerCount) // the same for both roles, which share one heap
		if role == membership.Controller {
			all.DiskSyncs, all.DiskBytes = float64(sim.DiskSyncs)/seconds/nodes, float64(sim.SyncedBytes)/seconds/nodes
		}
		r.Rows = append(r.Rows, all)
	}
}

// processCPU returns the processor time of this process, user and system.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the bytes of the heap that are live after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return math.Max(0, float64(stats.HeapAlloc))
}
