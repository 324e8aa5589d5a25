package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/checker"
	"seamshunt/internal/console"
	"seamshunt/internal/localfleet"
	"seamshunt/platform/standin"
)

// site holds the flags of a fleet that runs as the users' platform would run it.
type site struct {
	machines, zones, disks, workers                int
	seconds                                        int
	rate, minServed, abandonShare, reviewShare     float64
	patience                                       time.Duration
	seed                                           uint64
	random, reversals, partialFaults, restartsOnly bool
	events, dir                                    string
	schedule                                       []localfleet.Event
	nodes                                          []standin.Machine
}

// siteCmd runs a fleet from settings files, with test doubles of the platform's services, and checks the run.
func siteCmd() *cobra.Command {
	x := &site{}
	c := &cobra.Command{Use: "site", Short: "run a fleet as the users' platform would, each machine at an address of its own, and check the run", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		ctx, stop := signalContext()
		defer stop()
		if err := x.check(); err != nil {
			return err
		}
		return x.run(ctx)
	}
	f := c.Flags()
	f.IntVar(&x.machines, "machines", 6, "how many machines")
	f.IntVar(&x.zones, "zones", 3, "in how many zones, named z1, z2, ...")
	f.IntVar(&x.disks, "disks", 3, "how many machines have a disk and run a controller")
	f.IntVar(&x.workers, "workers", 6, "how many workers, named w1, w2, ..., in the zones in turn")
	f.IntVar(&x.seconds, "seconds", 20, "how long traffic lasts, from when the nodes are ready")
	f.Float64Var(&x.rate, "rate", 30, "requests a second")
	f.Float64Var(&x.minServed, "served", 0.5, "minimum share of requests to be answered completely and on time")
	f.Float64Var(&x.abandonShare, "leave", 0, "share of the clients that disconnect before the end of their answer")
	f.DurationVar(&x.patience, "patience", 300*time.Millisecond, "how long such a client waits at most")
	f.Uint64Var(&x.seed, "seed", 1, "seed of the requests")
	f.StringVar(&x.events, "events", "", "what happens: SECONDS:VERB:NAME,... of "+strings.Join(siteVerbs, " ")+"; the time counts from the start of the traffic")
	f.BoolVar(&x.random, "random", false, "draw a fault schedule from the seed, with overlapping faults, within what the site tolerates")
	f.BoolVar(&x.reversals, "orders", false, "with --random: evacuations are withdrawn and repeated as often as possible, while controllers are paused")
	f.BoolVar(&x.partialFaults, "partial", false, "with --random: also single programs are paused or killed, machines run slowly, and several zones are evacuated at once")
	f.BoolVar(&x.restartsOnly, "rolls", false, "with --random: only graceful restarts, one after the other, besides changes of the configuration")
	f.Float64Var(&x.reviewShare, "reviews", 0, "share of the requests whose streams last for nearly the grace period")
	f.StringVar(&x.dir, "dir", "", "directory for the run's files, which is kept; a temporary one by default")
	return c
}

// siteVerbs are the events that a site supports.
var siteVerbs = []string{"kill", "stop", "start", "restart", "freeze", "thaw", "killall", "startall", "evacuate", "readmit", "leave", "silence", "wake", "storm", "slow", "fast"}

// check validates the flags before any process starts.
func (x *site) check() (err error) {
	switch {
	case x.zones < 1 || x.machines < x.zones || x.machines > 60:
		return errors.New("--machines is 1 to 60, and at least --zones")
	case x.disks < 1 || x.disks > x.machines:
		return errors.New("--disks is 1 to --machines")
	case x.workers < 1 || x.workers > 200:
		return errors.New("--workers is 1 to 200")
	case x.seconds < 1 || x.rate <= 0:
		return errors.New("--seconds and --rate are above 0")
	case x.abandonShare < 0 || x.abandonShare > 1 || x.patience <= 0:
		return errors.New("--leave is 0 to 1, --patience above 0")
	case (x.reversals || x.partialFaults || x.restartsOnly) && !x.random:
		return errors.New("--orders, --partial and --rolls go with --random")
	case x.restartsOnly && (x.reversals || x.partialFaults):
		return errors.New("--rolls goes without --orders and --partial")
	case x.reviewShare < 0 || x.reviewShare > 1:
		return errors.New("--reviews is 0 to 1")
	}
	if x.schedule, err = localfleet.ParseEvents(x.events, "silence", "wake", "slow", "fast"); err != nil {
		return err
	}
	var machines, programs, zones, workers []string
	x.nodes = standin.Machines(x.machines, x.zones, x.disks)
	for _, m := range x.nodes {
		machines = append(machines, m.Name)
		if programs = append(programs, m.Name, m.Name+".router"); m.Disk {
			programs = append(programs, m.Name+".controller")
		}
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	for i := range x.workers {
		workers = append(workers, fmt.Sprint("w", i+1))
	}
	if x.random {
		x.schedule = append(x.schedule, newFaultSchedule(rand.New(rand.NewPCG(x.seed, 12)), x.nodes, x.disks, workers, time.Duration(x.seconds)*time.Second, scheduleOptions{reversals: x.reversals, partialFaults: x.partialFaults, restartsOnly: x.restartsOnly, seed: x.seed})...)
	}
	for _, e := range x.schedule {
		names := machines
		switch e.Verb {
		case "freeze", "thaw", "kill", "start", "slow", "fast":
			names = programs
		case "evacuate", "readmit":
			names = zones
		case "leave", "silence", "wake":
			names = workers
		case "killall", "startall", "storm":
			names = []string{e.Target}
		}
		if !slices.Contains(siteVerbs, e.Verb) {
			return fmt.Errorf("--events: %s is not known here; the verbs are %s", e.Verb, strings.Join(siteVerbs, " "))
		}
		if !slices.Contains(names, e.Target) {
			return fmt.Errorf("--events: %s %s: one of %s is wanted", e.Verb, e.Target, strings.Join(names, " "))
		}
	}
	return nil
}

// run starts the site, carries out its schedule and checks the run.
func (x *site) run(ctx context.Context) error {
	dir := x.dir
	if dir == "" {
		d, err := os.MkdirTemp("", "testbed")
		if err != nil {
			return err
		}
		dir = d
		defer os.RemoveAll(dir)
	}
	me, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := localfleet.NewEmpty(localfleet.AbsPath(dir), filepath.Dir(me))
	if err != nil {
		return err
	}
	defer f.StopAll()
	p := &siteRun{site: x, fleet: f, startedAt: time.Now(), missedProbes: map[string]int{}, stopSlow: map[string]chan struct{}{}}
	defer p.close()
	if err := p.start(ctx); err != nil {
		return err
	}
	if err := p.execute(ctx); err != nil {
		return err
	}
	r, err := checker.Load(f.Dir)
	if err != nil {
		return err
	}
	good := true
	for _, x := range standin.Check(r, standin.DefaultGuarantees, x.minServed, standin.AllowedDocuments(p.operator.SentDocuments())...) {
		word := "kept"
		if !x.Holds {
			word, good = "BROKEN", false
		}
		fmt.Printf("%-7s %-9s %s: %s\n", word, x.Rule, x.Invariant, x.Detail)
	}
	for _, m := range r.Measure(0, 1<<62) {
		fmt.Printf("%-8s %5d sent, %5.1f%% on time, %d refused, %d broken, %d other, %d left; first words %.0f ms, 95th %.0f ms\n", m.Mapping, m.Sent,
			100*float64(m.OnTime)/float64(max(1, m.Sent)), m.Refused, m.Broken, m.Other, m.Abandoned, m.FirstTokenP50, m.FirstTokenP95)
	}
	if !good {
		return console.ErrCheckFailed
	}
	return nil
}
