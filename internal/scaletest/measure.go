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
	span              time.Duration
	before            func(*Simulation) // after all serve, before the measuring
	during            func(*Simulation, time.Duration)
}

// settle is how long it takes after the start until no change rides on notes any more.
const settle = 8 * time.Second

func quiet(w *Simulation) { w.Advance(settle) }

// Experiments in the order of the table.
var Experiments = []Experiment{
	{"start", "all routers started at once, from their start on", 10 * time.Second, nil, nil},
	{"rest", "nothing happens", 10 * time.Second, quiet, nil},
	{"serve", "requests at the peak, long streams", 20 * time.Second, func(w *Simulation) { w.serve(true, false); w.Advance(45 * time.Second) }, nil},
	{"claim", "a key claimed for every request of the peak, no permits", 10 * time.Second, func(w *Simulation) { quiet(w); w.serve(false, true) }, nil},
	{"config", "a change of the configuration every 2 s", 10 * time.Second, quiet, func(w *Simulation, d time.Duration) { w.every(2*time.Second, d, w.WriteConfig) }},
	{"workers", "a worker listed and one taken off, every 2 s", 10 * time.Second, quiet, func(w *Simulation, d time.Duration) { w.every(2*time.Second, d, w.turnover) }},
	{"restart", "a router restarted every 4 s", 20 * time.Second, quiet, func(w *Simulation, d time.Duration) { w.every(4*time.Second, d, w.restart) }},
	{"region", "a region cut off: its first 20 s", 20 * time.Second, quiet, func(w *Simulation, _ time.Duration) { w.cut = "c" }},
	{"heal", "the 20 s after a region was cut off for 20 s", 20 * time.Second, func(w *Simulation) { quiet(w); w.cut = "c"; w.Advance(20 * time.Second) },
		func(w *Simulation, _ time.Duration) { w.cut = "" }},
}

// FindExperiments gives the experiments of these names, or the ones that there are.
func FindExperiments(names []string) (l []Experiment, err error) {
	for _, n := range names {
		i := slices.IndexFunc(Experiments, func(e Experiment) bool { return e.Name == n })
		if i < 0 {
			var all []string
			for _, e := range Experiments {
				all = append(all, e.Name)
			}
			return nil, fmt.Errorf("no experiment %q: there are %q", n, all)
		}
		l = append(l, Experiments[i])
	}
	return l, nil
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
func Measure(e Experiment, s SiteSize) (Result, error) {
	var r Result
	base := heap()
	w, err := NewSimulation(s)
	if err != nil {
		return r, err
	}
	if e.Name != "start" {
		if r.ReadyAfter, err = w.StartRouters(); err != nil {
			return r, err
		}
	}
	if e.before != nil {
		e.before(w)
	}
	clear(w.counts)
	w.DiskSyncs, w.SyncedBytes = 0, 0
	for _, n := range w.nodes {
		n.bytes, n.in = 0, 0
	}
	runtime.GC()
	from, began := cpu(), w.Now
	if e.Name == "start" {
		if r.ReadyAfter, err = w.StartRouters(); err != nil {
			return r, err
		}
	}
	if e.during != nil {
		e.during(w, e.span)
	}
	w.Advance(e.span - w.Now.Sub(began))
	r.CPUTime = cpu() - from
	r.rows(w, e, w.Now.Sub(began).Seconds(), heap()-base)
	r.MaxApplyTime, r.ChangeResults, r.Decisions, r.ClaimResults, r.Polls = w.MaxApplyTime, w.ChangeResults, w.Decisions, w.ClaimResults, w.Polls
	return r, nil
}

// rows puts processor time down to parts in the measure of the time that their calls took: so the calls' share of the
// collector, and of this package's own net, is in it.
func (r *Result) rows(w *Simulation, e Experiment, secs float64, held float64) {
	var busy time.Duration
	for _, c := range w.counts {
		busy += c.Busy
	}
	share := r.CPUTime.Seconds() / max(busy.Seconds(), 1e-9)
	for _, role := range []membership.Role{membership.Router, membership.Controller} {
		nodes, name := float64(w.Routers), "router"
		if role == membership.Controller {
			nodes, name = ControllerCount, "controller"
		}
		all := Row{Experiment: e.Name, Size: w.Routers, Role: name, Part: "all"}
		for _, n := range w.nodes {
			if n.role == role {
				all.MaxNodeBytes = max(all.MaxNodeBytes, float64(max(n.bytes, n.in))/secs)
			}
		}
		for _, k := range []message.Kind{0, message.KindMembership, message.KindConfigPush, message.KindCapacity, message.KindClaim, message.KindRegister, message.KindLease, message.KindAntiEntropy} {
			c := w.counts[partKey{role, k}]
			if c == nil {
				continue
			}
			per := secs * nodes
			x := Row{Experiment: e.Name, Size: w.Routers, Role: name, Part: partNames[k], Messages: float64(c.Notes) / per, BytesOut: float64(c.Bytes) / per, BytesIn: float64(c.In) / per,
				CorePercent: 100 * c.Busy.Seconds() * share / per}
			all.Messages, all.BytesOut, all.BytesIn, all.CorePercent = all.Messages+x.Messages, all.BytesOut+x.BytesOut, all.BytesIn+x.BytesIn, all.CorePercent+x.CorePercent
			r.Rows = append(r.Rows, x)
		}
		all.HeapKB = held / 1024 / float64(w.Routers+ControllerCount) // of both roles alike: one heap holds them all
		if role == membership.Controller {
			all.DiskSyncs, all.DiskBytes = float64(w.DiskSyncs)/secs/nodes, float64(w.SyncedBytes)/secs/nodes
		}
		r.Rows = append(r.Rows, all)
	}
}

// cpu is this process's own processor time, user and system.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is what lives after a collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return math.Max(0, float64(m.HeapAlloc))
}
