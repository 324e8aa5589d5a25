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

// Experiment is one thing that a site does while it is measured.
type Experiment struct {
	Name, Description string
	duration          time.Duration
	prepare           func(*Simulation) // after all serve, before the measuring
	run               func(*Simulation, time.Duration)
}

// settleTime is how long it takes after the start until no change rides on notes any more.
const settleTime = 8 * time.Second

func letSettle(s *Simulation) { s.Advance(settleTime) }

// Experiments in the order of the table.
var Experiments = []Experiment{
	{"start", "all routers started at once, from their start on", 10 * time.Second, nil, nil},
	{"rest", "nothing happens", 10 * time.Second, letSettle, nil},
	{"serve", "requests at the peak, long streams", 20 * time.Second, func(w *Simulation) { w.startTraffic(true, false); w.Advance(45 * time.Second) }, nil},
	{"claim", "a key claimed for every request of the peak, no permits", 10 * time.Second, func(w *Simulation) { letSettle(w); w.startTraffic(false, true) }, nil},
	{"config", "a change of the configuration every 2 s", 10 * time.Second, letSettle, func(w *Simulation, d time.Duration) { w.repeat(2*time.Second, d, w.WriteConfig) }},
	{"workers", "a worker listed and one taken off, every 2 s", 10 * time.Second, letSettle, func(w *Simulation, d time.Duration) { w.repeat(2*time.Second, d, w.replaceWorker) }},
	{"restart", "a router restarted every 4 s", 20 * time.Second, letSettle, func(w *Simulation, d time.Duration) { w.repeat(4*time.Second, d, w.restartRouter) }},
	{"region", "a region cut off: its first 20 s", 20 * time.Second, letSettle, func(w *Simulation, _ time.Duration) { w.partitionedRegion = "c" }},
	{"heal", "the 20 s after a region was cut off for 20 s", 20 * time.Second, func(w *Simulation) { letSettle(w); w.partitionedRegion = "c"; w.Advance(20 * time.Second) },
		func(w *Simulation, _ time.Duration) { w.partitionedRegion = "" }},
}

// FindExperiments gives the experiments of these names, or the ones that there are.
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

// Row is what one part of one role cost, per node and second of virtual time.
type Row struct {
	Experiment        string
	Size              int
	Role              string
	Part              string
	Messages          float64 // sent
	BytesOut, BytesIn float64 // bytes
	MaxNodeBytes      float64 // of one node: bytes sent or taken, whichever is more
	CorePercent       float64 // percent of a core
	HeapKB            float64
	DiskSyncs         float64 // syncs of a controller's disk
	DiskBytes         float64 // bytes of its records
}

var partNames = map[message.Kind]string{0: "loop", message.KindMembership: "membership", message.KindRegister: "control state", message.KindConfigPush: "news",
	message.KindLease: "ballot", message.KindCapacity: "permits", message.KindClaim: "claims", message.KindAntiEntropy: "repair"}

// Result is one run: its rows, and what the page wants to know besides.
type Result struct {
	Rows          []Row
	ReadyAfter    time.Duration // until all served and all knew all
	MaxApplyTime  time.Duration // the longest until a change was in force everywhere
	ChangeResults map[resultcode.Code]int
	Decisions     map[resultcode.Code]int
	ClaimResults  map[resultcode.Code]int
	Polls         int
	CPUTime       time.Duration // processor time of the measured span
}

// Measure runs one experiment at one size.
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
	result.MaxApplyTime, result.ChangeResults, result.Decisions, result.ClaimResults, result.Polls = sim.MaxApplyTime, sim.ChangeResults, sim.Decisions, sim.ClaimResults, sim.Polls
	return result, nil
}

// addRows puts processor time down to parts in the measure of the time that their calls took: so the calls' share of the
// collector, and of this package's own net, is in it.
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
		for _, kind := range []message.Kind{0, message.KindMembership, message.KindConfigPush, message.KindCapacity, message.KindClaim, message.KindRegister, message.KindLease, message.KindAntiEntropy} {
			u := sim.usageByPart[partKey{role, kind}]
			if u == nil {
				continue
			}
			nodeSeconds := seconds * nodes
			row := Row{Experiment: e.Name, Size: sim.Routers, Role: name, Part: partNames[kind], Messages: float64(u.Messages) / nodeSeconds, BytesOut: float64(u.BytesOut) / nodeSeconds, BytesIn: float64(u.BytesIn) / nodeSeconds,
				CorePercent: 100 * u.CallTime.Seconds() * cpuPerCallTime / nodeSeconds}
			all.Messages, all.BytesOut, all.BytesIn, all.CorePercent = all.Messages+row.Messages, all.BytesOut+row.BytesOut, all.BytesIn+row.BytesIn, all.CorePercent+row.CorePercent
			r.Rows = append(r.Rows, row)
		}
		all.HeapKB = heapBytes / 1024 / float64(sim.Routers+ControllerCount) // of both roles alike: one heap holds them all
		if role == membership.Controller {
			all.DiskSyncs, all.DiskBytes = float64(sim.DiskSyncs)/seconds/nodes, float64(sim.SyncedBytes)/seconds/nodes
		}
		r.Rows = append(r.Rows, all)
	}
}

// processCPU is this process's own processor time, user and system.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap is what lives after a collection.
func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return math.Max(0, float64(stats.HeapAlloc))
}
