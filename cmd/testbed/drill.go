package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/config"
	"seamshunt/internal/console"
	"seamshunt/internal/localfleet"
	"seamshunt/internal/standin"
)

// drillCmd takes a zone out of a running fleet and checks the invariants.
func drillCmd() *cobra.Command {
	d := &localfleet.Drill{Output: os.Stdout}
	c := &cobra.Command{Use: "drill", Short: "take a zone out of a running fleet, check the invariants, and restore the zone", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		switch {
		case d.Method != "evacuate" && d.Method != "kill":
			return errors.New("--how is evacuate or kill")
		case d.Method == "kill" && d.HarnessAddr == "":
			return errors.New("--how kill wants --harness: only a local fleet's harness ends processes")
		case d.Duration < 7*time.Second:
			return errors.New("--hold is at least 7s, so that the 5 s can be judged")
		}
		ctx, stop := signalContext()
		defer stop()
		l, err := d.Run(ctx)
		if err != nil {
			return err
		}
		bad := 0
		for _, f := range l {
			word := "holds"
			if !f.Holds {
				word = "BROKEN"
				bad++
			}
			fmt.Printf("%-7s %s: %s\n", word, f.Invariant, f.Detail)
		}
		if bad > 0 {
			return console.ErrCheckFailed
		}
		return nil
	}
	f := c.Flags()
	f.StringVar(&d.ControllerAddr, "at", "", "a controller's HTTP address")
	f.StringVar(&d.Zone, "zone", "", "the zone")
	f.StringVar(&d.Method, "how", "evacuate", "evacuate, or kill")
	f.StringVar(&d.HarnessAddr, "harness", "", "HTTP address of a local fleet's harness, for kill")
	f.StringVar(&d.JournalDir, "dir", "", "directory of a local fleet's journals, to be checked as well")
	f.DurationVar(&d.Duration, "hold", 10*time.Second, "how long the zone stays out")
	_ = c.MarkFlagRequired("at")
	_ = c.MarkFlagRequired("zone")
	return c
}

// platformCmd serves a test double of the platform with a fixed list of workers.
func platformCmd() *cobra.Command {
	var listen, pool string
	var workers []string
	var perSec int
	c := &cobra.Command{Use: "platform", Short: "a test double of the platform, which lists workers", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		p := standin.NewPlatform(perSec)
		for _, w := range workers {
			x := strings.Split(w, "=")
			if len(x) != 3 {
				return fmt.Errorf("--worker %q: ID=ZONE=ADDRESS is wanted", w)
			}
			p.SetWorker(pool, config.Worker{ID: x[0], Zone: x[1], Addr: x[2], Age: time.Hour})
		}
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		fmt.Println("listening on", ln.Addr())
		return p.Serve(ln)
	}}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "its address")
	f.StringVar(&pool, "pool", "main", "the pool")
	f.StringSliceVar(&workers, "worker", nil, "a worker: ID=ZONE=ADDRESS; may be repeated")
	f.IntVar(&perSec, "limit", 5, "requests per second that it allows; 0 for no limit")
	return c
}

// callerCmd sends the three kinds of requests to one router.
func callerCmd() *cobra.Command {
	var router string
	var n int
	var seed uint64
	c := &cobra.Command{Use: "caller", Short: "a test client: send requests to a router one after the other", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if n < 1 {
			return errors.New("--count is above 0")
		}
		mix, bad := standin.NewRequestGenerator(seed, 24), 0
		for range n {
			a := mix.Next()
			e := standin.Send(context.Background(), router, a, fmt.Sprintf("%s-%d", a.Job, standin.Now()))
			fmt.Printf("%-9s status %d code %d whole %v first words %d ms, all %d ms %s\n", e.Mapping, e.Status, e.Code, e.Complete, e.FirstUs/1000, (e.End-e.At)/1000, e.Fault)
			if e.Status != 200 || !e.Complete || e.Fault != "" {
				bad++
			}
		}
		if bad > 0 {
			return fmt.Errorf("%w: %d of %d calls were not answered completely", console.ErrCheckFailed, bad, n)
		}
		return nil
	}}
	f := c.Flags()
	f.StringVar(&router, "router", "", "a router's HTTP address")
	f.IntVar(&n, "count", 9, "how many")
	f.Uint64Var(&seed, "seed", 1, "seed of the requests")
	_ = c.MarkFlagRequired("router")
	return c
}
