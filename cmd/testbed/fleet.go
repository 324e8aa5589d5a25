package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/checker"
	"seamshunt/internal/console"
	"seamshunt/internal/localfleet"
)

// fleetRun holds the flags of one run of a deployment.
type fleetRun struct {
	deployFile, dir, events, faultSpec, admissionPolicy, placementPolicy string
	plan                                                                 localfleet.RunPlan
	seconds, platformLimit                                               int
	minServed                                                            float64
	workerFaults                                                         map[string]string
}

func (x *fleetRun) flags(c *cobra.Command) {
	fl := c.Flags()
	fl.StringVar(&x.deployFile, "deploy", "deploy/vatuloa.json", "the deployment's file")
	fl.StringVar(&x.events, "events", "", "what happens: SECONDS:VERB[:NAME[:VALUE]],...")
	fl.StringVar(&x.faultSpec, "wrong", "", "workers that answer incorrectly: w03=gap,...")
	fl.IntVar(&x.seconds, "seconds", 20, "how long traffic lasts, from the tenth second on")
	fl.IntVar(&x.platformLimit, "platform-limit", 5, "requests per second that the platform allows")
	fl.Float64Var(&x.plan.Rate, "rate", 30, "requests a second")
	fl.Uint64Var(&x.plan.Seed, "seed", 1, "seed of the requests")
	fl.IntVar(&x.plan.Topics, "topics", 24, "how many shared prefixes each kind of request has")
	fl.Float64Var(&x.minServed, "served", 0.5, "minimum share of calls to be answered completely and on time")
}

// check validates the flags and files before any process starts.
func (x *fleetRun) check() (d *localfleet.Deployment, err error) {
	if d, err = localfleet.LoadDeployment(x.deployFile); err != nil {
		return nil, err
	}
	if x.plan.Events, err = localfleet.ParseEvents(x.events); err != nil {
		return nil, err
	}
	if err = d.CheckEvents(x.plan.Events); err != nil {
		return nil, err
	}
	if x.workerFaults, err = parseWorkerFaults(d, x.faultSpec); err != nil {
		return nil, err
	}
	if x.seconds < 1 || x.plan.Rate <= 0 || x.plan.Topics < 2 {
		return nil, errors.New("--seconds, --rate and --topics are above 0, topics above 1")
	}
	x.plan.TrafficStart, x.plan.TrafficDuration = 10*time.Second, time.Duration(x.seconds)*time.Second
	x.plan.EditConfig = editPolicies(x.admissionPolicy, x.placementPolicy)
	return d, nil
}

// parseWorkerFaults parses which workers answer incorrectly, and how.
func parseWorkerFaults(d *localfleet.Deployment, s string) (map[string]string, error) {
	m := map[string]string{}
	for _, w := range strings.Split(s, ",") {
		if w == "" {
			continue
		}
		n, how, _ := strings.Cut(w, "=")
		if how == "" || !slices.Contains(workerFaultNames, how) || d.CheckEvents([]localfleet.Event{{Verb: "kill", Target: n}}) != nil {
			return nil, fmt.Errorf("--wrong %q: a worker's name and one of %q are wanted", w, workerFaultNames[1:])
		}
		m[n] = how
	}
	return m, nil
}

// run starts the fleet, carries out the plan and checks the run.
func (x *fleetRun) run(ctx context.Context, out io.Writer) error {
	d, err := x.check()
	if err != nil {
		return err
	}
	dir := x.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "testbed"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	me, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := localfleet.New(d, localfleet.AbsPath(dir), filepath.Dir(me), x.platformLimit)
	if err != nil {
		return err
	}
	defer f.StopAll()
	for n, how := range x.workerFaults {
		f.WorkerFaults[n] = how
		f.RecordEvent("wrong", n)
	}
	if err := f.Run(ctx, x.plan, out); err != nil {
		return err
	}
	var u checker.Rules
	if u, err = f.Rules(x.plan.EditConfig); err != nil {
		return err
	}
	u.MinServed = x.minServed
	good, err := f.Report(u, out)
	if err == nil && !good {
		err = console.ErrCheckFailed
	}
	return err
}

// signalContext returns a context that ends at an interrupt or a request to terminate.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// fleetCmd runs a deployment and checks the run.
func fleetCmd() *cobra.Command {
	x := &fleetRun{}
	c := &cobra.Command{Use: "fleet", Short: "run a whole deployment on this machine, and check the run", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		ctx, stop := signalContext()
		defer stop()
		return x.run(ctx, os.Stdout)
	}
	x.flags(c)
	c.Flags().StringVar(&x.dir, "dir", "", "directory for the run's files, which is kept; a temporary one by default")
	c.Flags().StringVar(&x.admissionPolicy, "allow", "", "another admission policy than the configuration's")
	c.Flags().StringVar(&x.placementPolicy, "place", "", "another placement policy than the configuration's")
	return c
}

// compareCmd runs the same requests under several policies, one after the other.
func compareCmd() *cobra.Command {
	x := &fleetRun{}
	var allow, place []string
	c := &cobra.Command{Use: "compare", Short: "run the same seed under several policies, one after the other", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		ctx, stop := signalContext()
		defer stop()
		if _, err := x.check(); err != nil {
			return err
		}
		var bad error
		for _, a := range allow {
			for _, p := range place {
				x.admissionPolicy, x.placementPolicy = a, p
				fmt.Printf("== allow %s, place %s, seed %d\n", a, p, x.plan.Seed)
				if err := x.run(ctx, os.Stdout); errors.Is(err, console.ErrCheckFailed) {
					bad = err
				} else if err != nil {
					return err
				}
			}
		}
		return bad
	}
	x.flags(c)
	c.Flags().StringSliceVar(&allow, "allow", []string{"knee"}, "admission policies")
	c.Flags().StringSliceVar(&place, "place", []string{"prefix", "least"}, "placement policies")
	return c
}

// editPolicies returns a function that replaces the policies of a configuration, for comparisons.
func editPolicies(admission, placement string) func([]byte) []byte {
	if admission == "" && placement == "" {
		return nil
	}
	return func(b []byte) []byte {
		s := string(b)
		if admission != "" {
			s = strings.ReplaceAll(s, `"allow": "knee"`, `"allow": "`+admission+`"`)
		}
		if placement != "" {
			s = strings.ReplaceAll(s, `"place": "prefix"`, `"place": "`+placement+`"`)
		}
		return []byte(s)
	}
}

// checkCmd checks the journals of a finished run.
func checkCmd() *cobra.Command {
	var deployFile string
	c := &cobra.Command{Use: "check DIR", Short: "check the journals of a run's clients and workers", Args: cobra.ExactArgs(1)}
	c.RunE = func(_ *cobra.Command, a []string) error {
		d, err := localfleet.LoadDeployment(deployFile)
		if err != nil {
			return err
		}
		u, err := (&localfleet.Fleet{Deployment: d}).Rules(nil)
		if err != nil {
			return err
		}
		r, err := checker.Load(a[0])
		if err != nil {
			return err
		}
		if !localfleet.PrintReport(r, u, nil, os.Stdout) {
			return console.ErrCheckFailed
		}
		return nil
	}
	c.Flags().StringVar(&deployFile, "deploy", "deploy/vatuloa.json", "the deployment's file")
	return c
}
