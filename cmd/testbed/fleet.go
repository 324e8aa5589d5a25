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

// trial is one run of a deployment, as the flags say it.
type trial struct {
	dep, dir, events, wrong, allow, place string
	plan                                  localfleet.RunPlan
	secs, perSec                          int
	served                                float64
	wrongs                                map[string]string
}

func (x *trial) flags(c *cobra.Command) {
	fl := c.Flags()
	fl.StringVar(&x.dep, "deploy", "deploy/vatuloa.json", "the deployment's file")
	fl.StringVar(&x.events, "events", "", "what happens: SECONDS:VERB[:NAME[:VALUE]],...")
	fl.StringVar(&x.wrong, "wrong", "", "workers that answer wrongly: w03=gap,...")
	fl.IntVar(&x.secs, "seconds", 20, "how long traffic lasts, from the tenth second on")
	fl.IntVar(&x.perSec, "platform-limit", 5, "questions a second that the platform allows")
	fl.Float64Var(&x.plan.Rate, "rate", 30, "requests a second")
	fl.Uint64Var(&x.plan.Seed, "seed", 1, "seed of the requests")
	fl.IntVar(&x.plan.Topics, "topics", 24, "how many shared prefixes each kind of request has")
	fl.Float64Var(&x.served, "served", 0.5, "least share of calls to be answered whole and on time")
}

// check reads what can be wrong before anything starts.
func (x *trial) check() (d *localfleet.Deployment, err error) {
	if d, err = localfleet.LoadDeployment(x.dep); err != nil {
		return nil, err
	}
	if x.plan.Events, err = localfleet.ParseEvents(x.events); err != nil {
		return nil, err
	}
	if err = d.CheckEvents(x.plan.Events); err != nil {
		return nil, err
	}
	if x.wrongs, err = readWrong(d, x.wrong); err != nil {
		return nil, err
	}
	if x.secs < 1 || x.plan.Rate <= 0 || x.plan.Topics < 2 {
		return nil, errors.New("--seconds, --rate and --topics are above 0, topics above 1")
	}
	x.plan.TrafficStart, x.plan.TrafficDuration = 10*time.Second, time.Duration(x.secs)*time.Second
	x.plan.EditConfig = edit(x.allow, x.place)
	return d, nil
}

// readWrong reads which workers shall answer wrongly, and how.
func readWrong(d *localfleet.Deployment, s string) (map[string]string, error) {
	m := map[string]string{}
	for _, w := range strings.Split(s, ",") {
		if w == "" {
			continue
		}
		n, how, _ := strings.Cut(w, "=")
		if how == "" || !slices.Contains(wrongs, how) || d.CheckEvents([]localfleet.Event{{Verb: "kill", Target: n}}) != nil {
			return nil, fmt.Errorf("--wrong %q: a worker's name and one of %q are wanted", w, wrongs[1:])
		}
		m[n] = how
	}
	return m, nil
}

// run brings the fleet up, carries the plan out, and judges.
func (x *trial) run(ctx context.Context, say io.Writer) error {
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
	f, err := localfleet.New(d, localfleet.AbsPath(dir), filepath.Dir(me), x.perSec)
	if err != nil {
		return err
	}
	defer f.StopAll()
	for n, how := range x.wrongs {
		f.WorkerFaults[n] = how
		f.RecordEvent("wrong", n)
	}
	if err := f.Run(ctx, x.plan, say); err != nil {
		return err
	}
	var u checker.Rules
	if u, err = f.Rules(x.plan.EditConfig); err != nil {
		return err
	}
	u.MinServed = x.served
	good, err := f.Report(u, say)
	if err == nil && !good {
		err = console.ErrCheckFailed
	}
	return err
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// fleetCmd runs a deployment and judges the run.
func fleetCmd() *cobra.Command {
	x := &trial{}
	c := &cobra.Command{Use: "fleet", Short: "run a whole deployment on this machine, and judge the run", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		ctx, stop := interrupted()
		defer stop()
		return x.run(ctx, os.Stdout)
	}
	x.flags(c)
	c.Flags().StringVar(&x.dir, "dir", "", "where the run's files go and stay; a passing folder unless given")
	c.Flags().StringVar(&x.allow, "allow", "", "another admission policy than the configuration's")
	c.Flags().StringVar(&x.place, "place", "", "another placement policy than the configuration's")
	return c
}

// compareCmd runs the same requests under several policies, one after the other.
func compareCmd() *cobra.Command {
	x := &trial{}
	var allow, place []string
	c := &cobra.Command{Use: "compare", Short: "run the same seed under several policies, one after the other", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		ctx, stop := interrupted()
		defer stop()
		if _, err := x.check(); err != nil {
			return err
		}
		var bad error
		for _, a := range allow {
			for _, p := range place {
				x.allow, x.place = a, p
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

// edit puts other policies into a configuration, for comparisons.
func edit(allow, place string) func([]byte) []byte {
	if allow == "" && place == "" {
		return nil
	}
	return func(b []byte) []byte {
		s := string(b)
		if allow != "" {
			s = strings.ReplaceAll(s, `"allow": "knee"`, `"allow": "`+allow+`"`)
		}
		if place != "" {
			s = strings.ReplaceAll(s, `"place": "prefix"`, `"place": "`+place+`"`)
		}
		return []byte(s)
	}
}

// checkCmd judges the journals of a run that is over.
func checkCmd() *cobra.Command {
	var dep string
	c := &cobra.Command{Use: "check DIR", Short: "judge what callers and workers of a run wrote down", Args: cobra.ExactArgs(1)}
	c.RunE = func(_ *cobra.Command, a []string) error {
		d, err := localfleet.LoadDeployment(dep)
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
	c.Flags().StringVar(&dep, "deploy", "deploy/vatuloa.json", "the deployment's file")
	return c
}
