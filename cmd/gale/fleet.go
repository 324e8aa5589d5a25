package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/console"
	"seamshunt/internal/fleet"
	"seamshunt/internal/observer"
)

// fleetCmd runs a deployment and judges the run.
func fleetCmd() *cobra.Command {
	var dep, dir, events, wrong, allow, place string
	p := fleet.Plan{From: 10 * time.Second}
	var secs, perSec int
	var served float64
	c := &cobra.Command{Use: "fleet", Short: "run a whole deployment on this machine, and judge the run", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		d, err := fleet.Load(dep)
		if err != nil {
			return err
		}
		if p.Events, err = fleet.ParseEvents(events); err != nil {
			return err
		}
		if secs < 1 || p.Rate <= 0 || p.Topics < 2 {
			return fmt.Errorf("--seconds, --rate and --topics are above 0, topics above 1")
		}
		p.Traffic = time.Duration(secs) * time.Second
		p.Edit = edit(allow, place)
		if dir == "" {
			if dir, err = os.MkdirTemp("", "gale"); err != nil {
				return err
			}
			defer os.RemoveAll(dir)
		}
		me, err := os.Executable()
		if err != nil {
			return err
		}
		f, err := fleet.New(d, fleet.Abs(dir), filepath.Dir(me), perSec)
		if err != nil {
			return err
		}
		for _, x := range strings.Split(wrong, ",") {
			if n, how, ok := strings.Cut(x, "="); ok {
				f.Wrong[n] = how
				f.Event("wrong", n)
			}
		}
		defer f.Down()
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		if err := f.Run(ctx, p, os.Stdout); err != nil {
			return err
		}
		u, err := f.Rules(p.Edit)
		if err != nil {
			return err
		}
		u.Served = served
		good, err := f.Report(u, os.Stdout)
		if err == nil && !good {
			err = console.ErrPromise
		}
		return err
	}
	fl := c.Flags()
	fl.StringVar(&dep, "deploy", "deploy/vatuloa.json", "the deployment's file")
	fl.StringVar(&dir, "dir", "", "where the run's files go and stay; a passing folder unless given")
	fl.StringVar(&events, "events", "", "what happens: SECONDS:VERB[:NAME[:VALUE]],...")
	fl.StringVar(&wrong, "wrong", "", "workers that answer wrongly: w03=gap,...")
	fl.StringVar(&allow, "allow", "", "another admission policy than the configuration's")
	fl.StringVar(&place, "place", "", "another placement policy than the configuration's")
	fl.Float64Var(&served, "served", 0.5, "least share of calls to be answered whole and on time")
	fl.IntVar(&secs, "seconds", 20, "how long traffic lasts, from the tenth second on")
	fl.IntVar(&perSec, "platform-limit", 5, "questions a second that the platform allows")
	fl.Float64Var(&p.Rate, "rate", 30, "requests a second")
	fl.Uint64Var(&p.Seed, "seed", 1, "seed of the requests")
	fl.IntVar(&p.Topics, "topics", 24, "how many shared prefixes each kind of request has")
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
		d, err := fleet.Load(dep)
		if err != nil {
			return err
		}
		u, err := (&fleet.Fleet{Dep: d}).Rules(nil)
		if err != nil {
			return err
		}
		r, err := observer.Load(a[0])
		if err != nil {
			return err
		}
		if !fleet.Show(r, u, nil, os.Stdout) {
			return console.ErrPromise
		}
		return nil
	}
	c.Flags().StringVar(&dep, "deploy", "deploy/vatuloa.json", "the deployment's file")
	return c
}
